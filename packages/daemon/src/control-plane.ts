import type { LifeCycle } from '@briarsaddle/common'
import { delay, describeError, Logger, MonotonicClock, Random } from '@briarsaddle/common'
import { KeyHasher, type ControlState, type EndpointState, type ReadRecord, type LeaseOptions } from '@briarsaddle/ownership'
import { AppendRateLimit, HttpLogClient, HttpVmListClient } from '@briarsaddle/platform'
import { InnerServer, PeerPool } from '@briarsaddle/protocol'
import { ClassPolicy, FifoPolicy, type QueuePolicy } from '@briarsaddle/scheduling'
import type { Settings } from '@briarsaddle/settings'
import { BucketAssigner } from './control/bucket-assigner.js'
import { Balancer } from './control/balancer.js'
import { CoordinatorAssigner, ProvisionalCoordination } from './control/coordinator-assigner.js'
import { PeerControlHandler, PeerFrameHandler, PeerPoolJournalSink, PeerPoolJournalSource, PeerPoolLoadSource, PeerPoolStateSource } from './control/peer-adapters.js'
import { EndpointLoads } from './control/endpoint-loads.js'
import { FollowerObserver, LogFollower } from './control/log-follower.js'
import { LongJobReliever } from './control/long-job-relief.js'
import { Membership } from './control/membership.js'
import { MoveHistory } from './control/move-history.js'
import { RecordWriter } from './control/record-writer.js'
import { ReviewLoop } from './control/review-loop.js'
import { LeaseKeeper } from './control/lease-keeper.js'
import { RuleDeadlines } from './control/rule-deadlines.js'
import { LeaseExpiryWait } from './control/lease-expiry-wait.js'
import { ControlLogMaintenance } from './control/control-log-maintenance.js'
import { Witness } from './control/witness.js'
import { WitnessPoll } from './control/witness-poll.js'
import { Coordinator, FormerLeases } from './coordinator/coordinator.js'
import { SessionObserver, type EndpointSession } from './coordinator/endpoint-session.js'
import type { SessionState } from './coordinator/session-state.js'
import type { Metrics } from './metrics.js'

const logger = new Logger('daemon')
const upkeepMilliseconds = 250
const balanceMilliseconds = 250
const handOverMilliseconds = 5000
const idlePollMilliseconds = 20

/** The parts of one VM that decide which VM coordinates each endpoint and which endpoint owns each bucket. Used by entry and administration. */
export class ControlPlane {
  readonly settings: Settings
  readonly clock: MonotonicClock
  readonly random: Random
  readonly hasher: KeyHasher
  readonly follower: LogFollower
  readonly membership: Membership
  readonly coordinator: Coordinator
  readonly peers: PeerPool
  readonly writer: RecordWriter
  readonly rights: LeaseKeeper
  readonly #bucketAssigner: BucketAssigner
  readonly #coordinatorAssigner: CoordinatorAssigner
  readonly #controlLogMaintenance: ControlLogMaintenance
  readonly #balancer: Balancer
  readonly #reliever: LongJobReliever | undefined
  readonly #innerServer: InnerServer
  readonly #reviews: ReviewLoop
  readonly #loops: LifeCycle
  #innerPort = 0

  private constructor (settings: Settings, hasher: KeyHasher, metrics: Metrics, lifeCycle: LifeCycle) {
    const self = settings.vm.id
    const { timing, platform } = settings
    const leaseOptions: LeaseOptions = { leaseDuration: timing.rightMilliseconds, margin: timing.clockMarginPercent / 100 }
    const clock = new MonotonicClock()
    const log = new HttpLogClient({ origin: platform.logUrl, stream: platform.stream, appendRateLimit: new AppendRateLimit(clock, { recordsPerSecond: platform.appendsPerSecond, burst: 2 * platform.appendsPerSecond }) })
    const list = new HttpVmListClient({ origin: platform.vmListUrl })
    this.settings = settings
    this.clock = clock
    this.hasher = hasher
    this.random = new Random(Math.floor(Math.random() * 2 ** 31))
    this.peers = new PeerPool(lifeCycle)
    this.#loops = lifeCycle.child('control loops')
    this.follower = new LogFollower({ log, clock, maximumRuleFileBytes: settings.limits.maximumRuleFileBytes })
    this.writer = new RecordWriter(log, this.follower, clock)
    this.membership = new Membership({ self: settings.vm, list, peers: this.peers, hasher, clock, timing, position: () => this.follower.state.position, changed: () => this.#reviews.changed(), suspicionBegan: () => this.#reviews.reviewNow() })
    this.peers.onStreamEnded(vm => this.membership.streamEnded(vm))
    const witness = new Witness(this.follower, clock)
    const poll = new WitnessPoll({ self, witness, peers: this.peers })
    const leaseExpiry = new LeaseExpiryWait({ follower: this.follower, poll, clock, leaseOptions })
    this.rights = new LeaseKeeper({
      self,
      follower: this.follower,
      poll,
      clock,
      leaseOptions,
      endpoints: () => this.coordinator.sessions.map(({ description }) => description.id),
      provisional: endpoint => this.coordinator.isProvisional(endpoint)
    })
    const deadlines = new RuleDeadlines(clock)
    this.coordinator = new Coordinator({
      longestDeadline: pool => deadlines.longest(pool),
      settings,
      view: this.follower,
      clock,
      random: this.random,
      rights: this.rights,
      journalSink: new PeerPoolJournalSink(this.peers),
      journalSource: new PeerPoolJournalSource(this.peers),
      formerLeases: new WitnessedFormerLeases(leaseExpiry, this.#loops),
      observer: new SessionEvents(this, metrics),
      createPolicy: () => createPolicy(settings),
      lifeCycle: this.#loops
    })
    const history = new MoveHistory(this.follower, clock)
    this.#bucketAssigner = new BucketAssigner({ history, deadlines, follower: this.follower, membership: this.membership, coordinator: this.coordinator, writer: this.writer, leaseExpiry, clock, lifeCycle: this.#loops })
    this.#coordinatorAssigner = new CoordinatorAssigner({
      self,
      follower: this.follower,
      membership: this.membership,
      writer: this.writer,
      clock,
      watcherStepMilliseconds: timing.watcherStepMilliseconds,
      rightMilliseconds: timing.rightMilliseconds,
      provisional: new LocalProvisionalCoordination(this.coordinator),
      startPosition: () => this.coordinator.startPosition
    })
    this.#controlLogMaintenance = new ControlLogMaintenance({ self, follower: this.follower, membership: this.membership, writer: this.writer, poll, clock, lifeCycle: this.#loops })
    const loads = new EndpointLoads({ self, view: this.follower, coordinator: this.coordinator, source: new PeerPoolLoadSource(this.peers), random: this.random })
    const balance = { follower: this.follower, coordinator: this.coordinator, writer: this.writer, loads, history, clock, lifeCycle: this.#loops }
    this.#balancer = new Balancer(balance)
    this.#reliever = relievesLongJobs(settings) ? new LongJobReliever(balance) : undefined
    this.#innerServer = new InnerServer(settings.listen.inner, new PeerFrameHandler(this.coordinator), new PeerControlHandler({ membership: this.membership, witness, follower: this.follower, coordinator: this.coordinator, loads }))
    this.#reviews = new ReviewLoop({
      clock,
      review: () => this.review(),
      unsettled: () => this.#isUnsettled(),
      onError: error => logger.error('task failed', { task: 'review', reason: describeError(error) })
    })
    this.follower.observe(new StateEvents({ coordinator: this.coordinator, rights: this.rights, history, reviews: this.#reviews, observeRules: () => deadlines.rulesRead(this.follower.rules) }))
  }

  /** Creates the control plane, listens for other VMs and starts the control loops. Throws `listen_failed`. */
  static async start (settings: Settings, metrics: Metrics, lifeCycle: LifeCycle): Promise<ControlPlane> {
    const control = new ControlPlane(settings, await KeyHasher.create(), metrics, lifeCycle)
    const port = await control.#innerServer.listen()
    control.#innerPort = port
    lifeCycle.own('inner server', async () => await control.#innerServer.stop(settings.timing.shutdownMilliseconds))
    logger.info('listening for VMs', { host: settings.listen.inner.host, port })
    await control.#startLoops()
    return control
  }

  /** Port of the inner protocol. */
  get innerPort (): number { return this.#innerPort }

  /** Called when an endpoint has acknowledged that it no longer holds the buckets. */
  revoked (session: EndpointSession, buckets: readonly number[]): void {
    this.#bucketAssigner.revoked(session, buckets)
  }

  /** Called when a session of this VM has changed its state. */
  sessionChanged (): void {
    this.#reviews.changed()
  }

  /** Called when a long job is about to be queued. */
  longJobArrives (session: EndpointSession, deadlineMilliseconds: number): void {
    this.#reliever?.jobArrives(session, deadlineMilliseconds)
  }

  /** Reviews coordinators and assignments once. Called at intervals, and at once when a VM is suspected or an endpoint is lost. */
  review (): void {
    this.#coordinatorAssigner.review()
    this.#bucketAssigner.review()
  }

  /** Hands the endpoints of this VM over to successors and waits until requests that this VM coordinates have ended, both for a limited time. */
  async handOver (): Promise<void> {
    this.membership.leave()
    const signal = AbortSignal.timeout(handOverMilliseconds)
    await this.#coordinatorAssigner.handOver(signal)
    const deadline = this.clock.now() + this.settings.timing.shutdownMilliseconds
    while (this.coordinator.inFlight > 0 && this.clock.now() < deadline) await delay(idlePollMilliseconds)
  }

  /** State of the control plane for the state dump. */
  snapshot (): Readonly<Record<string, unknown>> {
    const { state } = this.follower
    return {
      vm: this.settings.vm,
      log: { position: state.position, caughtUp: this.follower.caughtUp, silentMilliseconds: this.follower.silentMilliseconds, retained: this.follower.retained, lastCheckpoint: this.follower.lastCheckpoint },
      rights: { logRightMilliseconds: this.rights.logLeaseUntil - this.clock.now() },
      rules: { version: state.rules.version, author: state.rules.author, rules: this.follower.rules.rules.length },
      unassigned: this.#bucketAssigner.unassignedPools(),
      witnesses: state.witnesses,
      membership: this.membership.snapshot(),
      sessions: this.coordinator.sessions.map(session => session.snapshot()),
      endpoints: [...state.endpoints.values()].map(endpoint => ({ ...endpoint, buckets: ownedBuckets(state, endpoint) }))
    }
  }

  /** True while the log, a peer or an endpoint does not answer, so that frequent reviews notice its return without delay. */
  #isUnsettled (): boolean {
    const logIsDown = this.follower.silentMilliseconds > this.settings.timing.rightMilliseconds
    return logIsDown || this.membership.suspected.size > 0 || this.coordinator.sessions.some(({ grants }) => grants.state !== 'active')
  }

  async #balance (): Promise<void> {
    this.#reliever?.review()
    await this.#balancer.review()
  }

  async #startLoops (): Promise<void> {
    const report = (task: string) => (error: unknown): void => logger.error('task failed', { task, reason: describeError(error) })
    await this.membership.start(this.#loops)
    this.rights.start(this.#loops)
    void this.follower.run(this.#loops, new PeerPoolStateSource(this.peers)).catch(report('log follower'))
    this.#reviews.start(this.#loops)
    this.#loops.every('balance', balanceMilliseconds, async () => await this.#balance(), report('balance'))
    this.#loops.every('upkeep', upkeepMilliseconds, async () => await this.#controlLogMaintenance.review(), report('upkeep'))
  }
}

/** The parts that are notified when the control state changes. */
interface StateListeners {
  readonly coordinator: Coordinator
  readonly rights: LeaseKeeper
  readonly history: MoveHistory
  readonly reviews: ReviewLoop
  readonly observeRules: () => void
}

class StateEvents extends FollowerObserver {
  readonly #listeners: StateListeners

  constructor (listeners: StateListeners) {
    super()
    this.#listeners = listeners
  }

  override stateChanged (state: ControlState, read: readonly ReadRecord[]): void {
    const { coordinator, history, reviews, observeRules } = this.#listeners
    observeRules()
    history.recordsRead(read)
    coordinator.stateChanged(state, read)
    // A checkpoint alone changes nothing. A state without records came from a peer.
    if (read.length === 0 || read.some(({ record }) => record.kind !== 'checkpoint')) reviews.changed()
  }

  override readToEnd (startedAt: number): void {
    this.#listeners.coordinator.caughtUp()
    this.#listeners.rights.readToEnd(startedAt)
  }
}

class SessionEvents extends SessionObserver {
  readonly #control: ControlPlane
  readonly #metrics: Metrics

  constructor (control: ControlPlane, metrics: Metrics) {
    super()
    this.#control = control
    this.#metrics = metrics
  }

  override stateChanged (_session: EndpointSession, state: SessionState): void {
    this.#control.sessionChanged()
    if (state === 'lost') this.#control.review()
  }

  override bucketsRevoked (session: EndpointSession, buckets: readonly number[]): void {
    this.#control.revoked(session, buckets)
  }

  override longJobArrives (session: EndpointSession, deadlineMilliseconds: number): void {
    this.#control.longJobArrives(session, deadlineMilliseconds)
  }

  override waitedBehindLong (session: EndpointSession, serviceClass: string, milliseconds: number): void {
    this.#metrics.blockedBehindLong(session.description.pool, serviceClass, milliseconds)
  }
}

class WitnessedFormerLeases extends FormerLeases {
  readonly #leaseExpiry: LeaseExpiryWait
  readonly #lifeCycle: LifeCycle

  constructor (leaseExpiry: LeaseExpiryWait, lifeCycle: LifeCycle) {
    super()
    this.#leaseExpiry = leaseExpiry
    this.#lifeCycle = lifeCycle
  }

  override async expiry (endpoint: string, token: number): Promise<number | undefined> {
    return await this.#leaseExpiry.expiry(endpoint, token, false, this.#lifeCycle.signal)
  }
}

class LocalProvisionalCoordination extends ProvisionalCoordination {
  readonly #coordinator: Coordinator

  constructor (coordinator: Coordinator) {
    super()
    this.#coordinator = coordinator
  }

  override isProvisional (endpoint: string): boolean {
    return this.#coordinator.isProvisional(endpoint)
  }

  override beginProvisional (endpoint: EndpointState): void {
    this.#coordinator.beginProvisional(endpoint)
  }
}

/** Relief needs service classes: the FIFO baseline does not distinguish long jobs. */
function relievesLongJobs ({ experiments: { scheduling, longJobRelief } }: Settings): boolean {
  return longJobRelief && scheduling === 'classes'
}

function createPolicy (settings: Settings): QueuePolicy {
  return settings.experiments.scheduling === 'fifo' ? new FifoPolicy() : new ClassPolicy()
}

function ownedBuckets (state: ControlState, endpoint: EndpointState): number {
  return state.pools.get(endpoint.description.pool)?.buckets.filter(bucket => bucket?.owner === endpoint.description.id).length ?? 0
}
