#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They are plain modules in lib-2/ without dependencies, so this only checks that Node.js reads them.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/run.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
