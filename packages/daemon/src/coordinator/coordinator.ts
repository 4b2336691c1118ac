import { randomUUID } from 'node:crypto'
import type { LifeCycle, Clock, Random } from '@briarsaddle/common'
import { Logger } from '@briarsaddle/common'
import type { ControlState, EndpointState, ReadRecord } from '@briarsaddle/ownership'
import type { Answer, Forward } from '@briarsaddle/protocol'
import type { QueuePolicy } from '@briarsaddle/scheduling'
import type { Settings } from '@briarsaddle/settings'
import { ForwardHandler, type ControlView } from '../contracts.js'
import { notRun } from './answers.js'
import { EndpointSession, type SessionObserver } from './endpoint-session.js'
import { CoordinatorHistory, type RecordedCoordinator } from './coordinator-history.js'
import { JournalTransfer, type JournalSource, type SessionJournal } from './journal-transfer.js'
import { emptyJournal, type JournalSink } from './journal.js'
import { LongDurations } from './long-work.js'
import type { LeaseSource } from './lease-source.js'
import { StateEndpointView } from './state-endpoint-view.js'

const logger = new Logger('coordinator')

/** Determines when the leases of former coordinators have expired. */
export abstract class FormerLeases {
  /** Local time from which no lease of a coordinator before the record at `token` is valid; undefined when not known. */
  abstract expiry (endpoint: string, token: number): Promise<number | undefined>
}

/** Runs a request at any endpoint of a pool that is not partitioned by key. */
export abstract class PoolRunner {
  /** Always resolves, as a `ForwardHandler` does. */
  abstract run (forward: Forward, signal: AbortSignal): Promise<Answer>
}

/** An endpoint that this VM coordinates. */
interface CoordinatedEndpoint {
  readonly session: EndpointSession
  readonly lifeCycle: LifeCycle
  token: number
  /** Version of the endpoint's control state that was last applied. */
  version: number
  /** True while the log has no record that names this VM as the coordinator. */
  provisional: boolean
  /** Resolves once the journal of the former coordinator has been loaded, or could not be fetched. */
  journalLoaded: Promise<void>
  /** Local time from which no lease of a former coordinator is valid; undefined when not known. */
  formerLeasesEnd: Promise<number | undefined>
  /** Local time from which no request of a former coordinator can still run, for an endpoint that does not check tokens; undefined when not known. */
  takeoverAt: number | undefined
}

/** Settings and dependencies of a coordinator. */
export interface CoordinatorOptions {
  readonly settings: Settings
  readonly view: ControlView
  readonly clock: Clock
  readonly random: Random
  readonly rights: LeaseSource
  readonly journalSink: JournalSink
  readonly journalSource: JournalSource
  readonly formerLeases: FormerLeases
  /** Longest time in milliseconds that a request of the pool may run. */
  readonly longestDeadline: (pool: string) => number
  readonly observer: SessionObserver
  readonly createPolicy: () => QueuePolicy
  readonly lifeCycle: LifeCycle
}

/** Coordinates the endpoints that the control state assigns to this VM. */
export class Coordinator extends ForwardHandler {
  readonly #options: CoordinatorOptions
  readonly #self: string
  /** Unique for each start of the process, so that an endpoint does not take a delayed message of an earlier process for a current one. */
  readonly #name: string
  readonly #history: CoordinatorHistory
  readonly #journals: JournalTransfer
  readonly #longDurations: LongDurations
  readonly #coordinated = new Map<string, CoordinatedEndpoint>()
  #poolRunner: PoolRunner | undefined
  #startPosition: number | undefined

  constructor (options: CoordinatorOptions) {
    super()
    this.#options = options
    this.#self = options.settings.vm.id
    this.#name = `${this.#self}/${randomUUID().slice(0, 8)}`
    this.#longDurations = new LongDurations(() => options.view.state.rules.version)
    this.#history = new CoordinatorHistory(options.clock)
    this.#journals = new JournalTransfer({
      self: this.#self,
      view: options.view,
      clock: options.clock,
      source: options.journalSource,
      history: this.#history,
      sessionJournal: endpoint => this.#sessionJournal(endpoint)
    })
  }

  /** Sets the runner for requests that any endpoint of their pool may run. */
  usePoolRunner (poolRunner: PoolRunner): void {
    this.#poolRunner = poolRunner
  }

  /** Sessions of all endpoints that this VM coordinates. */
  get sessions (): readonly EndpointSession[] {
    return [...this.#coordinated.values()].map(({ session }) => session)
  }

  /** Transfers idempotency journals from and to other VMs. */
  get journals (): JournalTransfer { return this.#journals }

  /** Log position at which this process first reached the end of the log; undefined until then. */
  get startPosition (): number | undefined { return this.#startPosition }

  /** The session of one endpoint. */
  session (endpoint: string): EndpointSession | undefined {
    return this.#coordinated.get(endpoint)?.session
  }

  /** True when this VM coordinates the endpoint without a record in the log. */
  isProvisional (endpoint: string): boolean {
    return this.#coordinated.get(endpoint)?.provisional === true
  }

  /** Local time from which no lease of a former coordinator of the endpoint is valid; undefined when not known. */
  async formerLeasesEnd (endpoint: string): Promise<number | undefined> {
    return await this.#coordinated.get(endpoint)?.formerLeasesEnd
  }

  /** Number of requests that endpoints are running for this VM. */
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
    this.#history.update(state, read)
    for (const endpoint of state.endpoints.values()) this.#follow(endpoint)
    for (const id of this.#coordinated.keys()) if (!state.endpoints.has(id)) this.#end(id)
    this.#journals.stateChanged(state)
  }

  /** Called whenever the log has been read to its end; the first call sets `startPosition`. */
  caughtUp (): void {
    this.#startPosition ??= this.#options.view.state.position
  }

  /** Starts to coordinate an endpoint provisionally, because its coordinator is lost while the log is down. */
  beginProvisional (endpoint: EndpointState): void {
    if (this.#coordinated.has(endpoint.description.id)) return
    this.#begin(endpoint, true, endpoint.coordinator)
  }

  #sessionJournal (endpoint: string): SessionJournal | undefined {
    const coordinated = this.#coordinated.get(endpoint)
    return coordinated === undefined ? undefined : { journal: coordinated.session.journal, loaded: coordinated.journalLoaded }
  }

  #follow (endpoint: EndpointState): void {
    const { id } = endpoint.description
    const { vm, token, standby } = endpoint.coordinator
    const coordinated = this.#coordinated.get(id)
    if (vm !== this.#self) {
      if (coordinated !== undefined && !(coordinated.provisional && coordinated.token === token)) this.#end(id)
      return
    }
    // A record from before this process started named an earlier process with the same VM id.
    if (this.#startPosition === undefined || token <= this.#startPosition) return
    if (coordinated === undefined) return this.#begin(endpoint, false, this.#history.former(id, token))
    if (coordinated.token === token && !coordinated.provisional) {
      // The endpoint's buckets may have changed.
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

  #begin (endpoint: EndpointState, provisional: boolean, former: RecordedCoordinator | undefined): void {
    const { description, coordinator: { token, standby } } = endpoint
    const { settings, lifeCycle: parent } = this.#options
    const lifeCycle = parent.child(`session ${description.id}`)
    const first = !provisional && this.#history.isFirst(description.id, token)
    const session = new EndpointSession({
      ...this.#options,
      formerHolders: this.#journals,
      poolRunner: () => this.#poolRunner,
      coordinatorName: this.#name,
      description,
      token: { offset: token, provisional: provisional ? 1 : 0 },
      standby: provisional ? undefined : standby,
      timing: { ...settings.timing, suspectMilliseconds: settings.timing.endpointSuspectMilliseconds },
      view: new StateEndpointView(this.#options.view, description.id, description.pool, () => this.#coordinated.get(description.id)?.takeoverAt),
      policy: this.#options.createPolicy(),
      longDurations: this.#longDurations,
      admission: settings.experiments.admission,
      maximumQueued: settings.limits.maximumQueuedPerEndpoint,
      maximumConnections: settings.limits.endpointConnections,
      maximumAnswerBytes: settings.limits.maximumAnswerBytes
    }, lifeCycle)
    const formerLeasesEnd = first ? Promise.resolve(-Infinity) : this.#options.formerLeases.expiry(description.id, token)
    const coordinated: CoordinatedEndpoint = {
      session,
      lifeCycle,
      token,
      version: endpoint.version,
      provisional,
      journalLoaded: this.#loadJournal(session, description.id, first ? undefined : former, first),
      formerLeasesEnd,
      // An endpoint that checks tokens refuses former coordinators itself; for any other endpoint, their leases must have expired.
      takeoverAt: description.checks || first ? -Infinity : undefined
    }
    this.#coordinated.set(description.id, coordinated)
    if (coordinated.takeoverAt === undefined) void formerLeasesEnd.then(end => this.#planTakeover(coordinated, end))
    logger.info('session started', { endpoint: description.id, token, provisional, former: former?.vm })
    session.start()
  }

  #planTakeover (coordinated: CoordinatedEndpoint, end: number | undefined): void {
    if (end === undefined) return
    coordinated.takeoverAt = end + this.#options.longestDeadline(coordinated.session.description.pool)
    const milliseconds = Math.round(coordinated.takeoverAt - this.#options.clock.now())
    logger.info('takeover waits until the former coordinator can no longer act', { endpoint: coordinated.session.description.id, milliseconds })
  }

  async #loadJournal (session: EndpointSession, endpoint: string, former: RecordedCoordinator | undefined, first: boolean): Promise<void> {
    session.journal.load(first ? emptyJournal : await this.#journals.fetchFormer(endpoint, former))
    await session.journal.copyAll()
    session.reviewImports()
  }

  /** Stops coordinating an endpoint: queued requests are refused, and running ones are finished before the connections close. */
  #end (id: string): void {
    const coordinated = this.#coordinated.get(id)
    if (coordinated === undefined) return
    this.#coordinated.delete(id)
    this.#journals.sessionEnded(id, coordinated.session.journal)
    logger.info('session ended', { endpoint: id, inFlight: coordinated.session.inFlight })
    coordinated.session.refuseQueued('not_coordinator')
    void this.#closeWhenIdle(coordinated)
  }

  async #closeWhenIdle ({ session, lifeCycle }: CoordinatedEndpoint): Promise<void> {
    session.grants.stop()
    while (session.inFlight > 0 && !lifeCycle.closed) await new Promise(resolve => setTimeout(resolve, 50))
    await lifeCycle.close()
  }
}
