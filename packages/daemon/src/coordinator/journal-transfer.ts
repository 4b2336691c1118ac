import { describeError, Logger, type Clock } from '@briarsaddle/common'
import type { ControlState } from '@briarsaddle/ownership'
import type { FetchJournalRequest, FetchJournalResponse, Journal, JournalAcknowledgement } from '@briarsaddle/protocol'
import type { ControlView } from '../contracts.js'
import type { CoordinatorHistory, RecordedCoordinator } from './coordinator-history.js'
import { JournalCopies } from './journal-copies.js'
import { FormerHolderJournals } from './journal-imports.js'
import { journalRetentionMilliseconds, unknownJournal, type IdempotencyJournal } from './journal.js'

const logger = new Logger('journal')

/** Fetches journals from other VMs. */
export abstract class JournalSource {
  /** Returns undefined when the VM is not known. Throws when it does not answer. */
  abstract fetch (vm: string, request: FetchJournalRequest): Promise<FetchJournalResponse | undefined>
}

/** The journal of a session of this VM. */
export interface SessionJournal {
  readonly journal: IdempotencyJournal
  /** Resolves once the journal of the former coordinator has been loaded, or could not be fetched. */
  readonly loaded: Promise<void>
}

/** The journal of a session that has ended. */
interface EndedJournal {
  readonly journal: IdempotencyJournal
  readonly endedAt: number
}

/** Transfers idempotency journals between VMs: from a coordinator to its successor, and with a bucket to its new owner. */
export class JournalTransfer extends FormerHolderJournals {
  readonly #self: string
  readonly #view: ControlView
  readonly #clock: Clock
  readonly #source: JournalSource
  readonly #history: CoordinatorHistory
  readonly #sessionJournal: (endpoint: string) => SessionJournal | undefined
  readonly #copies: JournalCopies
  /** Journals of ended sessions. A successor may ask for that of a provisional session, and the new owner of a bucket for that of any. */
  readonly #ended = new Map<string, EndedJournal>()

  constructor (options: {
    readonly self: string
    readonly view: ControlView
    readonly clock: Clock
    readonly source: JournalSource
    readonly history: CoordinatorHistory
    readonly sessionJournal: (endpoint: string) => SessionJournal | undefined
  }) {
    super()
    this.#self = options.self
    this.#view = options.view
    this.#clock = options.clock
    this.#source = options.source
    this.#history = options.history
    this.#sessionJournal = options.sessionJournal
    this.#copies = new JournalCopies(options.clock)
  }

  /** Stores a journal change of another coordinator. */
  receive (journal: Journal): JournalAcknowledgement {
    return this.#copies.receive(journal)
  }

  /** Keeps the journal of a session that has ended. */
  sessionEnded (endpoint: string, journal: IdempotencyJournal): void {
    this.#ended.set(endpoint, { journal, endedAt: this.#clock.now() })
  }

  /** Drops the journals and copies that no VM can ask for any more. */
  stateChanged (state: ControlState): void {
    const now = this.#clock.now()
    for (const [endpoint, { endedAt }] of this.#ended) if (now - endedAt > journalRetentionMilliseconds) this.#ended.delete(endpoint)
    const needed = [...state.endpoints.values()].filter(({ coordinator }) => coordinator.standby === this.#self || coordinator.vm === this.#self)
    this.#copies.keepOnly(new Set(needed.map(({ description }) => description.id)))
  }

  /** Answers the successor of a coordinator, or the coordinator of an endpoint that buckets have moved to. */
  async answer ({ endpoint, token, buckets, position }: FetchJournalRequest): Promise<FetchJournalResponse> {
    if (buckets.length > 0) return await this.#exportBuckets(endpoint, buckets, position)
    const copy = this.#copies.end(endpoint, token)
    // A provisional coordinator writes under the token of the lost one, so its journal has more keys than the copy that it started from.
    const own = [this.#sessionJournal(endpoint)?.journal, this.#ended.get(endpoint)?.journal]
    return own.find(journal => journal?.token === token)?.end() ?? copy
  }

  /** Fetches the journal of the coordinator that preceded this VM. */
  async fetchFormer (endpoint: string, former: RecordedCoordinator | undefined): Promise<FetchJournalResponse> {
    if (former === undefined) return unknownJournal
    const { token, standby } = former
    const request = { endpoint, token, buckets: [], position: 0 }
    // Only the standby has every key: it may have coordinated provisionally after the former coordinator was lost.
    if (standby === undefined || standby === this.#self) return await this.answer(request)
    try {
      return await this.#source.fetch(standby, request) ?? unknownJournal
    } catch (error) {
      logger.warning('journal of the former coordinator cannot be fetched', { endpoint, standby, reason: describeError(error) })
      return unknownJournal
    }
  }

  /** Asks the coordinator that the control state names, or last named, for the former holder of buckets. */
  override async fetch (request: FetchJournalRequest): Promise<FetchJournalResponse | undefined> {
    const vm = this.#history.last(request.endpoint)?.vm
    const response = vm === undefined || vm === this.#self ? await this.answer(request) : await this.#source.fetch(vm, request)
    return response?.notReady === true ? undefined : response
  }

  async #exportBuckets (endpoint: string, buckets: readonly number[], position: number): Promise<FetchJournalResponse> {
    const { state } = this.#view
    const notReady = { ...unknownJournal, notReady: true }
    if (state.position < position) return notReady
    const current = this.#sessionJournal(endpoint)
    if (current !== undefined) {
      await current.loaded
      return current.journal.export(buckets)
    }
    // The coordinator that the state names has the journal of the endpoint, or is about to fetch it.
    if (state.endpoints.has(endpoint)) return notReady
    return this.#ended.get(endpoint)?.journal.export(buckets) ?? unknownJournal
  }
}
