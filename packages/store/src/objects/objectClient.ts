import type { ObjectStore, PlatformResult } from '@lovagehoist/common'
import { callPlatform } from '../call/callPlatform.js'
import type { CallOptions } from '../call/callPlatform.js'

/** HTTP client of the platform's object store. */
export class ObjectClient implements ObjectStore {
  private constructor (private readonly baseUrl: string, private readonly options: CallOptions) {}

  /**
   * Creates a client.
   *
   * @param baseUrl - Base URL of the object store.
   * @param options - Options of the calls.
   * @returns The client.
   */
  static create (baseUrl: string, options: CallOptions): ObjectClient {
    return new ObjectClient(baseUrl, options)
  }

  readonly put = async (key: string, body: Uint8Array): PlatformResult<void> => {
    const result = await callPlatform(this.options, { method: 'PUT', url: this.urlOf(key), body, isWrite: true })
    return result.map(() => undefined)
  }

  readonly get = async (key: string): PlatformResult<Uint8Array | undefined> => {
    const result = await callPlatform(this.options, { method: 'GET', url: this.urlOf(key), isWrite: false })
    return result.map(({ status, body }) => status === 404 ? undefined : body)
  }

  private urlOf (key: string): string {
    return `${this.baseUrl}/${encodeURIComponent(key)}`
  }
}
