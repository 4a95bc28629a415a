import type { ListedTarget, Log } from '@lovagehoist/common'
import type { PathMonitor } from './pathMonitor.js'

/** Sources of a crash confirmer. */
export interface CrashConfirmerOptions {
  readonly log: Log
  readonly path: Pick<PathMonitor, 'recordConnect' | 'afterConfirmation' | 'whenOpen'>
  /** Whether this start of a target is known to leave, so that its end is no crash. */
  readonly isLeaving: (target: ListedTarget) => boolean
  /** Whether this start of a target is still listed. */
  readonly isCurrent: (target: ListedTarget) => boolean
  /** Returns whether a connection to a target can be opened. */
  readonly canConnect: (target: ListedTarget) => Promise<boolean>
}

/** Tells whether a target that broke a request off has crashed: one that still accepts connections has not. */
export class CrashConfirmer {
  /** Checks in progress by the ID of their target. */
  private readonly checks = new Map<string, Promise<boolean>>()

  private constructor (private readonly options: CrashConfirmerOptions) {}

  /**
   * Creates a confirmer.
   *
   * @param options - The path to targets, and the way to check them.
   * @returns The confirmer.
   */
  static create (options: CrashConfirmerOptions): CrashConfirmer {
    return new CrashConfirmer(options)
  }

  /**
   * Runs an action if a target has crashed; requests that break off together share one check.
   *
   * @param target - Target that broke a request off.
   * @param onCrashed - Runs once it is known that the target, not this daemon's path to it, is at fault.
   * @returns Resolves once the target has been checked; a check of the path may go on.
   */
  readonly confirm = async (target: ListedTarget, onCrashed: () => void): Promise<void> => {
    if (this.options.isLeaving(target)) return
    const check = this.checks.get(target.id) ?? this.startCheck(target)
    if (await check) return
    const { path } = this.options
    let isConfirmed = false
    path.recordConnect(target.id, false)
    path.afterConfirmation(() => {
      isConfirmed = true
      onCrashed()
    })
    path.whenOpen(() => { if (!isConfirmed) this.confirmLater(target, onCrashed) })
  }

  /** Decides after a cut of the path, when another target may listen at the address. */
  private confirmLater (target: ListedTarget, onCrashed: () => void): void {
    if (this.options.isCurrent(target)) this.confirm(target, onCrashed).catch(() => {})
    else onCrashed()
  }

  private async startCheck (target: ListedTarget): Promise<boolean> {
    const check = this.options.canConnect(target)
    this.checks.set(target.id, check)
    const isOpened = await check
    this.checks.delete(target.id)
    this.options.log.info('target checked after it broke a request off', { targetId: target.id, isOpened })
    return isOpened
  }
}
