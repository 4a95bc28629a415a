import { readFile } from 'node:fs/promises'
import { sha256Hex } from '@lovagehoist/common'
import type { Clock, Log } from '@lovagehoist/common'
import { createSecureContext } from 'node:tls'

/** Files that hold the certificate, key and authority, in PEM. */
export interface TlsFilePaths {
  readonly caFile: string
  readonly certFile: string
  readonly keyFile: string
}

/** Certificate, key and authority, in PEM. */
export interface TlsMaterial {
  readonly ca: Buffer
  readonly cert: Buffer
  readonly key: Buffer
}

const POLL_MS = 10_000

/**
 * Reads certificate, key and authority, and checks that they fit together.
 *
 * @param paths - Files.
 * @returns Their contents; rejects when one can't be read or the key is not the certificate's.
 */
export const readTlsFiles = async (paths: TlsFilePaths): Promise<TlsMaterial> => {
  const [ca, cert, key] = await Promise.all([readFile(paths.caFile), readFile(paths.certFile), readFile(paths.keyFile)])
  const material = { ca, cert, key }
  createSecureContext(material)
  return material
}

const digestOfMaterial = ({ ca, cert, key }: TlsMaterial): string => sha256Hex(Buffer.concat([ca, cert, key]))

/** What the watch needs. */
export interface TlsWatchOptions {
  readonly paths: TlsFilePaths
  readonly initial: TlsMaterial
  readonly clock: Clock
  readonly log: Log
  readonly onChange: (material: TlsMaterial) => void
}

/**
 * Reads the files again from time to time and reports a change; files that do not fit together are left aside.
 *
 * @param options - Files, what they held first, and whom to tell.
 * @param signal - Ends the watch.
 */
export const watchTlsFiles = async (options: TlsWatchOptions, signal: AbortSignal): Promise<void> => {
  let held = digestOfMaterial(options.initial)
  let isBroken = false
  while (!signal.aborted) {
    await options.clock.sleepMs(POLL_MS, signal)
    const read = await readTlsFiles(options.paths).catch((error: unknown) => String(error))
    if (typeof read === 'string') {
      if (!isBroken) options.log.error('peer certificates can not be used, the earlier ones stay', { error: read })
      isBroken = true
      continue
    }
    isBroken = false
    const digest = digestOfMaterial(read)
    if (digest === held) continue
    held = digest
    options.onChange(read)
    options.log.info('peer certificates reloaded')
  }
}
