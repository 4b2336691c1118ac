import { delay, describeError, Logger, type Clock, type LifeCycle } from '@briarsaddle/common'
import type { FetchJournalRequest, FetchJournalResponse } from '@briarsaddle/protocol'
import { unknownJournal, type IdempotencyJournal } from './journal.js'

const logger = new Logger('journal')
const retryMilliseconds = 50
/** Within this time, a lost coordinator of the former holder is replaced; otherwise its journal counts as lost. */
const longestImportMilliseconds = 5000

/** A bucket that another endpoint held before. */
export interface HandedOverBucket {
  readonly bucket: number
  /** Endpoint that held the bucket before. */
  readonly from: string
  /** Log offset of the `released` record. */
  readonly releasedAt: number
}

/** Fetches the journals of endpoints from their coordinators. */
export abstract class FormerHolderJournals {
  /** Returns undefined when the coordinator of the endpoint is not known, or has not read the log as far as the position in the request. */
  abstract fetch (request: FetchJournalRequest): Promise<FetchJournalResponse | undefined>
}

/** Imports the idempotency keys of buckets that have moved to this endpoint from their former holders' journals. */
export class JournalImports {
  readonly #endpoint: string
  readonly #journal: IdempotencyJournal
  readonly #journals: FormerHolderJournals
  readonly #clock: Clock
  readonly #lifeCycle: LifeCycle
  readonly #running = new Map<number, Promise<void>>()

  constructor (options: { readonly endpoint: string, readonly journal: IdempotencyJournal, readonly journals: FormerHolderJournals, readonly clock: Clock, readonly lifeCycle: LifeCycle }) {
    this.#endpoint = options.endpoint
    this.#journal = options.journal
    this.#journals = options.journals
    this.#clock = options.clock
    this.#lifeCycle = options.lifeCycle
  }

  /** Starts the imports that are missing. */
  review (buckets: readonly HandedOverBucket[]): void {
    const byFormer = new Map<string, Map<number, number>>()
    for (const { bucket, from, releasedAt } of buckets) {
      if (from === this.#endpoint || this.#running.has(bucket) || this.#journal.hasImported(bucket, releasedAt)) continue
      this.#journal.expectImport(bucket)
      byFormer.set(from, (byFormer.get(from) ?? new Map<number, number>()).set(bucket, releasedAt))
    }
    for (const [from, wanted] of byFormer) this.#start(from, wanted)
  }

  /** The running import of the bucket, which resolves when it has ended; undefined when none is running. */
  running (bucket: number): Promise<void> | undefined {
    return this.#running.get(bucket)
  }

  #start (from: string, wanted: ReadonlyMap<number, number>): void {
    const running = this.#import(from, wanted).finally(() => {
      for (const bucket of wanted.keys()) this.#running.delete(bucket)
    })
    for (const bucket of wanted.keys()) this.#running.set(bucket, running)
  }

  async #import (from: string, wanted: ReadonlyMap<number, number>): Promise<void> {
    const request = { endpoint: from, token: 0, buckets: [...wanted.keys()], position: Math.max(...wanted.values()) }
    const endsAt = this.#clock.now() + longestImportMilliseconds
    let fetched: FetchJournalResponse | undefined
    while (!this.#lifeCycle.closed && fetched === undefined && this.#clock.now() < endsAt) {
      fetched = await this.#fetch(request)
      if (fetched === undefined) await delay(retryMilliseconds, this.#lifeCycle.signal)
    }
    if (!this.#lifeCycle.closed) await this.#journal.import(wanted, fetched ?? unknownJournal)
  }

  async #fetch (request: FetchJournalRequest): Promise<FetchJournalResponse | undefined> {
    try {
      return await this.#journals.fetch(request)
    } catch (error) {
      logger.debug('journal of the former holder cannot be fetched', { endpoint: this.#endpoint, from: request.endpoint, reason: describeError(error) })
      return undefined
    }
  }
}
