import { randomUUID } from 'node:crypto'
import type { LifeCycle, Clock, Random } from '@briarsaddle/common'
import { describeError, Logger } from '@briarsaddle/common'
import { noVersion, type ControlState, type EndpointState, type ReadRecord } from '@briarsaddle/ownership'
import type { Answer, FetchJournalRequest, FetchJournalResponse, Forward, Journal, JournalAcknowledgement } from '@briarsaddle/protocol'
import type { QueuePolicy } from '@briarsaddle/scheduling'
import type { Settings } from '@briarsaddle/settings'
import { ForwardHandler, type ControlView } from '../contracts.js'
import { notRun } from './answers.js'
import { EndpointSession, type SessionObserver } from './endpoint-session.js'
import { JournalCopies } from './journal-copies.js'
import { FormerHolderJournals } from './journal-imports.js'
import { emptyJournal, journalRetentionMilliseconds, unknownJournal, type IdempotencyJournal, type JournalSink } from './journal.js'
import type { RightSource } from './right-source.js'
import { StateEndpointView } from './state-endpoint-view.js'

const logger = new Logger('coordinator')

/** Fetches journal copies from other VMs. */
export abstract class JournalSource {
  /** Returns undefined when the VM does not answer. */
  abstract fetch (vm: string, request: FetchJournalRequest): Promise<FetchJournalResponse | undefined>
}

/** Waits until rights of former coordinators have expired. */
export abstract class FormerRights {
  /** Local time from which no right of a coordinator before the record at `token` is valid; undefined when not known. */
  abstract expiry (endpoint: string, token: number): Promise<number | undefined>
}

/** Runs a request at any endpoint of a pool that is not partitioned by key. */
export abstract class PoolRunner {
  /** Always resolves, as a `ForwardHandler` does. */
  abstract run (forward: Forward, signal: AbortSignal): Promise<Answer>
}

/** Asks the coordinator that the control state names for an endpoint. */
class StateFormerHolderJournals extends FormerHolderJournals {
  readonly #coordinatorOf: (endpoint: string) => string | undefined
  readonly #ask: (vm: string, request: FetchJournalRequest) => Promise<FetchJournalResponse | undefined>

  constructor (coordinatorOf: (endpoint: string) => string | undefined, ask: (vm: string, request: FetchJournalRequest) => Promise<FetchJournalResponse | undefined>) {
    super()
    this.#coordinatorOf = coordinatorOf
    this.#ask = ask
  }

  override async fetch (request: FetchJournalRequest): Promise<FetchJournalResponse | undefined> {
    const vm = this.#coordinatorOf(request.endpoint)
    const response = vm === undefined ? undefined : await this.#ask(vm, request)
    return response?.notReady === true ? undefined : response
  }
}

interface EndedJournal {
  readonly journal: IdempotencyJournal
  readonly endedAt: number
}

interface FormerCoordinator {
  readonly vm: string
  readonly standby: string | undefined
  readonly token: number
  /** Token of the coordinator before; undefined when the record was not read. */
  readonly base?: number
}

interface Coordinated {
  readonly session: EndpointSession
  readonly lifeCycle: LifeCycle
  token: number
  /** Version of the endpoint's control state that was last acted on. */
  version: number
  provisional: boolean
  /** Resolves once the journal of the former coordinator was loaded or given up. */
  journalLoaded: Promise<void>
  formerRightsEnd: Promise<number | undefined>
  takeoverEffective: boolean
}

/** What the coordinator needs from the daemon. */
export interface CoordinatorOptions {
  readonly settings: Settings
  readonly view: ControlView
  readonly clock: Clock
  readonly random: Random
  readonly rights: RightSource
  readonly journalSink: JournalSink
  readonly journalSource: JournalSource
  readonly formerRights: FormerRights
  readonly observer: SessionObserver
  readonly createPolicy: () => QueuePolicy
  readonly lifeCycle: LifeCycle
}

/** Coordinates the endpoints that the control state gives to this VM. */
export class Coordinator extends ForwardHandler {
  readonly #options: CoordinatorOptions
  readonly #self: string
  /** Unique for each start of the process, so that an endpoint takes no late message of a former process for a current one. */
  readonly #name: string
  readonly #copies: JournalCopies
  readonly #coordinated = new Map<string, Coordinated>()
  /** Coordinators by endpoint and token, to find the journal of the one before. */
  readonly #history = new Map<string, Map<number, FormerCoordinator>>()
  /** Journals of ended sessions: of a provisional one for a successor that did not know of it, of any for its buckets. */
  readonly #endedJournals = new Map<string, EndedJournal>()
  readonly #formerHolders: FormerHolderJournals
  /** When endpoints left the control state. */
  readonly #goneSince = new Map<string, number>()
  #poolRunner: PoolRunner | undefined
  #startPosition: number | undefined

  constructor (options: CoordinatorOptions) {
    super()
    this.#options = options
    this.#self = options.settings.vm.id
    this.#name = `${this.#self}/${randomUUID().slice(0, 8)}`
    this.#copies = new JournalCopies(options.clock)
    this.#formerHolders = new StateFormerHolderJournals(endpoint => this.#lastCoordinator(endpoint), async (vm, request) => vm === this.#self ? await this.fetchJournal(request) : await options.journalSource.fetch(vm, request))
  }

  /** Sets what runs requests at any endpoint of a pool. */
  usePoolRunner (poolRunner: PoolRunner): void {
    this.#poolRunner = poolRunner
  }

  /** Sessions of all endpoints that this VM coordinates. */
  get sessions (): readonly EndpointSession[] {
    return [...this.#coordinated.values()].map(({ session }) => session)
  }

  /** Position of the state when this process had first read the log to its end. */
  get startPosition (): number | undefined { return this.#startPosition }

  /** The session of one endpoint. */
  session (endpoint: string): EndpointSession | undefined {
    return this.#coordinated.get(endpoint)?.session
  }

  /** True when this VM coordinates the endpoint without a record in the log. */
  isProvisional (endpoint: string): boolean {
    return this.#coordinated.get(endpoint)?.provisional === true
  }

  /** Local time from which no right of a former coordinator of the endpoint is valid. */
  async formerRightsEnd (endpoint: string): Promise<number | undefined> {
    return await this.#coordinated.get(endpoint)?.formerRightsEnd
  }

  /** Requests at endpoints now. */
  get inFlight (): number {
    return this.sessions.reduce((sum, session) => sum + session.inFlight, 0)
  }

  override async handle (forward: Forward, signal: AbortSignal): Promise<Answer> {
    const coordinated = this.#coordinated.get(forward.endpoint)
    const position = Math.max(0, this.#options.view.state.position)
    if (coordinated === undefined || coordinated.session.grants.state === 'fenced') return { ...notRun('not_coordinator', 50), position }
    if (forward.idempotencyKey !== '' && !forward.idempotent) await coordinated.journalLoaded
    return { ...await coordinated.session.handle(forward, signal), position }
  }

  /** Applies a new control state. */
  stateChanged (state: ControlState, read: readonly ReadRecord[]): void {
    for (const { offset, record, voidReason } of read) {
      if (record.kind !== 'coordinator' || voidReason !== undefined) continue
      this.#remember(record.endpoint.id, { vm: record.vm, standby: record.standby, token: offset, base: record.base })
    }
    for (const endpoint of state.endpoints.values()) {
      this.#remember(endpoint.description.id, endpoint.coordinator)
      this.#follow(endpoint)
    }
    for (const id of this.#coordinated.keys()) if (!state.endpoints.has(id)) this.#end(id)
    this.#forgetOld(state)
    this.#copies.keepOnly(new Set([...state.endpoints.values()].filter(({ coordinator }) => coordinator.standby === this.#self || coordinator.vm === this.#self).map(({ description }) => description.id)))
  }

  /** Called when the log was first read to its end. */
  caughtUp (): void {
    this.#startPosition ??= this.#options.view.state.position
  }

  /** Coordinates an endpoint while the log is down and its coordinator is lost. */
  beginProvisional (endpoint: EndpointState): void {
    if (this.#coordinated.has(endpoint.description.id)) return
    this.#begin(endpoint, true, endpoint.coordinator)
  }

  /** Stores a journal change of another coordinator. */
  receiveJournal (journal: Journal): JournalAcknowledgement {
    return this.#copies.receive(journal)
  }

  /** Hands a journal to the successor of a coordinator, or the keys of buckets to the endpoint that holds them now. */
  async fetchJournal ({ endpoint, token, buckets, position }: FetchJournalRequest): Promise<FetchJournalResponse> {
    if (buckets.length > 0) return await this.#exportBuckets(endpoint, buckets, position)
    const copy = this.#copies.end(endpoint, token)
    // A provisional coordinator writes under the token of the lost one, and has more than the copy it began with.
    const own = [this.#coordinated.get(endpoint)?.session.journal, this.#endedJournals.get(endpoint)?.journal]
    return own.find(journal => journal?.token === token)?.end() ?? copy
  }

  async #exportBuckets (endpoint: string, buckets: readonly number[], position: number): Promise<FetchJournalResponse> {
    const { state } = this.#options.view
    const notReady = { ...unknownJournal, notReady: true }
    if (state.position < position) return notReady
    const coordinated = this.#coordinated.get(endpoint)
    if (coordinated !== undefined) {
      await coordinated.journalLoaded
      return coordinated.session.journal.export(buckets)
    }
    // The coordinator on record has the journal of the endpoint, or is about to fetch it.
    if (state.endpoints.has(endpoint)) return notReady
    return this.#endedJournals.get(endpoint)?.journal.export(buckets) ?? unknownJournal
  }

  #lastCoordinator (endpoint: string): string | undefined {
    const current = this.#options.view.state.endpoints.get(endpoint)?.coordinator.vm
    if (current !== undefined) return current
    const former = this.#history.get(endpoint)
    return former?.get(Math.max(...former.keys()))?.vm
  }

  /** Forgets endpoints that left so long ago that no idempotency key of them is remembered. */
  #forgetOld (state: ControlState): void {
    const now = this.#options.clock.now()
    for (const [endpoint, { endedAt }] of this.#endedJournals) if (now - endedAt > journalRetentionMilliseconds) this.#endedJournals.delete(endpoint)
    for (const endpoint of this.#history.keys()) {
      if (state.endpoints.has(endpoint)) this.#goneSince.delete(endpoint)
      else if (!this.#goneSince.has(endpoint)) this.#goneSince.set(endpoint, now)
      else if (now - (this.#goneSince.get(endpoint) ?? now) > journalRetentionMilliseconds) {
        this.#history.delete(endpoint)
        this.#goneSince.delete(endpoint)
      }
    }
  }

  #remember (endpoint: string, coordinator: FormerCoordinator): void {
    const byToken = this.#history.get(endpoint) ?? new Map<number, FormerCoordinator>()
    if (!byToken.has(coordinator.token)) byToken.set(coordinator.token, coordinator)
    // Only the last few are ever asked for.
    if (byToken.size > 8) byToken.delete(Math.min(...byToken.keys()))
    this.#history.set(endpoint, byToken)
  }

  #follow (endpoint: EndpointState): void {
    const { id } = endpoint.description
    const { vm, token, standby } = endpoint.coordinator
    const coordinated = this.#coordinated.get(id)
    if (vm !== this.#self) {
      if (coordinated !== undefined && !(coordinated.provisional && coordinated.token === token)) this.#end(id)
      return
    }
    // A record from before this process started was for an earlier process with the same id.
    if (this.#startPosition === undefined || token <= this.#startPosition) return
    if (coordinated === undefined) return this.#begin(endpoint, false, this.#former(id, token))
    if (coordinated.token === token && !coordinated.provisional) {
      // Buckets may have come or gone.
      if (coordinated.version !== endpoint.version) {
        coordinated.session.grants.wake()
        void coordinated.journalLoaded.then(() => coordinated.session.reviewImports())
      }
      coordinated.version = endpoint.version
      return
    }
    coordinated.version = endpoint.version
    coordinated.token = token
    coordinated.provisional = false
    coordinated.session.renewToken({ offset: token, provisional: 0 }, standby)
  }

  #former (endpoint: string, token: number): FormerCoordinator | undefined {
    const base = this.#history.get(endpoint)?.get(token)?.base
    return base === undefined ? undefined : this.#history.get(endpoint)?.get(base)
  }

  #begin (endpoint: EndpointState, provisional: boolean, former: FormerCoordinator | undefined): void {
    const { description, coordinator: { token, standby } } = endpoint
    const { settings, clock, lifeCycle: parent } = this.#options
    const lifeCycle = parent.child(`session ${description.id}`)
    const first = this.#history.get(description.id)?.get(token)?.base === noVersion && !provisional
    const session = new EndpointSession({
      ...this.#options,
      formerHolders: this.#formerHolders,
      poolRunner: () => this.#poolRunner,
      coordinatorName: this.#name,
      description,
      token: { offset: token, provisional: provisional ? 1 : 0 },
      standby: provisional ? undefined : standby,
      timing: { ...settings.timing, suspectMilliseconds: settings.timing.endpointSuspectMilliseconds },
      view: new StateEndpointView(this.#options.view, description.id, description.pool, () => this.#coordinated.get(description.id)?.takeoverEffective === true),
      policy: this.#options.createPolicy(),
      admission: settings.experiments.admission,
      maximumQueued: settings.limits.maximumQueuedPerEndpoint,
      maximumConnections: settings.limits.endpointConnections,
      maximumAnswerBytes: settings.limits.maximumAnswerBytes
    }, lifeCycle)
    const formerRightsEnd = first ? Promise.resolve(-Infinity) : this.#options.formerRights.expiry(description.id, token)
    const coordinated: Coordinated = {
      session,
      lifeCycle,
      token,
      version: endpoint.version,
      provisional,
      journalLoaded: this.#loadJournal(session, description.id, first ? undefined : former, first),
      formerRightsEnd,
      // An endpoint that checks arbitrates itself; for another one the former rights must have expired.
      takeoverEffective: description.checks || first
    }
    this.#coordinated.set(description.id, coordinated)
    if (!coordinated.takeoverEffective) void formerRightsEnd.then(end => this.#takeEffect(coordinated, end, clock))
    logger.info('session begins', { endpoint: description.id, token, provisional, former: former?.vm })
    session.start()
  }

  #takeEffect (coordinated: Coordinated, end: number | undefined, clock: Clock): void {
    if (end === undefined) return
    const { pool } = coordinated.session.description
    const longest = Math.max(0, ...this.#options.view.rules.rules.filter(rule => rule.pool === pool).map(rule => rule.deadlineMilliseconds))
    const timer = setTimeout(() => { coordinated.takeoverEffective = true }, Math.max(0, end + longest - clock.now()))
    if (coordinated.lifeCycle.closed) clearTimeout(timer)
    else coordinated.lifeCycle.own('takeover wait', () => clearTimeout(timer))
  }

  async #loadJournal (session: EndpointSession, endpoint: string, former: FormerCoordinator | undefined, first: boolean): Promise<void> {
    session.journal.load(first ? emptyJournal : await this.#fetchFormerJournal(endpoint, former))
    await session.journal.copyAll()
    session.reviewImports()
  }

  async #fetchFormerJournal (endpoint: string, former: FormerCoordinator | undefined): Promise<FetchJournalResponse> {
    if (former === undefined) return unknownJournal
    const { token, standby } = former
    const request = { endpoint, token, buckets: [], position: 0 }
    // The standby alone has every key: it may have coordinated provisionally after the former coordinator was lost.
    if (standby === undefined || standby === this.#self) return await this.fetchJournal(request)
    try {
      return await this.#options.journalSource.fetch(standby, request) ?? unknownJournal
    } catch (error) {
      logger.warning('journal of the former coordinator cannot be fetched', { endpoint, standby, reason: describeError(error) })
      return unknownJournal
    }
  }

  /** Stops coordinating: queued requests are answered, running ones are finished before the connections close. */
  #end (id: string): void {
    const coordinated = this.#coordinated.get(id)
    if (coordinated === undefined) return
    this.#coordinated.delete(id)
    this.#endedJournals.set(id, { journal: coordinated.session.journal, endedAt: this.#options.clock.now() })
    logger.info('session ends', { endpoint: id, inFlight: coordinated.session.inFlight })
    coordinated.session.stopNewWork('not_coordinator')
    void this.#closeWhenIdle(coordinated)
  }

  async #closeWhenIdle ({ session, lifeCycle }: Coordinated): Promise<void> {
    session.grants.stop()
    while (session.inFlight > 0 && !lifeCycle.closed) await new Promise(resolve => setTimeout(resolve, 50))
    await lifeCycle.close()
  }
}
