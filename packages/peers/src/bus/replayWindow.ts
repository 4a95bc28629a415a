/** Ids this far below the highest one are taken as replayed, since older ids are no longer tracked. */
const WINDOW_SIZE = 256
const MAX_SENDERS = 2_000

interface SeenIds {
  readonly highest: number
  readonly recent: ReadonlySet<number>
}

/** Detects replayed requests; each sending process numbers its requests with increasing ids. */
export class ReplayWindow {
  private readonly senders = new Map<string, SeenIds>()

  private constructor () {}

  /**
   * Creates an empty window.
   *
   * @returns The window.
   */
  static create (): ReplayWindow {
    return new ReplayWindow()
  }

  /**
   * Records a request.
   *
   * @param sender - Start id of the sending process.
   * @param id - Id of the request.
   * @returns Whether the request is new; ids 256 or more below the sender's highest count as replayed.
   */
  admit (sender: string, id: number): boolean {
    const seen = this.senders.get(sender) ?? { highest: 0, recent: new Set<number>() }
    if (id <= seen.highest - WINDOW_SIZE || seen.recent.has(id)) return false
    const highest = Math.max(id, seen.highest)
    const recent = new Set([...seen.recent, id].filter(known => known > highest - WINDOW_SIZE))
    this.senders.delete(sender)
    this.senders.set(sender, { highest, recent })
    const [oldest] = this.senders.keys()
    if (this.senders.size > MAX_SENDERS && oldest !== undefined) this.senders.delete(oldest)
    return true
  }
}
