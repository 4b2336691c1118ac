import { randomInt } from 'node:crypto'
import { delay, LifeCycle, Logger, LoopDelay, MonotonicClock, processTurnQueue, Random, type Clock } from '@briarsaddle/common'
import { EntryServer } from '@briarsaddle/entry'
import type { KeyMap, VmEntry } from '@briarsaddle/key-ranges'
import { InnerServer, PeerPool, type Answer, type Forward } from '@briarsaddle/protocol'
import { LoadReporter } from './load-reporter.js'
import { stateAges, type StateAges } from './control/state-ages.js'
import { Candidacy } from './control/candidacy.js'
import { ControlFeed } from './control/control-feed.js'
import { ControlPublisher } from './control/control-publisher.js'
import { ControlRelay } from './control/control-relay.js'
import { KeyLeader } from './control/key-leader.js'
import type { MembershipService } from './control/leadership.js'
import { GroupMember } from './control/group-member.js'
import { ReadPositionMonitor } from './control/read-position-monitor.js'
import { DirectoryHistory } from './control/directory-history.js'
import { eraOf, isNewerKeyMap } from './control/log-position.js'
import { PeerKeyMaps } from './control/other-key-maps.js'
import { PeerDemand } from './control/peer-demand.js'
import type { StateTopic, WritableTopic } from './control/state-topic.js'
import { TopicFollower } from './control/topic-follower.js'
import { VmRanks } from './control/vm-ranks.js'
import { VmRoster } from './control/vm-roster.js'
import type { Directory } from './endpoint-entry.js'
import { EndpointReach } from './endpoint-reach.js'
import type { EndpointTransport } from './endpoint-transport.js'
import { LeavingEndpoints } from './leaving-endpoints.js'
import { MeasuredTransport } from './measured-transport.js'
import type { ListenAddress, RangeNodeSettings } from './node-settings.js'
import type { CallerProtocol } from './request/caller-protocol.js'
import { ChangeNotifier } from './request/change-notifier.js'
import { featureLevel } from './request/coordinator-assignment.js'
import { Coordinators } from './request/coordinators.js'
import { Dispatcher, PeerForwarder } from './request/dispatcher.js'
import { RangeControlHandler, RangeFrameHandler } from './request/inner-handlers.js'
import { RangeRouter, type RoutedRequest } from './request/range-router.js'
import { PoisonArchive } from './poison/poison-archive.js'
import { PoisonList } from './poison/poison-list.js'
import { RetryBudget } from './retry-budget.js'
import type { RouterMetrics } from './router-metrics.js'
import type { RoutingTable } from './routing-table.js'
import { StatusServer, type StatusPage } from './status-server.js'

const logger = new Logger('node')

/** What the platform provides to a VM. */
export interface RangeNodePlatform {
  readonly keyMap: WritableTopic<KeyMap>
  readonly routing: StateTopic<RoutingTable>
  readonly directory: StateTopic<Directory>
  /** The list of requests that crash endpoints, as text. */
  readonly poisonRequests: WritableTopic<string>
  readonly membership: MembershipService
  readonly transport: EndpointTransport
  readonly callers: CallerProtocol
  /** Metrics of this VM; the platform's code records in them as well. */
  readonly metrics: RouterMetrics
}

const maximumHeaderBytes = 64 * 1024
const maximumBodyBytes = 64 * 1024 * 1024
const reportMilliseconds = 2_000
// After this time a VM that cannot read the log accepts connections all the same, and refuses the requests with a reason.
const longestPreparationMilliseconds = 2_000
// Streams between VMs that fail are replaced before the usual deadline of a request passes.
const peerConnectMilliseconds = 400
const peerSilenceMilliseconds = 400
// Opening a connection costs about as much as ten forwarded requests.
const peerIdleMilliseconds = 20_000
// A VM that is fed with older state than this reads the routing table itself, for which the platform states a time limit.
const routingAgeLimitMilliseconds = 1_000
// The same for key map and directory. The VMs that others watch read the log first, so that a change of leader does not make all VMs
// read it; the others have the state from them before their own limit passes.
const sourceAgeLimitMilliseconds = 1_000
const stateAgeLimitMilliseconds = 1_400
// A VM without any state waits this long for a seed before it reads the log. A seed answers within some 50 ms.
const firstStateMilliseconds = 500

/** One VM of the router: accepts the requests of callers, coordinates endpoints and, when elected leader, assigns keys. */
export class RangeNode {
  readonly #settings: RangeNodeSettings
  readonly #platform: RangeNodePlatform
  readonly #lifeCycle = new LifeCycle('node')
  readonly #clock: Clock = new MonotonicClock()
  readonly #loopDelay = new LoopDelay(this.#clock)
  readonly #random = new Random(randomInt(2 ** 31))
  readonly #changes = new ChangeNotifier()
  readonly #leavingEndpoints = new LeavingEndpoints(this.#clock, () => ({ feed: this.#feed.source, leading: this.#leader.leading, directoryAgeMilliseconds: this.#stateAges.directoryAgeMilliseconds }))
  readonly #poison = new PoisonList(this.#clock)
  readonly #coordinators = new Coordinators()
  readonly #metrics: RouterMetrics
  readonly #transport: EndpointReach
  readonly #self: VmEntry
  readonly #map: TopicFollower<KeyMap>
  readonly #routing: TopicFollower<RoutingTable>
  readonly #directory: TopicFollower<Directory>
  readonly #readPositions: ReadPositionMonitor
  readonly #member: GroupMember
  readonly #directoryHistory = new DirectoryHistory(this.#clock)
  readonly #ranks = new VmRanks()
  readonly #stateAgeLimit = (): number => this.#ranks.isSource(this.#self) ? sourceAgeLimitMilliseconds : stateAgeLimitMilliseconds
  readonly #roster: VmRoster
  readonly #candidacy: Candidacy
  readonly #feed: ControlFeed
  readonly #publisher: ControlPublisher
  readonly #peers: PeerPool
  readonly #dispatcher: Dispatcher
  readonly #router: RangeRouter
  readonly #control: RangeControlHandler
  readonly #leader: KeyLeader
  readonly #inner: InnerServer
  readonly #entry: EntryServer<RoutedRequest>
  readonly #load: LoadReporter
  #stopping: Promise<void> | undefined
  /** Result of the last readiness check. */
  #ready = false

  constructor (settings: RangeNodeSettings, platform: RangeNodePlatform) {
    this.#settings = settings
    this.#platform = platform
    this.#metrics = platform.metrics
    this.#transport = new EndpointReach({ clock: this.#clock, random: this.#random, transport: new MeasuredTransport(platform.transport, platform.metrics, this.#clock), directory: () => this.#endpoints })
    const { timing, listen } = settings
    const clock = this.#clock
    this.#self = { ...settings.vm, host: listen.inner.host, port: listen.inner.port, level: featureLevel }
    this.#roster = new VmRoster(this.#self, clock, () => [...this.#endpoints.values()])
    this.#candidacy = new Candidacy({
      vm: settings.vm.id,
      clock,
      ranks: this.#ranks,
      mayBegin: this.#isSeed || settings.seeds.length === 0,
      mustLead: () => this.#leader.leading && !this.#leader.mayHandOver,
      isLeading: () => this.#leader.leading,
      isMember: () => this.#member.report !== undefined,
      withoutSourceMilliseconds: () => this.#feed.ageMilliseconds
    })
    const byPosition = (one: { readonly position: number }, other: { readonly position: number }): boolean => one.position > other.position
    this.#map = new TopicFollower({ name: 'key map', topic: platform.keyMap, clock, waitMilliseconds: timing.logWaitMilliseconds, pauseMilliseconds: 0, isNewer: isNewerKeyMap, untilNeeded: this.#untilOlderThan(this.#stateAgeLimit) })
    this.#routing = new TopicFollower({
      name: 'routing table', topic: platform.routing, clock, waitMilliseconds: timing.logWaitMilliseconds, pauseMilliseconds: 0, isNewer: (one, other) => one.state.version > other.state.version, untilNeeded: this.#untilOlderThan(() => routingAgeLimitMilliseconds)
    })
    this.#directory = new TopicFollower({ name: 'directory', topic: platform.directory, clock, waitMilliseconds: 0, pauseMilliseconds: timing.directoryMilliseconds, isNewer: byPosition, merge: (held, copy) => this.#directoryHistory.merge(held, copy), untilNeeded: this.#untilOlderThan(this.#stateAgeLimit) })
    this.#readPositions = new ReadPositionMonitor(this.#map, this.#routing)
    this.#member = new GroupMember({
      self: this.#self,
      service: platform.membership,
      clock,
      confirmEveryMilliseconds: timing.confirmMilliseconds,
      callMilliseconds: timing.logCallMilliseconds,
      isCandidate: () => this.#candidacy.decide(),
      // Reads that have been waiting since before the outage may never be answered.
      onRegained: () => this.#followers.forEach(follower => follower.restart())
    })
    this.#peers = new PeerPool(this.#lifeCycle, { connectTimeoutMilliseconds: peerConnectMilliseconds, silenceMilliseconds: peerSilenceMilliseconds, idleMilliseconds: peerIdleMilliseconds, clock, random: this.#random })
    this.#updatePeers([])
    this.#publisher = new ControlPublisher({ clock, map: this.#map, routing: this.#routing, directory: this.#directory, poison: this.#poison, age: () => clock.now() - this.#confirmedAt, leaving: () => this.#stopping !== undefined, path: () => [...this.#feed.path, this.#self.id] })
    this.#feed = new ControlFeed({ self: this.#self, clock, peers: this.#peers, map: this.#map, routing: this.#routing, directory: this.#directory, poison: this.#poison, sources: () => this.#sources, onUpdate: () => this.#publisher.publishSoon() })
    this.#dispatcher = this.#createDispatcher()
    this.#router = this.#createRouter()
    this.#control = new RangeControlHandler({ vm: settings.vm.id, dispatcher: this.#dispatcher, map: this.#map, routing: this.#routing, readPositions: this.#readPositions, publisher: this.#publisher, poison: this.#poison, reach: this.#transport, leaving: () => this.#stopping !== undefined, load: () => this.#load.current })
    this.#leader = this.#createLeader()
    this.#inner = new InnerServer({ ...listen.inner }, new RangeFrameHandler(this.#dispatcher), this.#control)
    this.#entry = new EntryServer({ ...listen.callers, ...settings.limits, maximumHeaderBytes, maximumBodyBytes, clock, loopDelay: this.#loopDelay }, this.#router)
    this.#load = new LoadReporter({ clock, turns: processTurnQueue, entry: this.#entry, dispatcher: this.#dispatcher, metrics: this.#metrics })
  }

  /** Starts all parts. Throws `listen_failed`. */
  async start (): Promise<void> {
    this.#followChanges()
    this.#metrics.build(this.#build, featureLevel)
    this.#loopDelay.start(this.#lifeCycle, milliseconds => this.#metrics.loopDelay(milliseconds))
    await this.#inner.listen()
    this.#lifeCycle.own('inner server', async () => await this.#inner.stop(0))
    await new StatusServer({ '/ready': async () => this.#readiness() }).listen(this.#settings.listen.readiness, this.#lifeCycle)
    await new StatusServer({ '/metrics': async () => await this.#metricsPage(), '/state': async () => this.#statePage() }, { '/poison-requests/lift': async query => this.#liftRefusal(query) }).listen(this.#settings.listen.administration, this.#lifeCycle)
    for (const follower of this.#followers) follower.start(this.#lifeCycle)
    this.#feed.start(this.#lifeCycle)
    this.#publisher.start(this.#lifeCycle)
    this.#member.start(this.#lifeCycle)
    this.#transport.start(this.#lifeCycle)
    this.#leader.start(this.#lifeCycle)
    new PoisonArchive({ list: this.#poison, topic: this.#platform.poisonRequests, callMilliseconds: this.#settings.timing.logCallMilliseconds, isLeading: () => this.#leader.leading, era: () => eraOf(this.#map.current?.position ?? 0) }).start(this.#lifeCycle)
    new ControlRelay({ peers: this.#peers, map: this.#map, routing: this.#routing, random: this.#random, isFed: () => this.#feed.source !== undefined }).start(this.#lifeCycle)
    this.#lifeCycle.every('state metrics', reportMilliseconds, () => this.#reportState(), error => logger.error('state metrics failed', { error: String(error) }))
    this.#load.start(this.#lifeCycle)
    await this.#listenWhenPrepared()
    logger.info('started', { build: this.#build, featureLevel, dataCentre: this.#self.dataCentre, inner: `${this.#self.host}:${this.#self.port}`, routingVersion: this.#router.version, ...this.#stateAges })
  }

  /** Listens for callers once the routes, the key map and the directory are known; other VMs serve the requests until then. */
  async #listenWhenPrepared (): Promise<void> {
    const deadline = this.#clock.now() + longestPreparationMilliseconds
    while (!this.#prepared && this.#clock.now() < deadline && this.#stopping === undefined) await this.#changes.waitForChange(deadline - this.#clock.now(), this.#lifeCycle.signal)
    if (this.#stopping !== undefined) return
    await this.#entry.listen()
    this.#lifeCycle.own('entry', async () => await this.#entry.stop(0))
  }

  get #build (): string { return this.#settings.build ?? 'unknown' }

  /** True while this VM assigns keys to endpoints. */
  get leading (): boolean { return this.#leader.leading }

  get #hasState (): boolean {
    return this.#routing.current !== undefined && this.#map.current !== undefined && this.#directory.current !== undefined
  }

  get #prepared (): boolean {
    return (this.#routing.current?.state.version ?? 0) > 0 && this.#map.current !== undefined && this.#directory.current !== undefined
  }

  /** Leaves the group of VMs and the balancer's rotation, finishes the requests in flight and stops. */
  async stop (): Promise<void> {
    this.#stopping ??= this.#stop()
    return await this.#stopping
  }

  async #stop (): Promise<void> {
    const { lameDuckMilliseconds, finishMilliseconds } = this.#settings.stop
    logger.info('stopping', { inFlight: this.#entry.inFlight, leading: this.#leader.leading })
    const left = this.#member.leave()
    this.#changes.notify()
    this.#publisher.publishSoon()
    const entryStopped = this.#entry.serving ? this.#entry.stop(finishMilliseconds, lameDuckMilliseconds) : undefined
    await delay(lameDuckMilliseconds)
    // Other VMs forward requests until the list of VMs has changed, which a change of the leader delays. Those finish like the callers' own.
    await Promise.all([entryStopped, left, this.#inner.stop(finishMilliseconds)])
    await this.#lifeCycle.close()
    logger.info('stopped')
  }

  #createDispatcher (): Dispatcher {
    return new Dispatcher({
      vm: this.#settings.vm.id,
      coordinators: this.#coordinators,
      peers: new PeerPoolForwarder(this.#peers),
      transport: this.#transport,
      directory: () => this.#endpoints,
      clock: this.#clock,
      loopDelay: this.#loopDelay,
      random: this.#random,
      metrics: this.#metrics,
      leaving: this.#leavingEndpoints,
      poison: this.#poison,
      reach: this.#transport
    })
  }

  #createRouter (): RangeRouter {
    return new RangeRouter({
      dataCentre: this.#settings.vm.dataCentre,
      clock: this.#clock,
      random: this.#random,
      protocol: this.#platform.callers,
      dispatcher: this.#dispatcher,
      retries: new RetryBudget(this.#clock, this.#settings.retries, () => this.#map.current?.state.vms.length ?? 1),
      map: () => this.#map.current?.state,
      directory: () => this.#endpoints,
      changes: this.#changes,
      leaving: this.#leavingEndpoints,
      poison: this.#poison,
      metrics: this.#metrics,
      stateAges: () => this.#stateAges
    })
  }

  #createLeader (): KeyLeader {
    return new KeyLeader({
      self: this.#self,
      clock: this.#clock,
      timing: this.#settings.timing,
      member: this.#member,
      topic: this.#platform.keyMap,
      map: this.#map,
      directory: this.#directory,
      routing: this.#routing,
      transport: this.#transport,
      leaving: this.#leavingEndpoints,
      demand: new PeerDemand(this.#peers, this.#control, this.#readPositions, this.#roster, this.#poison),
      roster: this.#roster,
      reach: this.#transport,
      otherMaps: new PeerKeyMaps(this.#peers),
      metrics: this.#metrics
    })
  }

  /** Returns a function that waits until this VM has to read the log itself. */
  #untilOlderThan (limit: () => number): (signal: AbortSignal) => Promise<void> {
    return async signal => await this.#feed.untilOlderThan(() => this.#hasState ? limit() : firstStateMilliseconds, signal)
  }

  /** Ids of the VMs from which this VM may receive the control state; empty while it has to read the log itself. */
  get #sources (): readonly string[] {
    if (this.#member.leads || this.#leader.leading) return []
    if (!this.#ranks.empty) return this.#ranks.sourcesOf(this.#self, this.#map.current?.state.author ?? '')
    return this.#isSeed ? [] : this.#settings.seeds.map(seedId)
  }

  get #isSeed (): boolean {
    return this.#settings.seeds.some(({ host, port }) => host === this.#self.host && port === this.#self.port)
  }

  /** When the control state of this VM was last confirmed at the log, by itself or by the VM that it watches. */
  get #confirmedAt (): number {
    return Math.max(this.#feed.stateConfirmedAt, this.#leader.leading ? Math.min(this.#member.confirmedAt, this.#feed.readsAnsweredAt) : -Infinity)
  }

  /** Replaces the addresses of other VMs. The seeds are among them while no VM is known. */
  #updatePeers (vms: readonly VmEntry[]): void {
    const others = vms.filter(vm => vm.id !== this.#self.id).map(({ id, host, port }) => ({ vm: id, host, port }))
    const seeds = vms.length > 0 || this.#isSeed ? [] : this.#settings.seeds.map(seed => ({ vm: seedId(seed), ...seed }))
    this.#peers.update([...others, ...seeds])
  }

  get #followers (): ReadonlyArray<TopicFollower<KeyMap> | TopicFollower<RoutingTable> | TopicFollower<Directory>> {
    return [this.#map, this.#routing, this.#directory]
  }

  get #endpoints (): Directory {
    return this.#directory.current?.state ?? new Map()
  }

  #followChanges (): void {
    this.#map.onChange(map => {
      this.#logKeyMap(map)
      this.#coordinators.update(map.vms)
      const wasCandidate = this.#ranks.isCandidate(this.#self.id)
      this.#ranks.update(map.vms)
      if (this.#ranks.isCandidate(this.#self.id) !== wasCandidate) this.#member.reviewSoon()
      this.#updatePeers(map.vms)
      this.#changes.notify()
    })
    this.#directory.onChange(directory => {
      this.#leavingEndpoints.update(directory)
      this.#directoryHistory.update(directory)
      this.#coordinators.updateEndpoints(directory)
      this.#dispatcher.update(directory)
      this.#transport.keepOnly(directory)
      this.#changes.notify()
    })
    this.#routing.onChange(table => this.#useRouting(table))
    this.#transport.onUnreached(endpoint => this.#dispatcher.unreached(endpoint))
    this.#transport.onChange(pool => {
      if (this.#transport.isCutOff(pool)) this.#dispatcher.cutOffFrom(pool)
      this.#leader.collectSoon()
      this.#changes.notify()
    })
  }

  #logKeyMap ({ author, fence, vms, pools, repairs }: KeyMap): void {
    if (repairs !== undefined) logger.error('the key map was written with an invalid layout; the keys concerned get no requests until a leader writes it anew', { position: this.#map.current?.position, author, repairs: repairs.join('; ') })
    const segments = Object.values(pools).flat()
    logger.info('key map in force', { position: this.#map.current?.position, author, fence, vms: vms.length, ranges: segments.length, moving: segments.filter(segment => segment.moving).length })
  }

  get #stateAges (): StateAges {
    return stateAges(this.#clock, { map: this.#map, routing: this.#routing, directory: this.#directory })
  }

  #useRouting (table: RoutingTable): void {
    logger.info('routing table in force', { version: table.version, before: this.#router.version, routes: table.routes.length })
    this.#router.use(table)
    if (table.limits !== undefined) this.#entry.setLimits(table.limits)
    this.#changes.notify()
  }

  /** Ready once requests are accepted and can be routed: a VM that the balancer chooses before that turns callers away. */
  #readiness (): StatusPage {
    const table = this.#routing.current?.state
    const listening = this.#entry.serving
    const keysAssigned = table?.pools.every(pool => !pool.keyed || this.#map.current?.state.pools[pool.name] !== undefined) === true
    const directoryKnown = this.#directory.current !== undefined
    const ready = this.#stopping === undefined && listening && keysAssigned && directoryKnown
    if (ready !== this.#ready) logger.info('readiness changed', { ready, stopping: this.#stopping !== undefined, listening, keysAssigned, directoryKnown, acceptedConnections: this.#entry.acceptedConnections, waitingRequests: processTurnQueue.length })
    this.#ready = ready
    return { status: ready ? 200 : 503, type: 'text/plain', text: ready ? 'ready\n' : 'not ready\n' }
  }

  async #metricsPage (): Promise<StatusPage> {
    this.#reportState()
    return { status: 200, type: 'text/plain; version=0.0.4', text: await this.#metrics.text() }
  }

  #statePage (): StatusPage {
    const gates = Object.fromEntries([...this.#dispatcher.gates].map(([endpoint, gate]) => [endpoint, gate.snapshot()]))
    const state = {
      vm: this.#self,
      build: this.#build,
      featureLevel,
      keyMap: this.#map.current,
      routing: this.#routing.current,
      directory: [...this.#endpoints.values()],
      member: this.#member.report,
      leader: this.#leader.snapshot(),
      feed: { source: this.#feed.source, ageMilliseconds: Math.round(this.#feed.ageMilliseconds), sources: this.#sources, watchers: this.#publisher.watchers.map(({ vm }) => vm?.id), candidate: this.#member.report !== undefined },
      connectedPeers: this.#peers.clients,
      router: this.#router.snapshot(),
      cutOffPools: this.#transport.cutOffPools,
      poisonRequests: this.#poison.snapshot(),
      gates,
      entry: { serving: this.#entry.serving, inFlight: this.#entry.inFlight }
    }
    return { status: 200, type: 'application/json', text: JSON.stringify(state) }
  }

  /** Ends the refusal of a request that crashed endpoints, on all VMs. */
  #liftRefusal (query: URLSearchParams): StatusPage {
    const fingerprint = query.get('fingerprint') ?? ''
    if (fingerprint === '') return { status: 400, type: 'text/plain', text: 'the query must name a fingerprint\n' }
    if (!this.#poison.lift(fingerprint)) return { status: 404, type: 'text/plain', text: 'no request with this fingerprint is known; see /state\n' }
    return { status: 200, type: 'text/plain', text: 'lifted\n' }
  }

  #reportState (): void {
    const { user, system } = process.cpuUsage()
    const { keyMapAgeMilliseconds, routingAgeMilliseconds, directoryAgeMilliseconds } = this.#stateAges
    const moving = Object.values(this.#map.current?.state.pools ?? {}).flat().filter(segment => segment.moving).length
    this.#metrics.state({
      leading: Number(this.#leader.leading),
      routingVersion: this.#router.version ?? 0,
      keyMapPosition: this.#map.current?.position ?? 0,
      endpoints: this.#endpoints.size,
      limitedEndpoints: [...this.#dispatcher.gates.values()].filter(gate => gate.isLimited).length,
      cutOffPools: this.#transport.cutOffPools.length,
      suspectedRequests: this.#poison.size,
      refusedRequests: this.#poison.refused,
      callersInFlight: this.#entry.inFlight,
      acceptedConnections: this.#entry.acceptedConnections,
      refusedConnections: this.#entry.refusedConnections,
      waitingRequests: processTurnQueue.length,
      unreadBytes: this.#entry.unreadBytes,
      movesUnderWay: this.#leader.movesUnderWay,
      movingRanges: moving,
      keyMapAgeSeconds: secondsOf(keyMapAgeMilliseconds),
      routingAgeSeconds: secondsOf(routingAgeMilliseconds),
      directoryAgeSeconds: secondsOf(directoryAgeMilliseconds),
      fed: Number(this.#feed.source !== undefined),
      watchers: this.#publisher.watchers.length,
      connectedPeers: this.#peers.clients,
      vms: this.#map.current?.state.vms.length ?? 0,
      residentBytes: process.memoryUsage.rss(),
      processorSeconds: (user + system) / microsecondsPerSecond
    })
  }
}

/** Id of a VM of which only the address is known. */
function seedId ({ host, port }: ListenAddress): string {
  return `${host}:${port}`
}

const microsecondsPerSecond = 1_000_000

/** Converts an age to seconds; NaN, which Prometheus accepts, while there is no age. */
function secondsOf (milliseconds: number | undefined): number {
  return milliseconds === undefined ? NaN : milliseconds / 1000
}

class PeerPoolForwarder extends PeerForwarder {
  readonly #peers: PeerPool

  constructor (peers: PeerPool) {
    super()
    this.#peers = peers
  }

  override async forward (vm: string, forward: Forward, signal: AbortSignal): Promise<Answer> {
    return await this.#peers.forward(vm, forward, signal)
  }
}
