import { Logger, type Clock, type LifeCycle } from '@briarsaddle/common'
import { bucketsToRelease, noVersion, planAssignment, type ControlState, type Moves } from '@briarsaddle/ownership'
import type { Coordinator } from '../coordinator/coordinator.js'
import type { EndpointSession } from '../coordinator/endpoint-session.js'
import type { LogFollower } from './log-follower.js'
import type { Membership } from './membership.js'
import type { MoveHistory } from './move-history.js'
import { poolsWithBuckets } from './pools.js'
import type { RecordWriter } from './record-writer.js'
import type { RuleDeadlines } from './rule-deadlines.js'
import type { LeaseExpiryWait } from './lease-expiry-wait.js'

const logger = new Logger('assignments')
/** A pool is first assigned when no endpoint has joined for this time, so that buckets do not move right after their first assignment. */
const firstAssignmentQuietMilliseconds = 1000
const balanceIntervalMilliseconds = 500
/** Fraction of the average number of buckets per endpoint below which an endpoint takes buckets from others. */
const fewBucketsShare = 0.9
/** Time for which an endpoint must be missing from the VM list before its record is removed. */
const removalMilliseconds = 10_000

/** Proposes bucket assignments for the endpoints that this VM coordinates, and releases the buckets that they no longer hold. */
export class BucketAssigner {
  readonly #follower: LogFollower
  readonly #membership: Membership
  readonly #coordinator: Coordinator
  readonly #writer: RecordWriter
  readonly #leaseExpiry: LeaseExpiryWait
  readonly #history: MoveHistory
  readonly #deadlines: RuleDeadlines
  readonly #clock: Clock
  readonly #lifeCycle: LifeCycle
  readonly #lastBalance = new Map<string, number>()
  readonly #lastJoin = new Map<string, { readonly members: string, readonly at: number }>()
  readonly #releasing = new Set<string>()

  constructor (options: {
    readonly follower: LogFollower
    readonly membership: Membership
    readonly coordinator: Coordinator
    readonly writer: RecordWriter
    readonly leaseExpiry: LeaseExpiryWait
    readonly history: MoveHistory
    readonly deadlines: RuleDeadlines
    readonly clock: Clock
    readonly lifeCycle: LifeCycle
  }) {
    this.#follower = options.follower
    this.#membership = options.membership
    this.#coordinator = options.coordinator
    this.#writer = options.writer
    this.#leaseExpiry = options.leaseExpiry
    this.#history = options.history
    this.#deadlines = options.deadlines
    this.#clock = options.clock
    this.#lifeCycle = options.lifeCycle
  }

  /** Reviews every endpoint of this VM once and proposes the records that are due. */
  review (): void {
    if (!this.#follower.caughtUp) return
    const withBuckets = poolsWithBuckets(this.#follower.rules)
    for (const session of this.#coordinator.sessions) {
      if (session.grants.state === 'closed') continue
      this.#recordLeaving(session)
      if (withBuckets.has(session.description.pool)) this.#reviewEndpoint(session)
      if (session.grants.state === 'lost') void this.#releaseLost(session)
      this.#removeMissing(session)
    }
  }

  /** Pools in which at least one bucket has no owner or is pending. */
  unassignedPools (): readonly string[] {
    const { state, rules } = this.#follower
    return [...poolsWithBuckets(rules)].filter(pool => {
      const buckets = state.pools.get(pool)?.buckets
      return buckets === undefined || buckets.some(bucket => bucket === undefined || bucket.pendingFrom !== undefined)
    })
  }

  /** Releases the buckets that the endpoint has acknowledged not to hold any more. */
  revoked (session: EndpointSession, buckets: readonly number[]): void {
    const leaving = new Set(bucketsToRelease(this.#follower.state, session.description.id).map(({ bucket }) => bucket))
    void this.#release(session.description.id, buckets.filter(bucket => leaving.has(bucket)))
  }

  #reviewEndpoint (session: EndpointSession): void {
    const { id, pool } = session.description
    const { state } = this.#follower
    if (this.#isUnavailable(session)) {
      if (owns(state, pool, id)) void this.#assign(pool, this.#receivers(pool, id), `endpoint ${id} ${session.grants.state === 'lost' ? 'lost' : 'leaving'}`)
      return
    }
    if (session.grants.state !== 'active' || !session.grants.ready) return
    if (!state.pools.has(pool)) return this.#assignFirst(pool, id)
    if (!this.#hasFewBuckets(pool, id) || this.#history.gaveRecently(id) || !this.#balanceIsDue(pool)) return
    void this.#assign(pool, [...this.#receivers(pool, id), id], 'balance', id)
  }

  /** True when the endpoint is lost, leaving or draining, so that its buckets must move to others. */
  #isUnavailable (session: EndpointSession): boolean {
    const { id } = session.description
    const listed = this.#membership.endpoints.find(endpoint => endpoint.id === id)
    const leaving = this.#follower.state.endpoints.get(id)?.leaving === true || listed?.state === 'leaving'
    return leaving || session.grants.state === 'lost' || session.grants.draining
  }

  /** Endpoints that may receive buckets: those that already own some, because they are known to work, or all usable ones when none does. */
  #receivers (pool: string, without: string): readonly string[] {
    const { state } = this.#follower
    const members = [...state.endpoints.values()].filter(({ description, leaving }) => description.pool === pool && !leaving && description.id !== without).map(({ description }) => description.id)
    const usable = members.filter(id => this.#coordinator.session(id)?.grants.state !== 'lost' && this.#membership.endpoints.every(listed => listed.id !== id || listed.state === 'live'))
    const owners = usable.filter(id => owns(state, pool, id))
    return owners.length > 0 ? owners : usable
  }

  #assignFirst (pool: string, id: string): void {
    const members = [...this.#follower.state.endpoints.values()].filter(({ description, leaving }) => description.pool === pool && !leaving).map(({ description }) => description.id).sort()
    const key = members.join(' ')
    const last = this.#lastJoin.get(pool)
    if (last?.members !== key) this.#lastJoin.set(pool, { members: key, at: this.#clock.now() })
    else if (members[0] === id && this.#clock.now() - last.at >= firstAssignmentQuietMilliseconds) void this.#assign(pool, members, 'first assignment')
  }

  /** Ignores small differences, so that moves of hot buckets are not reversed by moves for balance. */
  #hasFewBuckets (pool: string, id: string): boolean {
    const buckets = this.#follower.state.pools.get(pool)?.buckets ?? []
    const members = [...this.#follower.state.endpoints.values()].filter(({ description, leaving }) => description.pool === pool && !leaving).length
    return buckets.filter(bucket => bucket?.owner === id).length < fewBucketsShare * buckets.length / members
  }

  #balanceIsDue (pool: string): boolean {
    const now = this.#clock.now()
    if (now - (this.#lastBalance.get(pool) ?? -Infinity) < balanceIntervalMilliseconds) return false
    this.#lastBalance.set(pool, now)
    return true
  }

  async #assign (pool: string, endpoints: readonly string[], reason: string, receiver?: string): Promise<void> {
    const { state } = this.#follower
    const planned = planAssignment({ state, pool, endpoints })
    // A coordinator only assigns buckets to its own endpoint, because no other VM knows whether that endpoint is ready.
    const moves: Moves = receiver === undefined ? planned : planned.filter(({ to }) => to === receiver)
    if (moves.length === 0) return
    const base = state.pools.get(pool)?.version ?? noVersion
    const offset = await this.#writer.propose(`assignment ${pool}`, { kind: 'assignment', base, pool, moves }, this.#lifeCycle.signal)
    if (offset !== undefined) logger.info('assignment proposed', { pool, moves: moves.length, offset, reason })
  }

  /** Releases the buckets of a lost endpoint once no grant of them can be valid any more. */
  async #releaseLost (session: EndpointSession): Promise<void> {
    const { id, checks } = session.description
    if (this.#releasing.has(id)) return
    const leaving = bucketsToRelease(this.#follower.state, id)
    const coordinator = this.#follower.state.endpoints.get(id)?.coordinator
    if (leaving.length === 0 || coordinator === undefined) return
    this.#releasing.add(id)
    try {
      const offset = Math.max(coordinator.token, ...leaving.map(({ token }) => token))
      const othersUntil = await this.#leaseExpiry.expiry(id, offset, !this.#coordinator.isProvisional(id), this.#lifeCycle.signal)
      if (othersUntil === undefined) return
      const formerUntil = await this.#coordinator.formerLeasesEnd(id)
      if (formerUntil === undefined) return
      const ownUntil = Math.max(...leaving.map(({ bucket }) => session.grants.lastGrantEnd(bucket)))
      // An endpoint that does not verify tokens finishes the requests it has; the longest deadline of the pool bounds them.
      const extra = checks ? 0 : this.#deadlines.longest(session.description.pool)
      const wait = Math.max(othersUntil, formerUntil, ownUntil) + extra - this.#clock.now()
      if (wait > 0) await new Promise(resolve => setTimeout(resolve, wait))
      // If the endpoint has come back in the meantime, its acknowledgement releases the buckets instead.
      if (session.grants.state === 'lost') await this.#release(id, leaving.map(({ bucket }) => bucket))
    } finally {
      this.#releasing.delete(id)
    }
  }

  async #release (endpoint: string, buckets: readonly number[]): Promise<void> {
    const byAssignment = new Map<number, number[]>()
    const wanted = new Set(buckets)
    for (const { bucket, token } of bucketsToRelease(this.#follower.state, endpoint)) {
      if (wanted.has(bucket)) byAssignment.set(token, [...byAssignment.get(token) ?? [], bucket])
    }
    const pool = this.#follower.state.endpoints.get(endpoint)?.description.pool
    if (pool === undefined) return
    await Promise.all([...byAssignment].map(async ([assignment, released]) => {
      const offset = await this.#writer.propose(`release ${endpoint} ${assignment}`, { kind: 'released', pool, assignment, buckets: released }, this.#lifeCycle.signal)
      if (offset !== undefined) logger.info('buckets released', { endpoint, assignment, buckets: released.length, offset })
    }))
  }

  /** Records that an endpoint is leaving: entry VMs choose endpoints of pools without keys from the control state alone. */
  #recordLeaving (session: EndpointSession): void {
    const { id } = session.description
    const endpoint = this.#follower.state.endpoints.get(id)
    const listed = this.#membership.endpoints.find(other => other.id === id)
    if (endpoint === undefined || endpoint.leaving) return
    const author = listed?.state === 'leaving' ? 'VM list' : session.grants.draining ? 'endpoint' : undefined
    if (author === undefined) return
    void this.#writer.propose(`drain ${id}`, { kind: 'drain', endpoint: id, base: endpoint.version, author }, this.#lifeCycle.signal)
  }

  #removeMissing (session: EndpointSession): void {
    const { id, pool } = session.description
    if (this.#membership.missingFor(id) < removalMilliseconds) return
    const { state } = this.#follower
    const endpoint = state.endpoints.get(id)
    if (endpoint === undefined || owns(state, pool, id) || bucketsToRelease(state, id).length > 0) return
    void this.#writer.propose(`remove ${id}`, { kind: 'endpointRemoved', base: endpoint.version, endpoint: id }, this.#lifeCycle.signal)
  }
}

function owns (state: ControlState, pool: string, endpoint: string): boolean {
  return state.pools.get(pool)?.buckets.some(bucket => bucket?.owner === endpoint) === true
}
