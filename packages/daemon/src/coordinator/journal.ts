import { createHash } from 'node:crypto'
import { Logger, type Clock } from '@briarsaddle/common'
import { JournalStage, type Answer, type Forward, type FetchJournalResponse, type Journal, type JournalAcknowledgement, type JournalEntry } from '@briarsaddle/protocol'

const logger = new Logger('journal')

/** How long an idempotency key is remembered. */
export const journalRetentionMilliseconds = 600_000
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
  readonly writtenAt: number
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
  readonly #startedAt: number
  #complete = false
  #token: number
  #standby: string | undefined
  #sequence = 0

  constructor (options: { readonly endpoint: string, readonly token: number, readonly standby: string | undefined, readonly clock: Clock, readonly sink: JournalSink }) {
    this.#endpoint = options.endpoint
    this.#token = options.token
    this.#standby = options.standby
    this.#clock = options.clock
    this.#sink = options.sink
    this.#startedAt = options.clock.now()
  }

  /** Number of remembered keys. */
  get size (): number { return this.#entries.size }
  /** False while keys older than this journal may be missing. */
  get complete (): boolean { return this.#complete }

  /** Takes over what a former coordinator wrote. `complete` says that nothing is missing. */
  load (entries: readonly JournalEntry[], complete: boolean): void {
    const now = this.#clock.now()
    for (const entry of entries) {
      // A request that was running under the former coordinator has an outcome that nobody can tell any more.
      const stage = entry.stage === JournalStage.JOURNAL_STAGE_STARTED ? JournalStage.JOURNAL_STAGE_UNKNOWN : entry.stage
      this.#entries.set(entry.idempotencyKey, { stage, answer: entry.answer, fingerprint: entry.fingerprint, writtenAt: now - entry.ageMilliseconds })
    }
    this.#complete = complete
    if (!complete) logger.warning('journal is incomplete', { endpoint: this.#endpoint, entries: entries.length })
  }

  /** Moves the copy to another standby under a new token. */
  replaceStandby (token: number, standby: string | undefined): void {
    this.#token = token
    this.#standby = standby
    this.#sequence = 0
  }

  /** Sends the whole journal to the standby. Returns false when the standby did not confirm a complete copy. */
  async copyAll (): Promise<boolean> {
    const standby = this.#standby
    if (standby === undefined) return true
    this.#sequence = 0
    const pending = [this.#send(standby, undefined)]
    for (const [key, entry] of this.#entries) pending.push(this.#send(standby, this.#toWire(key, entry)))
    const results = await Promise.all(pending)
    return results.every(Boolean)
  }

  /** Looks a key up without changing anything. */
  find (key: string, fingerprint: string): JournalFinding {
    const entry = this.#entries.get(key)
    if (entry === undefined) return this.#mayMissOlderKeys() ? { kind: 'incomplete' } : { kind: 'new' }
    if (entry.fingerprint !== fingerprint) return { kind: 'different_request' }
    if (entry.stage === JournalStage.JOURNAL_STAGE_STARTED) return { kind: 'running' }
    if (entry.stage === JournalStage.JOURNAL_STAGE_ANSWERED && entry.answer !== undefined) return { kind: 'answered', answer: entry.answer }
    return { kind: 'unknown' }
  }

  /** Remembers a key before its request is queued. */
  begin (key: string, fingerprint: string): void {
    this.#dropOldEntries()
    this.#entries.set(key, { stage: JournalStage.JOURNAL_STAGE_STARTED, answer: undefined, fingerprint, writtenAt: this.#clock.now() })
  }

  /** Copies a key to the standby. The request may be sent to the endpoint only when this returns true. */
  async replicate (key: string): Promise<boolean> {
    const entry = this.#entries.get(key)
    if (entry === undefined) return false
    if (this.#standby === undefined) return true
    if (await this.#send(this.#standby, this.#toWire(key, entry))) return true
    return await this.copyAll()
  }

  /** Records how the request ended. A request that surely did not run is forgotten. */
  finish (key: string, stage: JournalStage, answer: Answer | undefined): void {
    const entry = this.#entries.get(key)
    if (entry === undefined) return
    if (stage === JournalStage.JOURNAL_STAGE_REMOVED) this.#entries.delete(key)
    entry.stage = stage
    entry.answer = answer !== undefined && answer.body.length <= maximumKeptAnswerBytes ? answer : undefined
    if (this.#standby !== undefined) void this.#send(this.#standby, this.#toWire(key, entry))
  }

  async #send (standby: string, entry: JournalEntry | undefined): Promise<boolean> {
    this.#sequence += 1
    const acknowledgement = await this.#sink.send(standby, { endpoint: this.#endpoint, token: this.#token, sequence: this.#sequence, entry }, replicationTimeoutMilliseconds)
    return acknowledgement?.complete === true
  }

  #toWire (key: string, entry: KeptEntry): JournalEntry {
    return { idempotencyKey: key, stage: entry.stage, ageMilliseconds: this.#clock.now() - entry.writtenAt, answer: entry.answer, fingerprint: entry.fingerprint }
  }

  #mayMissOlderKeys (): boolean {
    return !this.#complete && this.#clock.now() - this.#startedAt < journalRetentionMilliseconds
  }

  #dropOldEntries (): void {
    const oldest = this.#clock.now() - journalRetentionMilliseconds
    for (const [key, entry] of this.#entries) {
      if (entry.writtenAt > oldest && this.#entries.size < maximumEntries) return
      this.#entries.delete(key)
    }
  }
}

interface JournalCopy {
  readonly token: number
  nextSequence: number
  readonly entries: Map<string, { entry: JournalEntry, receivedAt: number }>
}

/** Copies of the journals for which this VM is the standby. */
export class JournalCopies {
  readonly #clock: Clock
  readonly #copies = new Map<string, JournalCopy>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Applies a change. A gap in the sequence makes the coordinator send everything again. */
  receive (journal: Journal): JournalAcknowledgement {
    const { id, endpoint, token, sequence, entry } = journal
    const existing = this.#copies.get(endpoint)
    if (existing !== undefined && existing.token > token) return { id, complete: false }
    let copy = existing
    if (sequence === 1) {
      copy = { token, nextSequence: 1, entries: new Map() }
      this.#copies.set(endpoint, copy)
    }
    if (copy === undefined || copy.token !== token || copy.nextSequence !== sequence) {
      if (copy !== undefined && copy.token === token) this.#copies.delete(endpoint)
      return { id, complete: false }
    }
    copy.nextSequence += 1
    if (entry !== undefined) this.#apply(copy, entry)
    return { id, complete: true }
  }

  /** Returns the copy that the coordinator with this token wrote. */
  fetch (endpoint: string, token: number): FetchJournalResponse {
    const copy = this.#copies.get(endpoint)
    if (copy === undefined || copy.token !== token) return { complete: false, entries: [] }
    const now = this.#clock.now()
    const entries = [...copy.entries.values()].map(({ entry, receivedAt }) => ({ ...entry, ageMilliseconds: entry.ageMilliseconds + now - receivedAt }))
    return { complete: true, entries }
  }

  /** Drops copies of endpoints for which this VM is not the standby any more. */
  keepOnly (endpoints: ReadonlySet<string>): void {
    for (const endpoint of this.#copies.keys()) if (!endpoints.has(endpoint)) this.#copies.delete(endpoint)
  }

  #apply (copy: JournalCopy, entry: JournalEntry): void {
    if (entry.stage === JournalStage.JOURNAL_STAGE_REMOVED) copy.entries.delete(entry.idempotencyKey)
    else copy.entries.set(entry.idempotencyKey, { entry, receivedAt: this.#clock.now() })
    const oldest = this.#clock.now() - journalRetentionMilliseconds
    for (const [key, kept] of copy.entries) {
      if (kept.receivedAt - kept.entry.ageMilliseconds > oldest) break
      copy.entries.delete(key)
    }
  }
}
