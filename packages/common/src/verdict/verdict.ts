/** Statement on whether a target may have run a request; fixed by the `Lovagehoist-Verdict` header. */
export type RunVerdict = 'not-run' | 'may-have-run' | 'ran'

/** Name of the answer header that carries the verdict. */
export const VERDICT_HEADER = 'lovagehoist-verdict'

const VERDICT_STRENGTH: Readonly<Record<RunVerdict, number>> = {
  'not-run': 0,
  'may-have-run': 1,
  ran: 2
}

/**
 * Combines the verdicts of several tries of one request into the verdict of the request.
 *
 * @param first - Verdict of one try.
 * @param second - Verdict of another try of the same request.
 * @returns The verdict that claims the most execution.
 */
export const joinVerdicts = (first: RunVerdict, second: RunVerdict): RunVerdict =>
  VERDICT_STRENGTH[first] >= VERDICT_STRENGTH[second] ? first : second
