import { delay, LifeCycle, MonotonicClock, type Random } from '@briarsaddle/common'
import { emptyKeyMap, type KeyMap, type VmEntry } from '@briarsaddle/key-ranges'
import type { Directory, EndpointEntry } from '../../endpoint-entry.js'
import { EndpointReach } from '../../endpoint-reach.js'
import { RouterMetrics } from '../../router-metrics.js'
import { LeavingEndpoints } from '../../leaving-endpoints.js'
import type { RoutingTable } from '../../routing-table.js'
import { DemandSource, KeyLeader, type MeasuredDemand } from '../key-leader.js'
import { DirectoryHistory } from '../directory-history.js'
import { GroupMember } from '../group-member.js'
import { isNewerKeyMap } from '../log-position.js'
import { OtherKeyMaps, type OtherMaps } from '../other-key-maps.js'
import type { StateTopic } from '../state-topic.js'
import { defaultControlTiming, type ControlTiming } from '../timing.js'
import { TopicFollower, type TopicFollowerOptions } from '../topic-follower.js'
import { VmRanks } from '../vm-ranks.js'
import { VmRoster, type RosterReport } from '../vm-roster.js'
import { SimulatedEndpoints, SimulatedLinks } from './simulated-endpoints.js'
import { LogAccess, SharedGroup, SharedTopic, SimulatedMembership, SimulatedTopic, type LogMode } from './simulated-log.js'

const pool = 'ponds'
const table: RoutingTable = { version: 1, routes: [], pools: [{ name: pool, keyed: true, maximumConnections: 100 }] }
const slots = 2
const hotKeysEach = 8
const vmCount = 3
const endpointCount = 6
const mostPauseMilliseconds = 400
const positionExchangeMilliseconds = 150
// Writes that a log that went back has lost, and how long it takes until endpoints have written their records again.
const mostLostWrites = 12
const mostRewriteMilliseconds = 400
const restoreIntervalMilliseconds = 2_500

/** The default timing at about a third of its length, so that more happens in a run. */
export const simulatedTiming: ControlTiming = {
  ...defaultControlTiming,
  holdMilliseconds: 1_000,
  renewMilliseconds: 300,
  grantCallMilliseconds: 140,
  suspectMilliseconds: 250,
  staleLeaderMilliseconds: 3_300,
  membershipMilliseconds: 400,
  confirmMilliseconds: 120,
  logCallMilliseconds: 230,
  logWaitMilliseconds: 1_000,
  directoryMilliseconds: 150,
  settleMilliseconds: 100,
  spreadMilliseconds: 300,
  restMilliseconds: 300
}

/** Random demand that differs each time it is collected, so that keys move; none after `ended` is set. */
class RandomDemand extends DemandSource {
  ended = false
  /** Called each time the demand is collected. */
  onCollect = (): void => {}
  readonly #random: Random
  readonly #map: () => KeyMap | undefined

  constructor (random: Random, map: () => KeyMap | undefined) {
    super()
    this.#random = random
    this.#map = map
  }

  override async collect (): Promise<ReadonlyMap<string, MeasuredDemand>> {
    this.onCollect()
    const segments = this.ended ? [] : this.#map()?.pools[pool] ?? []
    return new Map([...new Set(segments.map(segment => segment.owner.endpoint))].map(endpoint => {
      const busySlots = this.#random.fraction() * slots
      const own = segments.filter(segment => segment.owner.endpoint === endpoint)
      const keys = Array.from({ length: hotKeysEach }, () => {
        const { from, to } = this.#random.pick(own)
        return { key: this.#random.integer(from, to), busySlots: busySlots / hotKeysEach }
      })
      return [endpoint, { busySlots, serviceMilliseconds: 50, keys }]
    }))
  }
}

interface SimulatedVm {
  readonly entry: VmEntry
  readonly access: LogAccess
  readonly links: SimulatedLinks
  readonly reach: EndpointReach
  readonly demand: RandomDemand
  /** True while the VM receives nothing from other VMs. */
  isolated: boolean
  readonly map: TopicFollower<KeyMap>
  readonly leader: KeyLeader
  readonly lifeCycle: LifeCycle
}

/** The maps of the other VMs that are neither isolated nor restarting. */
class SimulatedOtherMaps extends OtherKeyMaps {
  readonly #vms: () => readonly SimulatedVm[]
  readonly #self: string

  constructor (self: string, vms: () => readonly SimulatedVm[]) {
    super()
    this.#self = self
    this.#vms = vms
  }

  override async collect (position: number): Promise<OtherMaps> {
    const own = this.#vms().find(vm => vm.entry.id === this.#self)
    const others = this.#vms().filter(vm => vm !== own)
    const reached = own?.isolated === true ? [] : others.filter(vm => !vm.isolated)
    for (const vm of reached) vm.map.observePeerPosition(position)
    return { maps: reached.flatMap(({ map }) => map.current?.state ?? []), allAnswered: reached.length === others.length }
  }
}

/** Result of a run. */
export interface SimulationResult {
  /** Grants that gave keys to a second endpoint or had too low a token, each with the events that led to it. */
  readonly violations: readonly string[]
  /** Segments that were not settled at the end, and the state of the VMs; empty when all were. */
  readonly unsettled: readonly string[]
  /** Number of key maps that were written. */
  readonly maps: number
}

/** Simulates VMs that compete for leadership, a log and endpoints in one process, and injects random faults. */
export class OwnershipSimulation {
  readonly endpoints: SimulatedEndpoints
  readonly #random: Random
  readonly #restores: boolean
  #restoredAt = performance.now()
  readonly #clock = new MonotonicClock()
  readonly #keyMap = new SharedTopic<KeyMap>(emptyKeyMap)
  readonly #directory = new SharedTopic<Directory>(new Map())
  readonly #group = new SharedGroup(simulatedTiming.membershipMilliseconds)
  readonly #vms: SimulatedVm[] = []
  #nextEndpoint = 1

  /** With `restores`, the log comes back from older copies now and then. */
  constructor (random: Random, restores = false) {
    this.#random = random
    this.#restores = restores
    this.endpoints = new SimulatedEndpoints(random)
  }

  /** Injects faults for the given time, then waits at most `settleMilliseconds` until all keys are settled. */
  async run (faultyMilliseconds: number, settleMilliseconds: number): Promise<SimulationResult> {
    for (let index = 0; index < endpointCount; index++) this.#addEndpoint()
    for (let index = 1; index <= vmCount; index++) this.#vms.push(this.#startVm(`vm-${index}`))
    const gossip = setInterval(() => this.#exchangePositions(), positionExchangeMilliseconds)
    const until = performance.now() + faultyMilliseconds
    while (performance.now() < until) {
      await delay(this.#random.integer(10, mostPauseMilliseconds))
      await this.#injectFault()
    }
    for (const vm of this.#vms) {
      this.#heal(vm)
      vm.demand.ended = true
    }
    const settledBy = performance.now() + settleMilliseconds
    while (performance.now() < settledBy && this.#unsettled().length > 0) await delay(mostPauseMilliseconds)
    clearInterval(gossip)
    const unsettled = this.#unsettled()
    for (const vm of this.#vms) await vm.lifeCycle.close()
    return { violations: this.endpoints.violations, unsettled, maps: this.#keyMap.writes }
  }

  /** Returns the segments that are not settled at a living endpoint and, when there are any, the state of each VM. */
  #unsettled (): readonly string[] {
    const segments = this.#keyMap.newest.state.pools[pool] ?? []
    const unsettled = segments.filter(({ moving, owner }) => moving || this.endpoints.get(owner)?.alive !== true)
    if (unsettled.length === 0 && segments.length > 0) return []
    const vms = this.#vms.map(({ entry, map, leader }) => `${entry.id} at ${map.current?.position}, behind ${map.behind}: ${JSON.stringify(leader.snapshot())}`)
    return [`${unsettled.length} of ${segments.length} segments`, ...unsettled.map(segment => JSON.stringify(segment)), ...vms]
  }

  async #injectFault (): Promise<void> {
    const vm = this.#random.pick(this.#vms)
    const entries = [...this.#directory.newest.state.values()]
    const entry = this.#random.pick(entries)
    const steps: ReadonlyArray<() => void | Promise<void>> = [
      () => { vm.access.mode = this.#random.pick<LogMode>(['answers', 'turns_away', 'hangs', 'loses_answers']) },
      () => { vm.access.mode = 'answers' },
      () => { vm.isolated = !vm.isolated },
      () => this.#heal(vm),
      () => { vm.links.cut.add(entry.id) },
      () => { for (const { id } of entries) vm.links.cut.add(id) },
      () => { vm.links.cut.clear() },
      () => { this.#group.reassign() },
      async () => { if (this.#restores && performance.now() - this.#restoredAt > restoreIntervalMilliseconds) await this.#restoreLog() },
      () => { if (entries.length < 2 * endpointCount) this.#addEndpoint() },
      () => { this.#putEntry({ ...entry, leaving: true }) },
      () => { if (entries.length > endpointCount) this.#lose(entry) },
      () => { if (entries.length > endpointCount && entry.leaving) this.#removeEntry(entry) },
      async () => await this.#restart(vm)
    ]
    await this.#random.pick(steps)()
  }

  async #restart (vm: SimulatedVm): Promise<void> {
    await vm.lifeCycle.close()
    this.#vms[this.#vms.indexOf(vm)] = this.#startVm(vm.entry.id)
  }

  /** The log loses its last writes, and some VMs are lost beside it, or all. What endpoints wrote is written again. */
  async #restoreLog (): Promise<void> {
    this.#restoredAt = performance.now()
    const directory = this.#directory.newest.state
    this.#keyMap.restore(this.#random.integer(0, mostLostWrites))
    this.#directory.restore(this.#random.integer(0, mostLostWrites))
    if (this.#random.fraction() < 0.5) this.#group.reassign()
    const restartShare = this.#random.pick([0, 0.5, 1])
    await Promise.all(this.#vms.filter(() => this.#random.fraction() < restartShare).map(async vm => await this.#restart(vm)))
    await delay(this.#random.integer(0, mostRewriteMilliseconds))
    this.#directory.put(directory)
  }

  #heal (vm: SimulatedVm): void {
    vm.access.mode = 'answers'
    vm.isolated = false
    vm.links.cut.clear()
  }

  #exchangePositions (): void {
    for (const vm of this.#vms) {
      const other = this.#random.pick(this.#vms)
      const theirs = other.map.current
      if (vm.isolated || other.isolated || other === vm || theirs === undefined) continue
      vm.map.observePeerPosition(theirs.position)
      if (!vm.map.connected) vm.map.offer(theirs)
    }
  }

  #addEndpoint (): void {
    const id = `endpoint-${this.#nextEndpoint++}`
    this.endpoints.add({ endpoint: id, life: 1, address: '127.0.0.1:1' })
    this.#putEntry({ id, pool, host: '127.0.0.1', port: 1, dataCentre: 'a', slots, leaving: false, life: 1, warmUpMilliseconds: 0 })
  }

  /** Ends the process of an endpoint; half of the time it is restarted under the same id without first leaving the directory. */
  #lose (entry: EndpointEntry): void {
    const holder = { endpoint: entry.id, life: entry.life, address: '127.0.0.1:1' }
    const endpoint = this.endpoints.get(holder)
    if (endpoint !== undefined) endpoint.alive = false
    if (this.#random.fraction() < 0.5) return this.#removeEntry(entry)
    this.endpoints.add({ ...holder, life: entry.life + 1 })
    this.#putEntry({ ...entry, life: entry.life + 1, leaving: false })
  }

  #putEntry (entry: EndpointEntry): void {
    this.#directory.put(new Map([...this.#directory.newest.state, [entry.id, entry]]))
  }

  #removeEntry ({ id }: EndpointEntry): void {
    this.#directory.put(new Map([...this.#directory.newest.state].filter(([other]) => other !== id)))
  }

  #startVm (id: string): SimulatedVm {
    const self: VmEntry = { id, host: '127.0.0.1', port: 1, dataCentre: 'a' }
    const access = new LogAccess(this.#random)
    const links = new SimulatedLinks(id, this.endpoints, simulatedTiming.grantCallMilliseconds)
    const lifeCycle = new LifeCycle(id)
    const history = new DirectoryHistory(this.#clock)
    const map = this.#follow('key map', new SimulatedTopic(this.#keyMap, access), { isNewer: isNewerKeyMap })
    const directory = this.#follow('directory', new SimulatedTopic(this.#directory, access), { waitMilliseconds: 0, pauseMilliseconds: simulatedTiming.directoryMilliseconds, merge: (held, copy) => history.merge(held, copy) })
    directory.onChange(state => history.update(state))
    const routing = this.#follow('routing table', new SimulatedTopic(new SharedTopic(table), access))
    const member = new GroupMember({
      self,
      service: new SimulatedMembership(this.#group, access),
      clock: this.#clock,
      confirmEveryMilliseconds: simulatedTiming.confirmMilliseconds,
      callMilliseconds: simulatedTiming.logCallMilliseconds,
      isCandidate: () => (leader.leading && !leader.mayHandOver) || !ranks.isCutOff(id),
      onRegained: () => map.interrupt()
    })
    const ranks = new VmRanks()
    map.onChange(({ vms }) => ranks.update(vms))
    const demand = new RandomDemand(this.#random, () => map.current?.state)
    const reach = new EndpointReach({ clock: this.#clock, random: this.#random, transport: links, directory: () => directory.current?.state ?? new Map() })
    const roster = new VmRoster(self, this.#clock)
    demand.onCollect = () => this.#collectReach(id, roster)
    const leader: KeyLeader = new KeyLeader({ leaving: new LeavingEndpoints(this.#clock), self, clock: this.#clock, timing: simulatedTiming, member, topic: new SimulatedTopic(this.#keyMap, access), map, directory, routing, transport: reach, reach, demand, roster, otherMaps: new SimulatedOtherMaps(id, () => this.#vms), metrics: new RouterMetrics() })
    for (const follower of [map, directory, routing]) follower.start(lifeCycle)
    member.start(lifeCycle)
    reach.start(lifeCycle)
    leader.start(lifeCycle)
    return { entry: self, access, links, reach, demand, isolated: false, map, leader, lifeCycle }
  }

  /** Tells a leader which endpoints the other VMs reach, as their reports do. A VM that does not lead reaches what its links reach. */
  #collectReach (leader: string, roster: VmRoster): void {
    const reportOf = ({ reach, links }: SimulatedVm): RosterReport => ({ watchers: [], leaving: false, cutOffPools: reach.cutOffPools, reachedPools: links.cut.size === 0 && !reach.isCutOff(pool) ? [pool] : [] })
    const own = this.#vms.find(vm => vm.entry.id === leader)
    if (own === undefined) return
    const others = this.#vms.filter(vm => vm !== own)
    roster.applyRound(new Map(others.map(vm => [vm.entry.id, own.isolated || vm.isolated ? undefined : reportOf(vm)])), reportOf(own))
  }

  #follow<State> (name: string, topic: StateTopic<State>, options: Partial<TopicFollowerOptions<State>> = {}): TopicFollower<State> {
    const { logWaitMilliseconds } = simulatedTiming
    return new TopicFollower({ name, topic, clock: this.#clock, waitMilliseconds: logWaitMilliseconds, pauseMilliseconds: 0, isNewer: (one, before) => one.position > before.position, ...options })
  }
}
