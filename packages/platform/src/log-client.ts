/** One record of a stream. */
export interface LogRecord {
  readonly offset: number
  readonly body: string
}

/** Answer to a read. */
export interface LogPage {
  /** Oldest offset that is still retained. */
  readonly first: number
  /** Offset that the next appended record will get. */
  readonly next: number
  readonly records: readonly LogRecord[]
}

/** Options of a read. */
export interface ReadOptions {
  /** Offset of the first record to return. */
  readonly from: number
  /** Maximum number of records to return. */
  readonly limit?: number
  /** How long the service may delay the answer while there is no record at `from` (long poll), in milliseconds. */
  readonly waitMilliseconds?: number
  readonly signal?: AbortSignal
}

/** Client of one stream of the platform's log service. */
export abstract class LogClient {
  /**
   * Appends one record and returns its offset.
   * Throws `log_unavailable` when the record was certainly not written and `log_unknown` when it may have been written.
   */
  abstract append (body: string, signal?: AbortSignal): Promise<number>

  /** Reads records. Throws `log_unavailable`, or `log_forgotten` when `from` is older than the oldest retained record. */
  abstract read (options: ReadOptions): Promise<LogPage>
}
