import { createHash } from 'node:crypto'
import { Logger, type Clock } from '@briarsaddle/common'
import { noVersion, type FormerHolder } from '@briarsaddle/ownership'
import { JournalStage, type Answer, type BucketImport, type FetchJournalResponse, type Forward, type Journal, type JournalAcknowledgement, type JournalEntry } from '@briarsaddle/protocol'

const logger = new Logger('journal')

/** How long an idempotency key is remembered. */
export const journalRetentionMilliseconds = 600_000
/** Content of the journal of an endpoint's first coordinator: no key was ever used. */
export const emptyJournal: FetchJournalResponse = { knownMilliseconds: 10 * journalRetentionMilliseconds, entries: [], imports: [], notReady: false }
/** Content of a journal that cannot be fetched. */
export const unknownJournal: FetchJournalResponse = { knownMilliseconds: 0, entries: [], imports: [], notReady: false }
/** Keys beyond this are refused: to forget a key early could run its request twice. */
const maximumEntries = 100_000
const maximumKeptAnswerBytes = 16_384
const replicationTimeoutMilliseconds = 300

/** Sends journal changes to standby VMs. */
export abstract class JournalSink {
  /** Returns the standby's acknowledgement, or undefined when none came in time. */
  abstract send (vm: string, journal: Omit<Journal, 'id'>, timeoutMilliseconds: number): Promise<JournalAcknowledgement | undefined>
}

interface KeptEntry {
  stage: JournalStage
  answer: Answer | undefined
  readonly fingerprint: string
  readonly bucket: number
  readonly writtenAt: number
}

/** Keys of a bucket that another endpoint held before. */
interface ImportedBucket {
  readonly releasedAt: number
  /** The journal has every key of the bucket that was used since then. */
  readonly knownSince: number
}

/** A request as the journal sees it. */
export interface JournalKey {
  readonly key: string
  readonly fingerprint: string
  readonly bucket: number
  /** The holder of the bucket before the endpoint, whose keys must have been imported. */
  readonly former: FormerHolder | undefined
}

/** What the journal knows about the key of a request. */
export type JournalFinding =
  | { readonly kind: 'new' }
  | { readonly kind: 'answered', readonly answer: Answer }
  | { readonly kind: 'running' | 'unknown' | 'incomplete' | 'different_request' }

/** Identifies the content of a request, so that one key cannot stand for two requests. */
export function requestFingerprint (forward: Forward): string {
  return createHash('sha256').update(`${forward.method} ${forward.target}\n`).update(forward.body).digest('base64url')
}

/** Idempotency keys of one endpoint at its coordinator, with a copy at a standby VM. */
export class IdempotencyJournal {
  readonly #endpoint: string
  readonly #clock: Clock
  readonly #sink: JournalSink
  readonly #entries = new Map<string, KeptEntry>()
  readonly #imported = new Map<number, ImportedBucket>()
  /** The journal has every key that was used since then. */
  #knownSince: number
  #ended = false
  #token: number
  #standby: string | undefined
  /** 0 until a full copy was sent to the standby. */
  #sequence = 0

  constructor (options: { readonly endpoint: string, readonly token: number, readonly standby: string | undefined, readonly clock: Clock, readonly sink: JournalSink }) {
    this.#endpoint = options.endpoint
    this.#token = options.token
    this.#standby = options.standby
    this.#clock = options.clock
    this.#sink = options.sink
    this.#knownSince = options.clock.now()
  }

  /** Number of remembered keys. */
  get size (): number { return this.#entries.size }
  /** False while keys older than this journal may be missing. */
  get complete (): boolean { return this.#knownMilliseconds() >= journalRetentionMilliseconds }
  /** Coordinator token under which the journal is written. */
  get token (): number { return this.#token }

  /** Takes over what a former coordinator wrote. */
  load ({ entries, knownMilliseconds, imports }: FetchJournalResponse): void {
    const now = this.#clock.now()
    for (const entry of entries) this.#entries.set(entry.idempotencyKey, this.#fromWire(entry))
    for (const { bucket, releasedAt, knownMilliseconds } of imports) this.#imported.set(bucket, { releasedAt, knownSince: now - knownMilliseconds })
    this.#knownSince = Math.min(this.#knownSince, now - knownMilliseconds)
    if (!this.complete) logger.warning('journal is incomplete', { endpoint: this.#endpoint, knownMilliseconds: Math.round(knownMilliseconds), entries: entries.length })
  }

  /** True when the keys that the former holder of a bucket had are in the journal. */
  hasImported (bucket: number, releasedAt: number): boolean {
    return this.#imported.get(bucket)?.releasedAt === releasedAt
  }

  /** Notes that keys of a bucket are missing until they are imported. */
  expectImport (bucket: number): void {
    this.#imported.set(bucket, { releasedAt: noVersion, knownSince: this.#clock.now() })
  }

  /** Takes over the keys of buckets that the endpoint has from another one; the map gives their `releasedAt`. */
  async import (buckets: ReadonlyMap<number, number>, { entries, knownMilliseconds }: FetchJournalResponse): Promise<void> {
    const knownSince = this.#clock.now() - knownMilliseconds
    const added = entries.filter(({ idempotencyKey }) => !this.#entries.has(idempotencyKey))
    for (const entry of added) this.#entries.set(entry.idempotencyKey, this.#fromWire(entry))
    for (const [bucket, releasedAt] of buckets) this.#imported.set(bucket, { releasedAt, knownSince })
    logger.info('keys of buckets imported', { endpoint: this.#endpoint, buckets: buckets.size, entries: added.length, knownMilliseconds: Math.round(knownMilliseconds) })
    if (!await this.#sendImports(added)) await this.copyAll()
  }

  /** Keys of buckets that another endpoint has now. */
  export (buckets: readonly number[]): FetchJournalResponse {
    const wanted = new Set(buckets)
    const entries = [...this.#entries].filter(([, { bucket }]) => wanted.has(bucket)).map(([key, entry]) => this.#toWire(key, entry))
    const knownSince = Math.max(this.#knownSince, ...buckets.map(bucket => this.#imported.get(bucket)?.knownSince ?? -Infinity))
    return { knownMilliseconds: this.#clock.now() - knownSince, entries, imports: [], notReady: false }
  }

  /** Moves the copy to another standby under a new token. */
  replaceStandby (token: number, standby: string | undefined): void {
    this.#token = token
    this.#standby = standby
    this.#sequence = 0
  }

  /** Accepts no new key any more and returns everything for the successor. */
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
    // Only the last message says what is known, so that a copy that was cut short does not pass for a full one.
    const pending = [...this.#entries].map(async ([key, entry]) => await this.#send(standby, this.#toWire(key, entry), 0))
    pending.push(this.#send(standby, undefined, this.#knownMilliseconds(), this.#importsToWire()))
    const results = await Promise.all(pending)
    return results.every(Boolean)
  }

  /** Looks a key up without changing anything. */
  find ({ key, fingerprint, bucket, former }: JournalKey): JournalFinding {
    const entry = this.#entries.get(key)
    if (entry === undefined) return this.complete && this.#isKnown(bucket, former) ? { kind: 'new' } : { kind: 'incomplete' }
    if (entry.fingerprint !== fingerprint) return { kind: 'different_request' }
    if (entry.stage === JournalStage.JOURNAL_STAGE_STARTED) return { kind: 'running' }
    if (entry.stage === JournalStage.JOURNAL_STAGE_ANSWERED && entry.answer !== undefined) return { kind: 'answered', answer: entry.answer }
    return { kind: 'unknown' }
  }

  /** Remembers a key before its request is queued. Returns why it cannot be remembered, if so. */
  begin ({ key, fingerprint, bucket }: JournalKey): 'ended' | 'full' | undefined {
    this.#dropOldEntries()
    if (this.#ended) return 'ended'
    if (this.#entries.size >= maximumEntries) return 'full'
    this.#entries.set(key, { stage: JournalStage.JOURNAL_STAGE_STARTED, answer: undefined, fingerprint, bucket, writtenAt: this.#clock.now() })
    return undefined
  }

  /** Copies a key to the standby. The request may be sent to the endpoint only when this returns true. */
  async replicate (key: string): Promise<boolean> {
    const entry = this.#entries.get(key)
    if (entry === undefined || this.#ended) return false
    if (this.#standby === undefined) return true
    if (this.#sequence > 0 && await this.#send(this.#standby, this.#toWire(key, entry), this.#knownMilliseconds())) return !this.#ended
    return await this.copyAll()
  }

  /** Records how the request ended. A request that surely did not run is forgotten. */
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
    // A request that was running under the former coordinator has an outcome that nobody can tell any more.
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
