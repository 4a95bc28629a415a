import type { DirectoryEntry, InstanceDirectory, PlatformError, PlatformResult } from '@lovagehoist/common'
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { callPlatform } from '../call/callPlatform.js'
import type { CallOptions, PlatformResponse } from '../call/callPlatform.js'

/** Age up to which a cached list is returned without a new call. */
const CACHE_TTL_MS = 900
const HTTP_NOT_MODIFIED = 304

interface CachedList {
  readonly entries: readonly DirectoryEntry[]
  readonly etag: string | undefined
  readonly atMs: number
}

/** HTTP client of the platform's directory; it caches the list briefly and uses conditional requests, so that an unchanged list is not transferred again. */
export class DirectoryClient implements InstanceDirectory {
  private cached: CachedList | undefined
  private pendingRead: Promise<Result<readonly DirectoryEntry[], PlatformError>> | undefined

  private constructor (private readonly url: string, private readonly options: CallOptions) {}

  /**
   * Creates a client.
   *
   * @param url - URL of the list.
   * @param options - Options of the calls.
   * @returns The client.
   */
  static create (url: string, options: CallOptions): DirectoryClient {
    return new DirectoryClient(url, options)
  }

  readonly list = async (): PlatformResult<readonly DirectoryEntry[]> => {
    const { cached } = this
    if (cached !== undefined && this.options.clock.monotonicMs() - cached.atMs < CACHE_TTL_MS) return ok(cached.entries)
    this.pendingRead ??= this.read().finally(() => { this.pendingRead = undefined })
    return await this.pendingRead
  }

  private async read (): Promise<Result<readonly DirectoryEntry[], PlatformError>> {
    const result = await callPlatform(this.options, { method: 'GET', url: this.url, cachedEtag: this.cached?.etag, isWrite: false })
    return result.map(response => {
      const entries = this.entriesOf(response)
      this.cached = { entries, etag: response.etag ?? this.cached?.etag, atMs: this.options.clock.monotonicMs() }
      return entries
    })
  }

  private entriesOf ({ status, body }: PlatformResponse): readonly DirectoryEntry[] {
    if (status === HTTP_NOT_MODIFIED) return this.cached?.entries ?? []
    return (JSON.parse(body.toString('utf8')) as { readonly entries: readonly DirectoryEntry[] }).entries
  }
}
