import { z } from 'zod'
import { BriarsaddleError, delay, describeError, errorCode, MonotonicClock, type Clock } from '@briarsaddle/common'
import type { LogClient } from './log-client.js'

/** A record to append, with what is needed to find it in the log when the answer is lost. */
export interface SettledAppend {
  /** JSON text of an object whose property `id` equals `id` below. */
  readonly body: string
  readonly id: string
  /** Lowest offset that the record can get; the search starts there. */
  readonly from: number
  readonly signal?: AbortSignal
  /** How long to keep searching for a late write after the append has failed, in milliseconds. Default 2000. */
  readonly lateWriteMilliseconds?: number
  /** Limit of the time for the search, in milliseconds. Default 10000. */
  readonly settleTimeoutMilliseconds?: number
  readonly clock?: Clock
}

const defaultLateWriteMilliseconds = 2000
const defaultSettleTimeoutMilliseconds = 10_000
const retryMilliseconds = 100
const pageLimit = 1000
// Kept short because a broken connection is detected only after the wait.
const longestWaitMilliseconds = 500
const identifiedSchema = z.object({ id: z.string() })

/**
 * Appends a record and, when the answer is lost, looks for it in the log. Returns the record's offset.
 *
 * Throws `log_unavailable` when the record was never sent or was refused.
 *
 * Throws `log_unknown` when the answer was lost and the record was not found within `lateWriteMilliseconds`: the service
 * may still write it later. A caller that appends the record again must use the same `id`, so that it counts once.
 *
 * Also throws `log_unknown` when the log could not be read to its end in time, when it has discarded records from `from`
 * on, or when the signal was aborted.
 */
export async function appendSettled (client: LogClient, append: SettledAppend): Promise<number> {
  try {
    return await client.append(append.body, append.signal)
  } catch (error) {
    if (errorCode(error) !== 'log_unknown') throw error
    return await new RecordSearch(client, append, describeError(error)).run()
  }
}

/** Searches the log for a record whose append got no answer. */
class RecordSearch {
  readonly #client: LogClient
  readonly #append: SettledAppend
  /** Why the append got no answer. */
  readonly #appendFailure: string
  readonly #clock: Clock
  readonly #lateWriteEnd: number
  readonly #deadline: number
  #from: number
  #reachedEnd = false

  constructor (client: LogClient, append: SettledAppend, appendFailure: string) {
    this.#client = client
    this.#append = append
    this.#appendFailure = appendFailure
    this.#clock = append.clock ?? new MonotonicClock()
    this.#from = append.from
    this.#lateWriteEnd = this.#clock.now() + (append.lateWriteMilliseconds ?? defaultLateWriteMilliseconds)
    this.#deadline = Math.max(this.#lateWriteEnd, this.#clock.now() + (append.settleTimeoutMilliseconds ?? defaultSettleTimeoutMilliseconds))
  }

  async run (): Promise<number> {
    for (;;) {
      if (this.#append.signal?.aborted === true) throw this.#unknown('the search was cancelled')
      const startedAt = this.#clock.now()
      if (startedAt > this.#deadline) throw this.#unknown('the log could not be read to its end in time')
      const result = await this.#readPage(startedAt)
      if (typeof result === 'number') return result
      if (result === 'end' && startedAt >= this.#lateWriteEnd) throw this.#unknown('it is not in the log, but a late write cannot be excluded')
      if (result === 'failed') await delay(retryMilliseconds, this.#append.signal)
    }
  }

  async #readPage (startedAt: number): Promise<number | 'more' | 'end' | 'failed'> {
    const { id, signal } = this.#append
    try {
      const waitMilliseconds = this.#reachedEnd ? Math.min(longestWaitMilliseconds, Math.max(0, this.#lateWriteEnd - startedAt)) : 0
      const page = await this.#client.read({ from: this.#from, limit: pageLimit, waitMilliseconds, ...(signal !== undefined && { signal }) })
      const found = page.records.find(record => recordId(record.body) === id)
      if (found !== undefined) return found.offset
      const last = page.records.at(-1)
      if (last !== undefined) this.#from = last.offset + 1
      this.#reachedEnd = this.#from >= page.next
      return this.#reachedEnd ? 'end' : 'more'
    } catch (error) {
      if (errorCode(error) === 'log_forgotten') throw this.#unknown(describeError(error))
      return 'failed'
    }
  }

  #unknown (reason: string): BriarsaddleError {
    return new BriarsaddleError(`record ${this.#append.id} may have been written: ${this.#appendFailure}; ${reason}`, { code: 'log_unknown', step: 'settle append' })
  }
}

function recordId (body: string): string | undefined {
  try {
    return identifiedSchema.safeParse(JSON.parse(body)).data?.id
  } catch {
    return undefined
  }
}
