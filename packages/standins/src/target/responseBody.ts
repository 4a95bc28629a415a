const MIN_RESPONSE_BYTES = 64

/**
 * Creates the response body for a request. It depends only on the arguments, so a caller can verify every byte.
 *
 * @param runId - ID of the run.
 * @param bodyDigest - SHA-256 of the request's body.
 * @param lengthBytes - Length; less than 64 becomes 64.
 * @returns The response body.
 */
export const createResponseBody = (runId: string, bodyDigest: string, lengthBytes: number): Buffer =>
  Buffer.alloc(Math.max(MIN_RESPONSE_BYTES, lengthBytes), `${runId}:${bodyDigest}|`)
