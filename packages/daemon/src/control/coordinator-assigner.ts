import { delay, Logger, type Clock } from '@briarsaddle/common'
import { noVersion, type EndpointDescription, type EndpointState } from '@briarsaddle/ownership'
import type { ListedVm } from '@briarsaddle/platform'
import type { LogFollower } from './log-follower.js'
import type { Membership } from './membership.js'
import type { RecordWriter } from './record-writer.js'

const logger = new Logger('coordination')
/** Time for which a coordinator must be missing from the VM list before a VM that does not monitor it replaces it. */
const missingMilliseconds = 3000
/** Time after which any VM may become the coordinator of an endpoint that the preferred VM has not claimed. */
const unclaimedMilliseconds = 2000
/** Time before a new endpoint is claimed, so that VMs that start together share the endpoints. */
const claimDelayMilliseconds = 400
/** Minimum interval between two handovers for balance. */
const rebalanceMilliseconds = 1000
/** Minimum time between a change of an endpoint's coordinator and a handover for balance, because each change interrupts its keys. */
const minimumTenureMilliseconds = 5000
const handOverRetryMilliseconds = 50

/** Starts provisional coordination of an endpoint, that is without a record in the log, and tells whether it is active. */
export abstract class ProvisionalCoordination {
  abstract isProvisional (endpoint: string): boolean
  abstract beginProvisional (endpoint: EndpointState): void
}

/** Decides which VM coordinates each endpoint and proposes the `coordinator` records. */
export class CoordinatorAssigner {
  readonly #self: string
  readonly #follower: LogFollower
  readonly #membership: Membership
  readonly #writer: RecordWriter
  readonly #clock: Clock
  readonly #watcherStepMilliseconds: number
  readonly #rightMilliseconds: number
  readonly #provisional: ProvisionalCoordination
  readonly #unclaimedSince = new Map<string, number>()
  readonly #startPosition: () => number | undefined
  /** Time at which this VM was first seen as the coordinator of each endpoint. */
  readonly #ownSince = new Map<string, number>()
  #lastRebalance = -Infinity

  constructor (options: {
    readonly self: string
    readonly follower: LogFollower
    readonly membership: Membership
    readonly writer: RecordWriter
    readonly clock: Clock
    readonly watcherStepMilliseconds: number
    readonly rightMilliseconds: number
    readonly provisional: ProvisionalCoordination
    /** Position at which this process first reached the end of the log; undefined before that. */
    readonly startPosition: () => number | undefined
  }) {
    this.#self = options.self
    this.#follower = options.follower
    this.#membership = options.membership
    this.#writer = options.writer
    this.#clock = options.clock
    this.#watcherStepMilliseconds = options.watcherStepMilliseconds
    this.#rightMilliseconds = options.rightMilliseconds
    this.#provisional = options.provisional
    this.#startPosition = options.startPosition
  }

  /** Reviews every endpoint once and proposes the coordinator changes that are due. */
  review (): void {
    if (!this.#membership.known || !this.#follower.started) return
    if (this.#logIsDown()) return this.#replaceProvisionally()
    if (!this.#follower.caughtUp) return
    for (const listed of this.#membership.endpoints) this.#claimNewEndpoint(listed)
    for (const endpoint of this.#follower.state.endpoints.values()) this.#reviewEndpoint(endpoint)
    this.#rebalance(this.#transferable())
  }

  /** Hands every endpoint of this VM over to another VM. Resolves when no endpoint is left or the signal aborts. */
  async handOver (signal: AbortSignal): Promise<void> {
    // Another VM may assign an endpoint to this one before it learns that this one is stopping, so one round may not be enough.
    while (!signal.aborted) {
      const own = this.#ownEndpoints()
      if (own.length === 0) return
      const counts = this.#counts()
      await Promise.all(own.map(async endpoint => await this.#handOverEndpoint(endpoint, counts, signal)))
      await delay(handOverRetryMilliseconds, signal)
    }
  }

  async #handOverEndpoint ({ description, coordinator }: EndpointState, counts: Map<string, number>, signal: AbortSignal): Promise<void> {
    const { standby } = coordinator
    // The standby is the best successor because it has a copy of the journal.
    const preferred = standby !== undefined && await this.#membership.acceptsNewWork(standby) ? standby : undefined
    const vm = preferred ?? this.#membership.ring.preferredCoordinator(description, counts)?.id
    if (vm === undefined || vm === this.#self || !await this.#membership.acceptsNewWork(vm)) return
    counts.set(vm, (counts.get(vm) ?? 0) + 1)
    await this.#propose(description, coordinator.token, vm, 'hand over', signal)
  }

  #ownEndpoints (): readonly EndpointState[] {
    return [...this.#follower.state.endpoints.values()].filter(({ coordinator }) => coordinator.vm === this.#self)
  }

  /** True when the last log read is older than the duration of a lease. */
  #logIsDown (): boolean {
    return this.#follower.silentMilliseconds > this.#rightMilliseconds
  }

  #claimNewEndpoint (listed: ListedVm): void {
    if (listed.state !== 'live' || this.#follower.state.endpoints.has(listed.id)) return
    const since = this.#unclaimedSince.get(listed.id) ?? this.#clock.now()
    this.#unclaimedSince.set(listed.id, since)
    const description = describeEndpoint(listed)
    if (description === undefined) return
    const preferred = this.#membership.ring.preferredCoordinator(description, this.#counts())?.id === this.#self
    const waited = this.#clock.now() - since
    if (waited > (preferred ? claimDelayMilliseconds : unclaimedMilliseconds)) void this.#propose(description, noVersion, this.#self, 'new endpoint')
  }

  #reviewEndpoint (endpoint: EndpointState): void {
    const { description, coordinator } = endpoint
    this.#unclaimedSince.delete(description.id)
    if (this.#provisional.isProvisional(description.id)) {
      // The log is available again: the record announces the change and makes the previous coordinator close its session.
      void this.#propose(description, coordinator.token, this.#self, 'provisional coordination')
      return
    }
    if (coordinator.vm !== this.#self) {
      if (this.#mayReplace(coordinator.vm, description)) void this.#propose(description, coordinator.token, this.#self, `coordinator ${coordinator.vm} lost`)
      return
    }
    const start = this.#startPosition()
    // A record from before the start of this process names an earlier process with the same id.
    if (start !== undefined && coordinator.token <= start) {
      void this.#propose(description, coordinator.token, this.#self, 'process restarted')
      return
    }
    if (this.#standbyIsLost(coordinator.standby)) {
      void this.#propose(description, coordinator.token, this.#self, 'standby lost')
      return
    }
    const listed = this.#membership.endpoints.find(({ id }) => id === description.id)
    const current = listed === undefined ? undefined : describeEndpoint(listed)
    if (current !== undefined && JSON.stringify(current) !== JSON.stringify(description) && current.pool === description.pool) {
      void this.#propose(current, coordinator.token, this.#self, 'address changed')
    }
  }

  /**
   * Endpoints that may be handed over for balance: those that this VM has coordinated long enough and that verify fencing
   * tokens. After a handover, any other endpoint would serve nothing until the longest deadline of its pool has passed.
   */
  #transferable (): readonly EndpointState[] {
    const now = this.#clock.now()
    const own = this.#ownEndpoints()
    for (const id of this.#ownSince.keys()) if (!own.some(({ description }) => description.id === id)) this.#ownSince.delete(id)
    for (const { description } of own) if (!this.#ownSince.has(description.id)) this.#ownSince.set(description.id, now)
    return own.filter(({ description }) => description.checks && now - (this.#ownSince.get(description.id) ?? now) >= minimumTenureMilliseconds)
  }

  /** Hands one endpoint over to the VM that coordinates the fewest when this VM coordinates more than one above its share. */
  #rebalance (settled: readonly EndpointState[]): void {
    const counts = this.#counts()
    const usable = this.#membership.vms.filter(({ id }) => !this.#membership.suspected.has(id))
    const total = this.#follower.state.endpoints.size
    const share = Math.ceil(total / usable.length)
    const now = this.#clock.now()
    if ((counts.get(this.#self) ?? 0) <= share + 1 || now - this.#lastRebalance < rebalanceMilliseconds) return
    this.#lastRebalance = now
    const count = (id: string): number => counts.get(id) ?? 0
    const target = usable.reduce((least, vm) => count(vm.id) < count(least.id) ? vm : least)
    if (count(target.id) >= share) return
    const chosen = settled.find(({ description }) => description.dataCentre !== target.dataCentre) ?? settled[0]
    if (chosen !== undefined) void this.#handOverForBalance(chosen, target.id)
  }

  async #handOverForBalance ({ description, coordinator }: EndpointState, vm: string): Promise<void> {
    if (await this.#membership.acceptsNewWork(vm)) await this.#propose(description, coordinator.token, vm, 'balance')
  }

  #mayReplace (vm: string, endpoint: EndpointDescription): boolean {
    const suspectedFor = this.#membership.suspectedFor(vm)
    if (suspectedFor !== undefined) return suspectedFor >= this.#watcherRank(vm) * this.#watcherStepMilliseconds
    if (this.#membership.missingFor(vm) < missingMilliseconds) return false
    const preferred = this.#membership.ring.preferredCoordinator(endpoint, this.#counts())?.id === this.#self
    return preferred || this.#membership.missingFor(vm) > missingMilliseconds + unclaimedMilliseconds
  }

  #watcherRank (vm: string): number {
    const rank = this.#membership.ring.rankedWatchers(vm).findIndex(({ id }) => id === this.#self)
    return rank < 0 ? this.#membership.ring.rankedWatchers(vm).length : rank
  }

  #standbyIsLost (standby: string | undefined): boolean {
    if (standby === undefined) return this.#membership.vms.length > 1
    return this.#membership.suspected.has(standby) || !this.#membership.vms.some(vm => vm.id === standby)
  }

  /** Starts provisional coordination of endpoints whose standby is this VM. Only the standby does this: entry VMs try it next, and it has a copy of the journal. */
  #replaceProvisionally (): void {
    for (const endpoint of this.#follower.state.endpoints.values()) {
      const { description, coordinator } = endpoint
      if (coordinator.standby !== this.#self || !description.checks || this.#provisional.isProvisional(description.id)) continue
      if (this.#membership.suspectedFor(coordinator.vm) === undefined) continue
      logger.warning('log is down and the coordinator is lost: coordinating provisionally', { endpoint: description.id, lost: coordinator.vm })
      this.#provisional.beginProvisional(endpoint)
    }
  }

  async #propose (endpoint: EndpointDescription, base: number, vm: string, reason: string, signal?: AbortSignal): Promise<void> {
    const standby = this.#membership.ring.preferredStandby(vm)?.id
    const offset = await this.#writer.propose(`coordinator ${endpoint.id}`, { kind: 'coordinator', base, endpoint, vm, ...(standby === undefined ? {} : { standby }) }, signal)
    if (offset !== undefined) logger.info('coordinator proposed', { endpoint: endpoint.id, vm, standby, offset, reason })
  }

  #counts (): Map<string, number> {
    const counts = new Map<string, number>()
    for (const { coordinator } of this.#follower.state.endpoints.values()) counts.set(coordinator.vm, (counts.get(coordinator.vm) ?? 0) + 1)
    return counts
  }
}

function describeEndpoint (listed: ListedVm): EndpointDescription | undefined {
  const { id, pool, dataCentre, host, port, checks } = listed
  return pool === undefined ? undefined : { id, pool, dataCentre, host, port, checks: checks ?? false }
}
