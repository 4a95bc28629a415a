import { hash } from 'node:crypto'
import murmur from 'imurmurhash'

/**
 * Digests bytes for content addressing.
 *
 * @param bytes - Content.
 * @returns SHA-256 as 64 lower-case hexadecimal digits.
 */
export const sha256Hex = (bytes: Uint8Array | string): string => hash('sha256', bytes, 'hex')

/**
 * Hashes text for placement (rendezvous hashing); not for security.
 *
 * @param text - Text to hash.
 * @returns Unsigned 32-bit hash.
 */
export const murmurHash = (text: string): number => murmur(text).result()

/**
 * Orders candidates for a key by rendezvous hashing, so that a change of one candidate moves only its own keys.
 *
 * @param key - What is placed.
 * @param candidates - Names to choose from.
 * @returns The candidates, highest weight first; ties by name.
 */
export const rankByRendezvous = (key: string, candidates: readonly string[]): readonly string[] =>
  candidates
    .map(name => ({ name, weight: murmurHash(`${key}\u0000${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(candidate => candidate.name)
