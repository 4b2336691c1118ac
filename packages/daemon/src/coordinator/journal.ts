import { createHash } from 'node:crypto'
import { Logger, type Clock } from '@briarsaddle/common'
import { JournalStage, type Answer, type FetchJournalResponse, type Forward, type Journal, type JournalAcknowledgement, type JournalEntry } from '@briarsaddle/protocol'

const logger = new Logger('journal')

/** How long an idempotency key is remembered. */
export const journalRetentionMilliseconds = 600_000
/** Content of the journal of an endpoint's first coordinator: no key was ever used. */
export const emptyJournal: FetchJournalResponse = { knownMilliseconds: 10 * journalRetentionMilliseconds, entries: [] }
/** Content of a journal that cannot be fetched. */
export const unknownJournal: FetchJournalResponse = { knownMilliseconds: 0, entries: [] }
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
  load ({ entries, knownMilliseconds }: FetchJournalResponse): void {
    const now = this.#clock.now()
    for (const entry of entries) {
      // A request that was running under the former coordinator has an outcome that nobody can tell any more.
      const stage = entry.stage === JournalStage.JOURNAL_STAGE_STARTED ? JournalStage.JOURNAL_STAGE_UNKNOWN : entry.stage
      this.#entries.set(entry.idempotencyKey, { stage, answer: entry.answer, fingerprint: entry.fingerprint, writtenAt: now - entry.ageMilliseconds })
    }
    this.#knownSince = Math.min(this.#knownSince, now - knownMilliseconds)
    if (!this.complete) logger.warning('journal is incomplete', { endpoint: this.#endpoint, knownMilliseconds: Math.round(knownMilliseconds), entries: entries.length })
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
    return { knownMilliseconds: this.#knownMilliseconds(), entries }
  }

  /** Sends the whole journal to the standby. Returns false when the standby did not confirm a complete copy. */
  async copyAll (): Promise<boolean> {
    const standby = this.#standby
    if (standby === undefined) return true
    this.#sequence = 0
    // Only the last message says what is known, so that a copy that was cut short does not pass for a full one.
    const pending = [...this.#entries].map(async ([key, entry]) => await this.#send(standby, this.#toWire(key, entry), 0))
    pending.push(this.#send(standby, undefined, this.#knownMilliseconds()))
    const results = await Promise.all(pending)
    return results.every(Boolean)
  }

  /** Looks a key up without changing anything. */
  find (key: string, fingerprint: string): JournalFinding {
    const entry = this.#entries.get(key)
    if (entry === undefined) return this.complete ? { kind: 'new' } : { kind: 'incomplete' }
    if (entry.fingerprint !== fingerprint) return { kind: 'different_request' }
    if (entry.stage === JournalStage.JOURNAL_STAGE_STARTED) return { kind: 'running' }
    if (entry.stage === JournalStage.JOURNAL_STAGE_ANSWERED && entry.answer !== undefined) return { kind: 'answered', answer: entry.answer }
    return { kind: 'unknown' }
  }

  /** Remembers a key before its request is queued. Returns why it cannot be remembered, if so. */
  begin (key: string, fingerprint: string): 'ended' | 'full' | undefined {
    this.#dropOldEntries()
    if (this.#ended) return 'ended'
    if (this.#entries.size >= maximumEntries) return 'full'
    this.#entries.set(key, { stage: JournalStage.JOURNAL_STAGE_STARTED, answer: undefined, fingerprint, writtenAt: this.#clock.now() })
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

  async #send (standby: string, entry: JournalEntry | undefined, knownMilliseconds: number): Promise<boolean> {
    this.#sequence += 1
    const acknowledgement = await this.#sink.send(standby, { endpoint: this.#endpoint, token: this.#token, sequence: this.#sequence, entry, knownMilliseconds }, replicationTimeoutMilliseconds)
    return acknowledgement?.complete === true
  }

  #toWire (key: string, entry: KeptEntry): JournalEntry {
    return { idempotencyKey: key, stage: entry.stage, ageMilliseconds: this.#clock.now() - entry.writtenAt, answer: entry.answer, fingerprint: entry.fingerprint }
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
