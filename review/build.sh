#!/bin/sh
# The stand-ins of review/ are plain modules of Node.js without dependencies: nothing has to be compiled.
# This checks that each can be parsed and that the bundle of the deploy file is there.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/run.mjs; do node --check "$file"; done
[ -f target/lovagehoistd.cjs ] || node scripts/bundle.js
