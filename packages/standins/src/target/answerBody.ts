const MIN_ANSWER_BYTES = 64

/**
 * Makes the answer to a request; anyone who knows the request knows every byte of it.
 *
 * @param runId - Id of the request.
 * @param bodyDigest - SHA-256 of the request's body.
 * @param lengthBytes - Wanted length, at least 64.
 * @returns The answer's body.
 */
export const answerBody = (runId: string, bodyDigest: string, lengthBytes: number): Buffer =>
  Buffer.alloc(Math.max(MIN_ANSWER_BYTES, lengthBytes), `${runId}:${bodyDigest}|`)
