const WINDOW = 256
const MAX_SENDERS = 2_000

interface Seen {
  readonly highest: number
  readonly recent: ReadonlySet<number>
}

/** Recognises requests that came before, by the growing ids of each sending process. */
export class ReplayWindow {
  private readonly senders = new Map<string, Seen>()

  private constructor () {}

  /**
   * Creates a window that has seen nothing.
   *
   * @returns The window.
   */
  static create (): ReplayWindow {
    return new ReplayWindow()
  }

  /**
   * Notes a request.
   *
   * @param sender - Name of the sending process.
   * @param id - Id of the request.
   * @returns Whether it came for the first time; ids far below the highest one count as replayed.
   */
  admit (sender: string, id: number): boolean {
    const seen = this.senders.get(sender) ?? { highest: 0, recent: new Set<number>() }
    if (id <= seen.highest - WINDOW || seen.recent.has(id)) return false
    const highest = Math.max(id, seen.highest)
    const recent = new Set([...seen.recent, id].filter(known => known > highest - WINDOW))
    this.senders.delete(sender)
    this.senders.set(sender, { highest, recent })
    const [oldest] = this.senders.keys()
    if (this.senders.size > MAX_SENDERS && oldest !== undefined) this.senders.delete(oldest)
    return true
  }
}
