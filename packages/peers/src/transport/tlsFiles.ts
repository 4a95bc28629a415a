import { readFile } from 'node:fs/promises'
import { sha256Hex } from '@lovagehoist/common'
import type { Clock, Log } from '@lovagehoist/common'
import { createSecureContext } from 'node:tls'

/** Paths of the PEM files with the CA, the certificate and its key. */
export interface TlsFilePaths {
  readonly caFile: string
  readonly certFile: string
  readonly keyFile: string
}

/** CA, certificate and key in PEM format. */
export interface TlsMaterial {
  readonly ca: Buffer
  readonly cert: Buffer
  readonly key: Buffer
}

const POLL_INTERVAL_MS = 10_000

/**
 * Reads CA, certificate and key, and checks that they form a valid TLS context.
 *
 * @param paths - Files to read.
 * @returns Contents of the files; rejects if a file cannot be read or the key does not match the certificate.
 */
export const readTlsFiles = async (paths: TlsFilePaths): Promise<TlsMaterial> => {
  const [ca, cert, key] = await Promise.all([readFile(paths.caFile), readFile(paths.certFile), readFile(paths.keyFile)])
  const material = { ca, cert, key }
  createSecureContext(material)
  return material
}

const digestOfMaterial = ({ ca, cert, key }: TlsMaterial): string => sha256Hex(Buffer.concat([ca, cert, key]))

/** Options of the certificate watch. */
export interface TlsWatchOptions {
  readonly paths: TlsFilePaths
  readonly initial: TlsMaterial
  readonly clock: Clock
  readonly log: Log
  readonly onChange: (material: TlsMaterial) => void
}

/**
 * Polls the certificate files and reports changes; invalid files are logged and the previous contents stay in use.
 *
 * @param options - Files, their initial contents and the listener.
 * @param signal - Stops the watch.
 */
export const watchTlsFiles = async (options: TlsWatchOptions, signal: AbortSignal): Promise<void> => {
  let currentDigest = digestOfMaterial(options.initial)
  let isBroken = false
  while (!signal.aborted) {
    await options.clock.sleepMs(POLL_INTERVAL_MS, signal)
    const result = await readTlsFiles(options.paths).catch((error: unknown) => String(error))
    if (typeof result === 'string') {
      if (!isBroken) options.log.error('peer certificates are invalid; the previous ones stay in use', { error: result })
      isBroken = true
      continue
    }
    isBroken = false
    const digest = digestOfMaterial(result)
    if (digest === currentDigest) continue
    currentDigest = digest
    options.onChange(result)
    options.log.info('peer certificates reloaded')
  }
}
