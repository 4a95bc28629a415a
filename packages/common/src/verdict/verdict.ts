/** Whether a target ran, or may have run, a request; the values are those of the `Lovagehoist-Verdict` header. */
export type RunVerdict = 'not-run' | 'may-have-run' | 'ran'

/** Name of the response header that carries the verdict. */
export const VERDICT_HEADER = 'lovagehoist-verdict'

const VERDICT_STRENGTH: Readonly<Record<RunVerdict, number>> = {
  'not-run': 0,
  'may-have-run': 1,
  ran: 2
}

/**
 * Combines the verdicts of two attempts of one request into the verdict of the request.
 *
 * @param first - Verdict of one attempt.
 * @param second - Verdict of another attempt of the same request.
 * @returns The verdict that asserts more: `ran` over `may-have-run` over `not-run`.
 */
export const joinVerdicts = (first: RunVerdict, second: RunVerdict): RunVerdict =>
  VERDICT_STRENGTH[first] >= VERDICT_STRENGTH[second] ? first : second
