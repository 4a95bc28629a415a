import type { PlatformError, PlatformResult, ReadOptions, TableRow, TableService, TableTransaction, TransactionOutcome } from '@lovagehoist/common'
import type { Result } from 'neverthrow'
import { callPlatform } from '../call/callPlatform.js'
import type { CallOptions } from '../call/callPlatform.js'

/** HTTP client of the platform's table service. */
export class TableClient implements TableService {
  private constructor (private readonly baseUrl: string, private readonly options: CallOptions) {}

  /**
   * Creates a client.
   *
   * @param baseUrl - Base URL of the table service.
   * @param options - Options of the calls.
   * @returns The client.
   */
  static create (baseUrl: string, options: CallOptions): TableClient {
    return new TableClient(baseUrl, options)
  }

  readonly get = async (table: string, key: string, options: ReadOptions = {}): PlatformResult<TableRow | undefined> => {
    const result = await this.post<{ readonly row: TableRow | null }>('get', { table, key, isFresh: options.isFresh ?? false }, false)
    return result.map(({ row }) => row ?? undefined)
  }

  readonly list = async (table: string, keyPrefix: string, options: ReadOptions = {}): PlatformResult<readonly TableRow[]> => {
    const body = { table, keyPrefix, isFresh: options.isFresh ?? false }
    const result = await this.post<{ readonly rows: readonly TableRow[] }>('list', body, false)
    return result.map(({ rows }) => rows)
  }

  readonly transact = async (transaction: TableTransaction): PlatformResult<TransactionOutcome> =>
    await this.post<TransactionOutcome>('transact', transaction, true)

  private async post<T> (path: string, body: unknown, isWrite: boolean): Promise<Result<T, PlatformError>> {
    const call = { method: 'POST', url: `${this.baseUrl}/${path}`, body: JSON.stringify(body), contentType: 'application/json', isWrite } as const
    const result = await callPlatform(this.options, call)
    return result.map(({ body: bytes }) => JSON.parse(bytes.toString('utf8')) as T)
  }
}
