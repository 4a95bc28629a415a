import type { DirectoryEntry, InstanceDirectory, PlatformResult } from '@lovagehoist/common'
import { callPlatform } from '../call/callPlatform.js'
import type { CallOptions } from '../call/callPlatform.js'

/** Client of the platform's list of instances over HTTP. */
export class DirectoryClient implements InstanceDirectory {
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
    const reply = await callPlatform(this.options, { method: 'GET', url: this.url, isWrite: false })
    return reply.map(({ body }) => (JSON.parse(body.toString('utf8')) as { readonly entries: readonly DirectoryEntry[] }).entries)
  }
}
