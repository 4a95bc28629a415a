import type { DirectoryEntry, InstanceDirectory, PlatformError, PlatformResult } from '@lovagehoist/common'
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { callPlatform } from '../call/callPlatform.js'
import type { CallOptions, PlatformReply } from '../call/callPlatform.js'

/** Age up to which parts of a daemon share one reading of the list. */
const SHARED_MS = 900
const STATUS_NOT_MODIFIED = 304

interface Reading {
  readonly entries: readonly DirectoryEntry[]
  readonly tag: string | undefined
  readonly atMs: number
}

/** Client of the platform's list of instances over HTTP; an unchanged list is not transferred again. */
export class DirectoryClient implements InstanceDirectory {
  private held: Reading | undefined
  private running: Promise<Result<readonly DirectoryEntry[], PlatformError>> | undefined

  private constructor (private readonly url: string, private readonly options: CallOptions) {}

  /**
   * Creates a client.
   *
   * @param url - Address of the list.
   * @param options - How calls are made.
   * @returns The client.
   */
  static create (url: string, options: CallOptions): DirectoryClient {
    return new DirectoryClient(url, options)
  }

  readonly list = async (): PlatformResult<readonly DirectoryEntry[]> => {
    const { held } = this
    if (held !== undefined && this.options.clock.monotonicMs() - held.atMs < SHARED_MS) return ok(held.entries)
    this.running ??= this.read().finally(() => { this.running = undefined })
    return await this.running
  }

  private async read (): Promise<Result<readonly DirectoryEntry[], PlatformError>> {
    const reply = await callPlatform(this.options, { method: 'GET', url: this.url, heldTag: this.held?.tag, isWrite: false })
    return reply.map(answer => {
      const entries = this.entriesOf(answer)
      this.held = { entries, tag: answer.tag ?? this.held?.tag, atMs: this.options.clock.monotonicMs() }
      return entries
    })
  }

  private entriesOf ({ status, body }: PlatformReply): readonly DirectoryEntry[] {
    if (status === STATUS_NOT_MODIFIED) return this.held?.entries ?? []
    return (JSON.parse(body.toString('utf8')) as { readonly entries: readonly DirectoryEntry[] }).entries
  }
}
