import { hash } from 'node:crypto'
import murmur from 'imurmurhash'

/**
 * Computes the digest used for content addressing.
 *
 * @param bytes - Content.
 * @returns SHA-256 as 64 lower-case hexadecimal digits.
 */
export const sha256Hex = (bytes: Uint8Array | string): string => hash('sha256', bytes, 'hex')

/**
 * Hashes text with MurmurHash3, for rendezvous hashing and other non-cryptographic uses.
 *
 * @param text - Text to hash.
 * @returns Unsigned 32-bit hash.
 */
export const murmurHash = (text: string): number => murmur(text).result()

/**
 * Orders candidates for a key by rendezvous hashing, so that adding or removing a candidate moves only the keys assigned to it.
 *
 * @param key - Key to assign to candidates.
 * @param candidates - Names of the candidates.
 * @returns The candidates, highest weight first; ties by name.
 */
export const rankByRendezvous = (key: string, candidates: readonly string[]): readonly string[] =>
  candidates
    .map(name => ({ name, weight: murmurHash(`${key}\u0000${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(candidate => candidate.name)
