import type { Clock, LifeCycle } from '@briarsaddle/common'
import { Logger, describeError } from '@briarsaddle/common'
import { noVersion, CoordinatorLease, WitnessRound, type LeaseOptions } from '@briarsaddle/ownership'
import { LeaseSource } from '../coordinator/lease-source.js'
import type { LogFollower } from './log-follower.js'
import type { WitnessPoll } from './witness-poll.js'

const logger = new Logger('rights')
const confirmIntervalMilliseconds = 100

/** A lease for one endpoint that witnesses confirmed. */
interface WitnessLease {
  /** Version of the endpoint that the witnesses confirmed. */
  readonly version: number
  readonly lease: CoordinatorLease
}

/** Extends the coordinator leases of this VM by log reads, and by witness rounds while the log cannot be read. */
export class LeaseKeeper extends LeaseSource {
  readonly #self: string
  readonly #follower: LogFollower
  readonly #poll: WitnessPoll
  readonly #clock: Clock
  readonly #leaseOptions: LeaseOptions
  readonly #endpoints: () => readonly string[]
  readonly #provisional: (endpoint: string) => boolean
  readonly #witnessLeases = new Map<string, WitnessLease>()
  readonly #logLease: CoordinatorLease

  constructor (options: {
    readonly self: string
    readonly follower: LogFollower
    readonly poll: WitnessPoll
    readonly clock: Clock
    readonly leaseOptions: LeaseOptions
    /** Endpoints for which this VM needs leases. */
    readonly endpoints: () => readonly string[]
    /** True for an endpoint that this VM coordinates without a record in the log. */
    readonly provisional: (endpoint: string) => boolean
  }) {
    super()
    this.#self = options.self
    this.#follower = options.follower
    this.#poll = options.poll
    this.#clock = options.clock
    this.#leaseOptions = options.leaseOptions
    this.#logLease = new CoordinatorLease(options.leaseOptions)
    this.#endpoints = options.endpoints
    this.#provisional = options.provisional
  }

  override leaseUntil (endpoint: string): number {
    const state = this.#follower.state.endpoints.get(endpoint)
    if (state === undefined) return -Infinity
    const provisional = this.#provisional(endpoint)
    if (state.coordinator.vm !== this.#self && !provisional) return -Infinity
    const witness = this.#witnessLeases.get(endpoint)
    const witnessUntil = witness?.version === state.version ? witness.lease.validUntil : -Infinity
    // The log has no record of a provisional coordinator, so a log read cannot extend its lease.
    return provisional ? witnessUntil : Math.max(this.#logLease.validUntil, witnessUntil)
  }

  /** Expiry of the lease that log reads extend, for the state dump. */
  get logLeaseUntil (): number { return this.#logLease.validUntil }

  /** Called after a read that began at `startedAt` reached the end of the log and its records were applied to the state. */
  readToEnd (startedAt: number): void {
    this.#logLease.extendFromLogRead(startedAt)
  }

  /** Starts asking the witnesses whenever log reads do not extend the leases in time, and for provisional coordination. */
  start (lifeCycle: LifeCycle): void {
    lifeCycle.every('witness questions', confirmIntervalMilliseconds, async () => await this.#confirm(), error => {
      logger.warning('witness round failed', { reason: describeError(error) })
    })
  }

  async #confirm (): Promise<void> {
    const startedAt = this.#clock.now()
    const logLeaseEnds = this.#logLease.validUntil - startedAt < this.#leaseOptions.leaseDuration / 2
    const endpoints = this.#endpoints().filter(endpoint => logLeaseEnds || this.#provisional(endpoint))
    const { state } = this.#follower
    if (endpoints.length === 0 || state.witnesses.version === noVersion) return
    const round = new WitnessRound(state.witnesses, startedAt)
    await this.#poll.ask(state, round.vms, endpoints, false, ({ vm, answer }) => {
      round.answer(vm, answer)
      for (const endpoint of endpoints) {
        if (round.outcome(endpoint) === 'majority') this.#extend(endpoint, state.endpoints.get(endpoint)?.version ?? noVersion, startedAt)
      }
      return endpoints.every(endpoint => round.outcome(endpoint) !== 'open')
    })
  }

  #extend (endpoint: string, version: number, startedAt: number): void {
    const known = this.#witnessLeases.get(endpoint)
    const lease = known?.version === version ? known.lease : new CoordinatorLease(this.#leaseOptions)
    lease.extendFromWitnesses(startedAt)
    this.#witnessLeases.set(endpoint, { version, lease })
  }
}
