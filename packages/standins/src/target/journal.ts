/** One request that a target began to run. */
export interface JournalEntry {
  /** Value of the `x-run-id` header. */
  readonly runId: string
  readonly targetId: string
  readonly method: string
  readonly path: string
  /** SHA-256 of the request's body, in hexadecimal. */
  readonly bodyDigest: string
  /** Wall-clock time of the start, in milliseconds since the Unix epoch. */
  readonly atMs: number
  /** Status that the target chose for the response; 0 when it never answers. */
  readonly status: number
}
