import { describeError, Logger, type Clock, type LifeCycle } from '@briarsaddle/common'
import { noVersion } from '@briarsaddle/ownership'
import { planLongJobRelief, type EndpointLoad, type LongJobRelief, type ReliefBucket } from '@briarsaddle/scheduling'
import type { Coordinator } from '../coordinator/coordinator.js'
import type { EndpointSession } from '../coordinator/endpoint-session.js'
import type { EndpointLoads } from './endpoint-loads.js'
import type { LogFollower } from './log-follower.js'
import type { MoveHistory } from './move-history.js'
import { keyedPools } from './pools.js'
import type { RecordWriter } from './record-writer.js'

const logger = new Logger('relief')
/** Maximum time for which a long job waits for buckets to move away; a move takes about 0.3 s. */
const maximumHoldMilliseconds = 1000
/** Maximum fraction of its deadline for which a long job waits. */
const maximumHoldShare = 0.1
/** Load of the slots that long jobs leave free, from which buckets are moved away. */
const minimumReliefLoad = 0.5
/** Mean load of the sampled endpoints, including long jobs, from which a pool is at peak load. */
const peakLoad = 0.9
const reviewMilliseconds = 500
const maximumAttempts = 3

/** Moves buckets away from endpoints of this VM on which a long job is running or about to run. */
export class LongJobReliever {
  readonly #follower: LogFollower
  readonly #coordinator: Coordinator
  readonly #writer: RecordWriter
  readonly #loads: EndpointLoads
  readonly #history: MoveHistory
  readonly #clock: Clock
  readonly #lifeCycle: LifeCycle
  readonly #relieving = new Set<string>()
  readonly #reviewedAt = new Map<string, number>()

  constructor (options: {
    readonly follower: LogFollower
    readonly coordinator: Coordinator
    readonly writer: RecordWriter
    readonly loads: EndpointLoads
    readonly history: MoveHistory
    readonly clock: Clock
    readonly lifeCycle: LifeCycle
  }) {
    this.#follower = options.follower
    this.#coordinator = options.coordinator
    this.#writer = options.writer
    this.#loads = options.loads
    this.#history = options.history
    this.#clock = options.clock
    this.#lifeCycle = options.lifeCycle
  }

  /** Called before a long job is queued. The first long job of an endpoint waits until the buckets that should move have moved. */
  jobArrives (session: EndpointSession, deadlineMilliseconds: number): void {
    if (session.longWork.count !== 1 || !session.longWork.hasKnownDurations || !this.#needsRelief(session)) return
    const until = this.#clock.now() + Math.min(maximumHoldMilliseconds, maximumHoldShare * deadlineMilliseconds)
    session.queue.delayLongJobs(until)
    void this.#holdWhileRelieving(session, until)
  }

  /** Reviews endpoints with long jobs again, because more jobs may have been queued or may run longer than expected. */
  review (): void {
    const now = this.#clock.now()
    for (const session of this.#coordinator.sessions) {
      const { id } = session.description
      if (session.longWork.count === 0) {
        this.#reviewedAt.delete(id)
        continue
      }
      if (now - (this.#reviewedAt.get(id) ?? -Infinity) < reviewMilliseconds || !this.#needsRelief(session)) continue
      void this.#relieve(session)
    }
  }

  #needsRelief (session: EndpointSession): boolean {
    // Moving buckets of a pool without keys changes no load, because any endpoint may run its requests.
    if (!keyedPools(this.#follower.rules).has(session.description.pool)) return false
    const { state, draining } = session.grants
    if (state !== 'active' || draining || session.longWork.count === 0) return false
    const { shortSlots, slots } = this.#loads.loadOf(session)
    return shortSlots >= minimumReliefLoad * Math.max(0, slots - longSlots(session))
  }

  async #holdWhileRelieving (session: EndpointSession, until: number): Promise<void> {
    const moved = await this.#relieve(session)
    await this.#waitUntilReleased(session, moved, until)
    session.queue.delayLongJobs(-Infinity)
  }

  /** Proposes the moves that are worth their cost and returns their buckets. Never rejects. */
  async #relieve (session: EndpointSession): Promise<readonly number[]> {
    const { id, pool } = session.description
    if (this.#relieving.has(id)) return []
    this.#relieving.add(id)
    this.#reviewedAt.set(id, this.#clock.now())
    try {
      const others = await this.#loads.others(pool, id)
      for (let attempt = 0; attempt < maximumAttempts; attempt++) {
        const { moves, gainSeconds, costSeconds } = this.#plan(session, others)
        if (moves.length === 0) return []
        const base = this.#follower.state.pools.get(pool)?.version ?? noVersion
        const offset = await this.#writer.propose(`assignment ${pool}`, { kind: 'assignment', base, pool, moves: [...moves] }, this.#lifeCycle.signal)
        const moved = moves.map(({ bucket }) => bucket)
        if (offset === undefined) return []
        // Another assignment of the pool may have been appended first, so that this one was rejected.
        if (moved.every(bucket => this.#follower.state.pools.get(pool)?.buckets[bucket]?.token === offset)) {
          logger.info('moving buckets away from a long job', { endpoint: id, moves: moves.length, gainSeconds: Math.round(gainSeconds), costSeconds: Math.round(costSeconds), offset })
          return moved
        }
      }
    } catch (error) {
      logger.warning('moving buckets away from a long job failed', { endpoint: id, reason: describeError(error) })
    } finally {
      this.#relieving.delete(id)
    }
    return []
  }

  #plan (session: EndpointSession, others: readonly EndpointLoad[]): LongJobRelief {
    const source = this.#loads.loadOf(session)
    const held = longSlots(session)
    const pool = this.#follower.state.pools.get(session.description.pool)
    return planLongJobRelief({
      now: this.#clock.now(),
      source,
      others,
      buckets: this.#movableBuckets(session),
      longSlots: held,
      remainingMilliseconds: session.longWork.remaining(held),
      requestsPerSecond: session.load.requestsPerSecond,
      peak: isPeak([source, ...others]),
      movesUnderWay: pool?.buckets.filter(bucket => bucket?.pendingFrom !== undefined).length ?? 0
    })
  }

  /** Buckets that may move, each with a lower bound of its share of the work of the buckets that the endpoint holds. */
  #movableBuckets (session: EndpointSession): readonly ReliefBucket[] {
    const { id, pool } = session.description
    const states = this.#follower.state.pools.get(pool)?.buckets ?? []
    const held = (bucket: number): boolean => states[bucket]?.owner === id && states[bucket].pendingFrom === undefined
    const followed = session.load.hotBuckets.top(Infinity)
    // The statistics still include recent work of buckets that have moved away.
    const left = followed.filter(({ bucket }) => !held(bucket)).reduce((sum, { share }) => sum + share, 0)
    return followed.filter(({ bucket, share }) => share > 0 && held(bucket) && !session.longWork.has(bucket)).map(({ bucket, share }) => {
      const last = this.#history.lastMove(pool, bucket)
      return { bucket, share: share / (1 - left), movedAt: last?.at, movedFrom: last?.from }
    })
  }

  async #waitUntilReleased (session: EndpointSession, buckets: readonly number[], until: number): Promise<void> {
    const { pool, id } = session.description
    const pending = (): boolean => buckets.some(bucket => this.#follower.state.pools.get(pool)?.buckets[bucket]?.pendingFrom === id)
    while (pending()) {
      const left = until - this.#clock.now()
      if (left <= 0 || this.#lifeCycle.closed) return
      await this.#follower.waitForPosition(this.#follower.state.position + 1, left, this.#lifeCycle.signal)
    }
  }
}

/** Slots that long jobs occupy. At most all but one, because the queue reserves one slot for other requests. */
function longSlots ({ longWork, queue: { slots } }: EndpointSession): number {
  return Math.min(longWork.count, Math.max(1, slots - 1))
}

function isPeak (loads: readonly EndpointLoad[]): boolean {
  const busy = loads.reduce((sum, { shortSlots, longJobs, slots }) => sum + Math.min(slots, shortSlots + Math.min(longJobs, slots - 1)), 0)
  return busy >= peakLoad * loads.reduce((sum, { slots }) => sum + slots, 0)
}
