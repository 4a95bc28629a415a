/** Signals that a gateway daemon handles. */
export type HandledSignal = 'SIGTERM' | 'SIGHUP'

/** Where signals are registered: the process itself. */
export interface SignalSource {
  readonly on: (signal: HandledSignal, listener: () => void) => unknown
}

/** Catches signals from the first moment on, and hands those that arrive before they can be handled over to the daemon later. */
export class EarlySignals {
  private readonly waiting = new Set<HandledSignal>()
  private readonly handlers = new Map<HandledSignal, () => void>()

  private constructor () {}

  /**
   * Starts to catch signals, which would end the process otherwise.
   *
   * @param source - The process.
   * @returns The signals caught.
   */
  static create (source: SignalSource): EarlySignals {
    const signals = new EarlySignals()
    for (const signal of ['SIGTERM', 'SIGHUP'] as const) source.on(signal, () => { signals.receive(signal) })
    return signals
  }

  /** Sets the handler of a signal; it is called at once if the signal has arrived before. */
  handle (signal: HandledSignal, handler: () => void): void {
    this.handlers.set(signal, handler)
    if (this.waiting.delete(signal)) handler()
  }

  private receive (signal: HandledSignal): void {
    const handler = this.handlers.get(signal)
    if (handler === undefined) this.waiting.add(signal)
    else handler()
  }
}
