import type { VmEntry } from '@briarsaddle/key-ranges'
import { Logger, type Clock } from '@briarsaddle/common'
import type { CoordinatedEndpoint } from '../request/coordinator-assignment.js'
import { planCoordination, type VmLoad } from './coordination-plan.js'

const logger = new Logger('roster')

/** A VM that receives the control state from another one. */
export interface WatchingVm {
  readonly vm: VmEntry
  /** How long its stream has been open, in milliseconds. */
  readonly openMilliseconds: number
}

/** What a VM reported when the leader asked it. */
export interface RosterReport {
  readonly watchers: readonly WatchingVm[]
  readonly leaving: boolean
  /** Pools whose endpoints the VM does not reach. */
  readonly cutOffPools: readonly string[]
  /** Pools of which the VM has reached an endpoint lately. */
  readonly reachedPools: readonly string[]
  /** Absent until it is measured. */
  readonly load?: VmLoad | undefined
  /** Requests a second that the VM queued, by endpoint. Absent: none. */
  readonly endpointRates?: ReadonlyMap<string, number>
}

// A single call may fail because a VM was short of processor time.
const silentRounds = 2
// If more than this share of the VMs is silent in one round, the leader itself may have been held up; it then waits for more rounds.
const ownFaultShare = 0.5
const silentRoundsAfterOwnFault = 5
// A VM that others still hear is added again after this time. The stream of a lost VM stays open for up to 12 s (keepalive).
const readmitMilliseconds = 15_000
// Loads are measured over some seconds, so that a change shows in them after this time.
const coordinationRestMilliseconds = 5_000

/**
 * The leader's list of VMs. VMs are added when they are members of the group of candidates or when another VM reports that
 * they watch it, and removed when they stop or do not answer the leader.
 */
export class VmRoster {
  readonly #self: VmEntry
  readonly #clock: Clock
  readonly #endpoints: () => readonly CoordinatedEndpoint[]
  readonly #silent = new Map<string, number>()
  readonly #removedAt = new Map<string, number>()
  /** Pools that VMs are cut off from while others reach them, by VM. */
  #cutFrom = new Map<string, readonly string[]>()
  /** Last reported load of each VM. */
  readonly #loads = new Map<string, VmLoad>()
  /** VM by endpoint that was given to it. */
  readonly #coordinators = new Map<string, string>()
  #coordinationPlannedAt = -Infinity
  #vms = new Map<string, VmEntry>()
  #sorted: readonly VmEntry[] | undefined

  /** `endpoints` returns the endpoints whose coordinators are planned; without it none are. */
  constructor (self: VmEntry, clock: Clock, endpoints: () => readonly CoordinatedEndpoint[] = () => []) {
    this.#self = self
    this.#clock = clock
    this.#endpoints = endpoints
    this.reset([])
  }

  /** The VMs by id, in the order of their ids. The same object is returned until the list changes. */
  get vms (): readonly VmEntry[] {
    this.#sorted ??= [...this.#vms.values()].map(vm => this.#withPlans(vm)).sort((one, other) => one.id < other.id ? -1 : 1)
    return this.#sorted
  }

  /** Begins anew with a list, at the start of a leadership. */
  reset (vms: readonly VmEntry[]): void {
    this.#vms = new Map([...vms, this.#self].map(vm => [vm.id, vm]))
    this.#cutFrom = new Map(vms.flatMap(({ id, cutFrom }) => cutFrom === undefined ? [] : [[id, cutFrom]]))
    this.#coordinators.clear()
    for (const { id, coordinates = [] } of vms) for (const endpoint of coordinates) this.#coordinators.set(endpoint, id)
    this.#loads.clear()
    this.#silent.clear()
    this.#removedAt.clear()
    this.#sorted = undefined
  }

  /** Adds the members of the group of candidates, whose membership has just been confirmed at the log. */
  addMembers (members: readonly VmEntry[]): void {
    for (const vm of members) this.#add(vm, 'member')
  }

  /** Whether a VM is cut off from a pool that others reach. */
  isCutOff (vm: string): boolean {
    return this.#cutFrom.has(vm)
  }

  #withPlans ({ cutFrom: _formerCut, coordinates: _formerEndpoints, ...vm }: VmEntry): VmEntry {
    const cutFrom = this.#cutFrom.get(vm.id)
    const coordinates = [...this.#coordinators].filter(([, coordinator]) => coordinator === vm.id).map(([endpoint]) => endpoint).sort()
    return { ...vm, ...(coordinates.length === 0 ? {} : { coordinates }), ...(cutFrom === undefined ? {} : { cutFrom }) }
  }

  /** Gives endpoints of full VMs to VMs with room. */
  #planCoordination (reports: ReadonlyMap<string, RosterReport | undefined>): void {
    for (const [vm, report] of reports) if (report?.load !== undefined) this.#loads.set(vm, report.load)
    const now = this.#clock.now()
    if (now - this.#coordinationPlannedAt < coordinationRestMilliseconds) return
    const endpoints = this.#endpoints()
    const rates = new Map<string, number>()
    for (const report of reports.values()) for (const [endpoint, rate] of report?.endpointRates ?? []) rates.set(endpoint, (rates.get(endpoint) ?? 0) + rate)
    const moves = planCoordination({ vms: this.vms, endpoints, loads: this.#loads, rates })
    if (moves.length === 0) return
    this.#coordinationPlannedAt = now
    this.#sorted = undefined
    const present = new Set(endpoints.map(({ id }) => id))
    for (const endpoint of this.#coordinators.keys()) if (!present.has(endpoint)) this.#coordinators.delete(endpoint)
    for (const { endpoint, from, to } of moves) {
      this.#coordinators.set(endpoint, to)
      logger.info('endpoint gets another coordinator, because its VM is full', { endpoint, from, to, requestsPerSecond: rates.get(endpoint), fromBusyShare: this.#loads.get(from)?.busyShare, toBusyShare: this.#loads.get(to)?.busyShare })
    }
  }

  /** A pool that no VM reaches has lost its endpoints; then no VM is better placed than another. */
  #applyReach (reports: ReadonlyMap<string, RosterReport | undefined>): void {
    const reached = new Set([...reports.values()].flatMap(report => report?.reachedPools ?? []))
    for (const [vm, report] of reports) {
      // A VM that does not answer is as it was.
      if (report === undefined) continue
      const cutFrom = report.cutOffPools.filter(pool => reached.has(pool)).sort()
      const before = this.#cutFrom.get(vm)
      if (before?.join() === (cutFrom.length === 0 ? undefined : cutFrom.join())) continue
      if (cutFrom.length === 0) this.#cutFrom.delete(vm)
      else this.#cutFrom.set(vm, cutFrom)
      this.#sorted = undefined
      logger.warning(cutFrom.length === 0 ? 'VM is not cut off from endpoints any more' : 'VM is cut off from endpoints that others reach', { peer: vm, pools: (before ?? []).concat(cutFrom).join() })
    }
  }

  /** Applies the results of one round of calls, undefined for a call without an answer, and the report of this VM. */
  applyRound (reports: ReadonlyMap<string, RosterReport | undefined>, own: RosterReport): void {
    const now = this.#clock.now()
    for (const [vm, at] of this.#removedAt) if (now - at > readmitMilliseconds) this.#removedAt.delete(vm)
    const silent = [...reports].filter(([, report]) => report === undefined)
    const ownFault = silent.length > 1 && silent.length > ownFaultShare * reports.size
    // A leader that reaches nobody is cut off itself, however long that lasts.
    const mostRounds = silent.length === reports.size ? Infinity : ownFault ? silentRoundsAfterOwnFault : silentRounds
    for (const [vm, report] of reports) {
      if (report === undefined) {
        this.#missed(vm, reports.size === 1 ? silentRounds : mostRounds)
        continue
      }
      this.#silent.delete(vm)
      if (report.leaving) this.#remove(vm, 'stopping')
    }
    const all = new Map([...reports, [this.#self.id, own]])
    this.#applyReach(all)
    this.#planCoordination(all)
    for (const report of [own, ...reports.values()]) {
      for (const { vm, openMilliseconds } of report?.watchers ?? []) {
        // The stream of a VM that was removed may stay open for a while; only a later stream shows that the VM is back.
        if (now - openMilliseconds > (this.#removedAt.get(vm.id) ?? -Infinity)) this.#add(vm, 'watches')
      }
    }
  }

  #missed (vm: string, mostRounds: number): void {
    const rounds = (this.#silent.get(vm) ?? 0) + 1
    this.#silent.set(vm, rounds)
    if (rounds >= mostRounds) this.#remove(vm, 'no answer')
  }

  #add (vm: VmEntry, reason: string): void {
    const known = this.#vms.get(vm.id)
    if (known !== undefined && known.host === vm.host && known.port === vm.port && known.dataCentre === vm.dataCentre && known.weight === vm.weight && known.level === vm.level) return
    this.#vms.set(vm.id, vm)
    this.#silent.delete(vm.id)
    this.#removedAt.delete(vm.id)
    this.#sorted = undefined
    logger.info('VM added to the list', { peer: vm.id, dataCentre: vm.dataCentre, reason, vms: this.#vms.size })
  }

  #remove (vm: string, reason: string): void {
    if (vm === this.#self.id || !this.#vms.delete(vm)) return
    this.#silent.delete(vm)
    this.#cutFrom.delete(vm)
    this.#loads.delete(vm)
    for (const [endpoint, coordinator] of this.#coordinators) if (coordinator === vm) this.#coordinators.delete(endpoint)
    this.#removedAt.set(vm, this.#clock.now())
    this.#sorted = undefined
    logger.info('VM removed from the list', { peer: vm, reason, vms: this.#vms.size })
  }
}
