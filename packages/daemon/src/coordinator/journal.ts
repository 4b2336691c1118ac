import { createHash } from 'node:crypto'
import { Logger, type Clock } from '@briarsaddle/common'
import { noVersion, type FormerHolder } from '@briarsaddle/ownership'
import { JournalStage, type Answer, type BucketImport, type FetchJournalResponse, type Forward, type Journal, type JournalAcknowledgement, type JournalEntry } from '@briarsaddle/protocol'

const logger = new Logger('journal')

/** Time for which an idempotency key is kept. */
export const journalRetentionMilliseconds = 600_000
/** Content of the journal of an endpoint's first coordinator: no key has been used. */
export const emptyJournal: FetchJournalResponse = { knownMilliseconds: 10 * journalRetentionMilliseconds, entries: [], imports: [], notReady: false }
/** Content of a journal that cannot be fetched. */
export const unknownJournal: FetchJournalResponse = { knownMilliseconds: 0, entries: [], imports: [], notReady: false }
/** A full journal refuses new keys: dropping a key early could run its request twice. */
const maximumEntries = 100_000
const maximumKeptAnswerBytes = 16_384
const replicationTimeoutMilliseconds = 300

/** Sends changes of a journal to standby VMs. */
export abstract class JournalSink {
  /** Returns the standby's acknowledgement, or undefined when none came in time. */
  abstract send (vm: string, journal: Omit<Journal, 'id'>, timeoutMilliseconds: number): Promise<JournalAcknowledgement | undefined>
}

/** An idempotency key and the result of its request. */
interface KeptEntry {
  stage: JournalStage
  answer: Answer | undefined
  readonly fingerprint: string
  readonly bucket: number
  readonly writtenAt: number
}

/** State of the import of keys for a bucket that another endpoint held before. */
interface ImportedBucket {
  /** Log offset of the `released` record by which the former holder gave up the bucket; `noVersion` until its keys are imported. */
  readonly releasedAt: number
  /** Local time since which the journal has every key of the bucket. */
  readonly knownSince: number
}

/** An idempotency key with the properties of its request that the journal compares. */
export interface JournalKey {
  readonly key: string
  readonly fingerprint: string
  readonly bucket: number
  /** The endpoint that held the bucket before, whose keys must have been imported. */
  readonly former: FormerHolder | undefined
}

/** What the journal knows about the key of a request. */
export type JournalFinding =
  | { readonly kind: 'new' }
  | { readonly kind: 'answered', readonly answer: Answer }
  | { readonly kind: 'running' | 'unknown' | 'incomplete' | 'different_request' }

/** Returns a hash of the method, target and body, so that a key that is reused for a different request is detected. */
export function requestFingerprint (forward: Forward): string {
  return createHash('sha256').update(`${forward.method} ${forward.target}\n`).update(forward.body).digest('base64url')
}

/** Idempotency keys of one endpoint's requests, kept by its coordinator with a copy at a standby VM. */
export class IdempotencyJournal {
  readonly #endpoint: string
  readonly #clock: Clock
  readonly #sink: JournalSink
  readonly #entries = new Map<string, KeptEntry>()
  readonly #imported = new Map<number, ImportedBucket>()
  /** Local time since which the journal has every key. */
  #knownSince: number
  #ended = false
  #token: number
  #standby: string | undefined
  /** Number of the last change sent to the standby; 0 until a full copy has been sent. */
  #sequence = 0

  constructor (options: { readonly endpoint: string, readonly token: number, readonly standby: string | undefined, readonly clock: Clock, readonly sink: JournalSink }) {
    this.#endpoint = options.endpoint
    this.#token = options.token
    this.#standby = options.standby
    this.#clock = options.clock
    this.#sink = options.sink
    this.#knownSince = options.clock.now()
  }

  /** Number of keys in the journal. */
  get size (): number { return this.#entries.size }
  /** False while keys that have not expired may be missing. */
  get complete (): boolean { return this.#knownMilliseconds() >= journalRetentionMilliseconds }
  /** Coordinator token under which the journal is written. */
  get token (): number { return this.#token }

  /** Adds the content of the journal of a former coordinator. */
  load ({ entries, knownMilliseconds, imports }: FetchJournalResponse): void {
    const now = this.#clock.now()
    for (const entry of entries) this.#entries.set(entry.idempotencyKey, this.#fromWire(entry))
    for (const { bucket, releasedAt, knownMilliseconds } of imports) this.#imported.set(bucket, { releasedAt, knownSince: now - knownMilliseconds })
    this.#knownSince = Math.min(this.#knownSince, now - knownMilliseconds)
    if (!this.complete) logger.warning('idempotency journal is incomplete', { endpoint: this.#endpoint, knownMilliseconds: Math.round(knownMilliseconds), entries: entries.length })
  }

  /** True when the keys of the bucket were imported from the holder that released it at this log offset. */
  hasImported (bucket: number, releasedAt: number): boolean {
    return this.#imported.get(bucket)?.releasedAt === releasedAt
  }

  /** Marks the keys of a bucket as missing until they are imported. */
  expectImport (bucket: number): void {
    this.#imported.set(bucket, { releasedAt: noVersion, knownSince: this.#clock.now() })
  }

  /** Adds the keys of buckets that another endpoint held before. The map has the log offset of the `released` record for each bucket. */
  async import (buckets: ReadonlyMap<number, number>, { entries, knownMilliseconds }: FetchJournalResponse): Promise<void> {
    const knownSince = this.#clock.now() - knownMilliseconds
    const added = entries.filter(({ idempotencyKey }) => !this.#entries.has(idempotencyKey))
    for (const entry of added) this.#entries.set(entry.idempotencyKey, this.#fromWire(entry))
    for (const [bucket, releasedAt] of buckets) this.#imported.set(bucket, { releasedAt, knownSince })
    logger.info('idempotency keys imported', { endpoint: this.#endpoint, buckets: buckets.size, entries: added.length, knownMilliseconds: Math.round(knownMilliseconds) })
    if (!await this.#sendImports(added)) await this.copyAll()
  }

  /** Returns the keys of buckets that have moved to another endpoint. */
  export (buckets: readonly number[]): FetchJournalResponse {
    const wanted = new Set(buckets)
    const entries = [...this.#entries].filter(([, { bucket }]) => wanted.has(bucket)).map(([key, entry]) => this.#toWire(key, entry))
    const knownSince = Math.max(this.#knownSince, ...buckets.map(bucket => this.#imported.get(bucket)?.knownSince ?? -Infinity))
    return { knownMilliseconds: this.#clock.now() - knownSince, entries, imports: [], notReady: false }
  }

  /** Continues under a new token and with another standby, which needs a full copy. */
  replaceStandby (token: number, standby: string | undefined): void {
    this.#token = token
    this.#standby = standby
    this.#sequence = 0
  }

  /** Stops accepting new keys and returns the whole content for the successor. */
  end (): FetchJournalResponse {
    this.#ended = true
    const entries = [...this.#entries].map(([key, entry]) => this.#toWire(key, entry))
    return { knownMilliseconds: this.#knownMilliseconds(), entries, imports: this.#importsToWire(), notReady: false }
  }

  /** Sends the whole journal to the standby. Returns false when the standby did not confirm a complete copy. */
  async copyAll (): Promise<boolean> {
    const standby = this.#standby
    if (standby === undefined) return true
    this.#sequence = 0
    // Only the last message says since when the keys are complete, so that an interrupted copy does not count as complete.
    const pending = [...this.#entries].map(async ([key, entry]) => await this.#send(standby, this.#toWire(key, entry), 0))
    pending.push(this.#send(standby, undefined, this.#knownMilliseconds(), this.#importsToWire()))
    const results = await Promise.all(pending)
    return results.every(Boolean)
  }

  /** Looks up a key without changing the journal. */
  find ({ key, fingerprint, bucket, former }: JournalKey): JournalFinding {
    const entry = this.#entries.get(key)
    if (entry === undefined) return this.complete && this.#isKnown(bucket, former) ? { kind: 'new' } : { kind: 'incomplete' }
    if (entry.fingerprint !== fingerprint) return { kind: 'different_request' }
    if (entry.stage === JournalStage.JOURNAL_STAGE_STARTED) return { kind: 'running' }
    if (entry.stage === JournalStage.JOURNAL_STAGE_ANSWERED && entry.answer !== undefined) return { kind: 'answered', answer: entry.answer }
    return { kind: 'unknown' }
  }

  /** Adds a key before its request is queued. Returns the reason when the key cannot be added. */
  begin ({ key, fingerprint, bucket }: JournalKey): 'ended' | 'full' | undefined {
    this.#dropOldEntries()
    if (this.#ended) return 'ended'
    if (this.#entries.size >= maximumEntries) return 'full'
    this.#entries.set(key, { stage: JournalStage.JOURNAL_STAGE_STARTED, answer: undefined, fingerprint, bucket, writtenAt: this.#clock.now() })
    return undefined
  }

  /** Copies a key to the standby. The request may be sent to the endpoint only if this resolves to true. */
  async replicate (key: string): Promise<boolean> {
    const entry = this.#entries.get(key)
    if (entry === undefined || this.#ended) return false
    if (this.#standby === undefined) return true
    if (this.#sequence > 0 && await this.#send(this.#standby, this.#toWire(key, entry), this.#knownMilliseconds())) return !this.#ended
    return await this.copyAll()
  }

  /** Records the result of a request. The key of a request that did not run is removed. */
  finish (key: string, stage: JournalStage, answer: Answer | undefined): void {
    const entry = this.#entries.get(key)
    if (entry === undefined) return
    if (stage === JournalStage.JOURNAL_STAGE_REMOVED) this.#entries.delete(key)
    entry.stage = stage
    entry.answer = answer !== undefined && answer.body.length <= maximumKeptAnswerBytes ? answer : undefined
    if (this.#standby !== undefined && this.#sequence > 0) void this.#send(this.#standby, this.#toWire(key, entry), this.#knownMilliseconds())
  }

  async #send (standby: string, entry: JournalEntry | undefined, knownMilliseconds: number, imports: BucketImport[] = []): Promise<boolean> {
    this.#sequence += 1
    const acknowledgement = await this.#sink.send(standby, { endpoint: this.#endpoint, token: this.#token, sequence: this.#sequence, entry, knownMilliseconds, imports }, replicationTimeoutMilliseconds)
    return acknowledgement?.complete === true
  }

  #toWire (key: string, entry: KeptEntry): JournalEntry {
    return { idempotencyKey: key, stage: entry.stage, ageMilliseconds: this.#clock.now() - entry.writtenAt, answer: entry.answer, fingerprint: entry.fingerprint, bucket: entry.bucket }
  }

  #fromWire ({ stage, answer, fingerprint, bucket, ageMilliseconds }: JournalEntry): KeptEntry {
    // The outcome of a request that was running under the former coordinator can no longer be determined.
    const kept = stage === JournalStage.JOURNAL_STAGE_STARTED ? JournalStage.JOURNAL_STAGE_UNKNOWN : stage
    return { stage: kept, answer, fingerprint, bucket, writtenAt: this.#clock.now() - ageMilliseconds }
  }

  async #sendImports (added: readonly JournalEntry[]): Promise<boolean> {
    const standby = this.#standby
    if (standby === undefined || this.#sequence === 0) return false
    const known = this.#knownMilliseconds()
    const pending = added.map(async entry => await this.#send(standby, entry, known))
    const sent = await Promise.all([...pending, this.#send(standby, undefined, known, this.#importsToWire())])
    return sent.every(Boolean)
  }

  #importsToWire (): BucketImport[] {
    const now = this.#clock.now()
    return [...this.#imported].filter(([, { releasedAt }]) => releasedAt !== noVersion).map(([bucket, { releasedAt, knownSince }]) => ({ bucket, releasedAt, knownMilliseconds: now - knownSince }))
  }

  #isKnown (bucket: number, former: FormerHolder | undefined): boolean {
    if (former === undefined) return true
    const imported = this.#imported.get(bucket)
    return imported?.releasedAt === former.releasedAt && this.#clock.now() - imported.knownSince >= journalRetentionMilliseconds
  }

  #knownMilliseconds (): number {
    return this.#clock.now() - this.#knownSince
  }

  #dropOldEntries (): void {
    const oldest = this.#clock.now() - journalRetentionMilliseconds
    for (const [key, entry] of this.#entries) {
      if (entry.writtenAt > oldest) return
      this.#entries.delete(key)
    }
  }
}
