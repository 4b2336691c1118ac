import { Logger, type Clock, type LifeCycle } from '@briarsaddle/common'
import { noVersion } from '@briarsaddle/ownership'
import { planBalanceMoves, type BucketLoad, type EndpointLoad } from '@briarsaddle/scheduling'
import type { Coordinator } from '../coordinator/coordinator.js'
import type { EndpointSession } from '../coordinator/endpoint-session.js'
import type { EndpointLoads } from './endpoint-loads.js'
import type { LogFollower } from './log-follower.js'
import type { MoveHistory } from './move-history.js'
import type { RecordWriter } from './record-writer.js'

const logger = new Logger('balancer')
const hotBucketsConsidered = 8
/** Load (fraction of busy slots plus queued requests per slot) from which hot buckets are moved away from an endpoint. */
const overloadThreshold = 0.75
/** Mean load of the sampled endpoints from which a pool is at peak load, when moves would only add to the load. */
const peakLoad = 0.9

/** Moves hot buckets away from overloaded endpoints that this VM coordinates. */
export class Balancer {
  readonly #follower: LogFollower
  readonly #coordinator: Coordinator
  readonly #writer: RecordWriter
  readonly #loads: EndpointLoads
  readonly #history: MoveHistory
  readonly #clock: Clock
  readonly #lifeCycle: LifeCycle

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

  /** Samples the load of every endpoint of this VM and moves hot buckets away from the overloaded ones. */
  async review (): Promise<void> {
    for (const session of this.#coordinator.sessions) {
      session.sampleLoad()
      const load = this.#loads.loadOf(session)
      if (session.grants.state === 'active' && this.#history.isSettled(session.description.id) && load.busy + load.queued / load.slots >= overloadThreshold) await this.#relieve(session, load)
    }
  }

  async #relieve (session: EndpointSession, own: EndpointLoad): Promise<void> {
    const { id, pool } = session.description
    const buckets = session.load.hotBuckets.top(hotBucketsConsidered).flatMap(hot => this.#bucketLoad(session, hot))
    if (buckets.length === 0) return
    const others = (await this.#loads.others(pool, id)).map(load => ({ ...load, accepting: load.accepting && this.#history.isSettled(load.endpoint) }))
    const loads = [own, ...others]
    const mean = loads.reduce((sum, { busy }) => sum + busy, 0) / loads.length
    const movesUnderWay = this.#follower.state.pools.get(pool)?.buckets.filter(bucket => bucket?.pendingFrom !== undefined).length ?? 0
    const moves = planBalanceMoves({ now: this.#clock.now(), endpoints: loads, buckets, peak: mean >= peakLoad, movesUnderWay })
    if (moves.length === 0) return
    const base = this.#follower.state.pools.get(pool)?.version ?? noVersion
    const offset = await this.#writer.propose(`assignment ${pool}`, { kind: 'assignment', base, pool, moves: moves.map(({ bucket, to }) => ({ bucket, to })) }, this.#lifeCycle.signal)
    for (const { bucket, from, to, gainSeconds, costSeconds } of moves) {
      logger.info('moving hot bucket', { pool, bucket, from, to, gainSeconds: Math.round(gainSeconds), costSeconds: Math.round(costSeconds), offset })
    }
  }

  #bucketLoad (session: EndpointSession, hot: { readonly bucket: number, readonly share: number, readonly since: number }): readonly BucketLoad[] {
    const { id, pool } = session.description
    const state = this.#follower.state.pools.get(pool)?.buckets[hot.bucket]
    if (state === undefined || state.owner !== id || state.pendingFrom !== undefined) return []
    // After a move, the bucket would be pending and its keys refused until the long job ends.
    if (session.running.hasLong(hot.bucket)) return []
    const last = this.#history.lastMove(pool, hot.bucket)
    return [{ bucket: hot.bucket, endpoint: id, share: hot.share, requestsPerSecond: session.load.requestsPerSecond * hot.share, hotSince: hot.since, movedAt: last?.at, movedFrom: last?.from }]
  }
}
