import { Logger, type Clock, type LifeCycle, type Random } from '@briarsaddle/common'
import { noVersion, type ReadRecord } from '@briarsaddle/ownership'
import { defaultBalanceSettings, planBalanceMoves, type BucketLoad, type EndpointLoad } from '@briarsaddle/scheduling'
import type { Coordinator } from '../coordinator/coordinator.js'
import type { EndpointSession } from '../coordinator/endpoint-session.js'
import { loadWindowMilliseconds } from '../coordinator/session-load.js'
import type { LogFollower } from './log-follower.js'
import type { RecordWriter } from './record-writer.js'

const logger = new Logger('balancer')
const hotBucketsConsidered = 8
/** Endpoints of the pool that are asked for their load, so that the cost does not grow with the pool. */
const askedEndpoints = 6
/** Load from which an endpoint looks for relief: busy share plus waiting requests per slot. */
const reliefLoad = 0.75
/** Mean load of the asked endpoints from which a pool is at a peak: a move would only add to the trouble. */
const peakLoad = 0.9

/** After a move the load averages of both endpoints are wrong until a window that began later is complete. */
const settleMilliseconds = 2 * loadWindowMilliseconds

/** Asks coordinators for the loads of endpoints. */
export abstract class LoadSource {
  abstract fetch (vm: string, endpoints: readonly string[]): Promise<readonly EndpointLoad[]>
}

/** Moves hot buckets away from overloaded endpoints of this VM. */
export class Balancer {
  readonly #self: string
  readonly #follower: LogFollower
  readonly #coordinator: Coordinator
  readonly #writer: RecordWriter
  readonly #loads: LoadSource
  readonly #clock: Clock
  readonly #random: Random
  readonly #lifeCycle: LifeCycle
  readonly #lastMoves = new Map<string, { readonly at: number, readonly from: string }>()
  /** When an endpoint last gained or lost a bucket. */
  readonly #changedAt = new Map<string, number>()

  constructor (options: {
    readonly self: string
    readonly follower: LogFollower
    readonly coordinator: Coordinator
    readonly writer: RecordWriter
    readonly loads: LoadSource
    readonly clock: Clock
    readonly random: Random
    readonly lifeCycle: LifeCycle
  }) {
    this.#self = options.self
    this.#follower = options.follower
    this.#coordinator = options.coordinator
    this.#writer = options.writer
    this.#loads = options.loads
    this.#clock = options.clock
    this.#random = options.random
    this.#lifeCycle = options.lifeCycle
  }

  /** Loads of the endpoints that this VM coordinates, for other VMs. */
  ownLoads (endpoints: readonly string[]): readonly EndpointLoad[] {
    return endpoints.flatMap(id => {
      const session = this.#coordinator.session(id)
      return session === undefined ? [] : [loadOf(session)]
    })
  }

  /** Remembers when buckets moved, so that they rest and do not go back. */
  recordsRead (read: readonly ReadRecord[]): void {
    const { state } = this.#follower
    for (const { record, voidReason } of read) {
      if (record.kind !== 'assignment' || voidReason !== undefined) continue
      for (const { bucket, to } of record.moves) {
        const from = state.pools.get(record.pool)?.buckets[bucket]?.pendingFrom
        this.#changedAt.set(to, this.#clock.now())
        if (from !== undefined) this.#changedAt.set(from, this.#clock.now())
        if (from !== undefined) this.#lastMoves.set(`${record.pool} ${bucket}`, { at: this.#clock.now(), from })
      }
    }
    const oldest = this.#clock.now() - defaultBalanceSettings.noReturnMilliseconds
    for (const [key, { at }] of this.#lastMoves) {
      if (at > oldest) break
      this.#lastMoves.delete(key)
    }
  }

  /** Looks for relief for each overloaded endpoint of this VM. */
  async review (): Promise<void> {
    for (const session of this.#coordinator.sessions) {
      session.sampleLoad()
      const load = loadOf(session)
      if (session.grants.state === 'active' && this.#isSettled(session.description.id) && load.busy + load.queued / load.slots >= reliefLoad) await this.#relieve(session, load)
    }
  }

  async #relieve (session: EndpointSession, own: EndpointLoad): Promise<void> {
    const { id, pool } = session.description
    const buckets = session.load.hotBuckets.top(hotBucketsConsidered).flatMap(hot => this.#bucketLoad(session, hot))
    if (buckets.length === 0) return
    const others = await this.#otherLoads(pool, id)
    const loads = [own, ...others]
    const mean = loads.reduce((sum, { busy }) => sum + busy, 0) / loads.length
    const movesUnderWay = this.#follower.state.pools.get(pool)?.buckets.filter(bucket => bucket?.pendingFrom !== undefined).length ?? 0
    const moves = planBalanceMoves({ now: this.#clock.now(), endpoints: loads, buckets, crest: mean >= peakLoad, movesUnderWay })
    if (moves.length === 0) return
    const base = this.#follower.state.pools.get(pool)?.version ?? noVersion
    const offset = await this.#writer.propose(`assignment ${pool}`, { kind: 'assignment', base, pool, moves: moves.map(({ bucket, to }) => ({ bucket, to })) }, this.#lifeCycle.signal)
    for (const { bucket, from, to, gainSeconds, costSeconds } of moves) {
      logger.info('hot bucket moves', { pool, bucket, from, to, gainSeconds: Math.round(gainSeconds), costSeconds: Math.round(costSeconds), offset })
    }
  }

  #bucketLoad (session: EndpointSession, hot: { readonly bucket: number, readonly share: number, readonly since: number }): readonly BucketLoad[] {
    const { id, pool } = session.description
    const state = this.#follower.state.pools.get(pool)?.buckets[hot.bucket]
    if (state === undefined || state.owner !== id || state.pendingFrom !== undefined) return []
    // The bucket would be pending, and its keys refused, until the long job ends.
    if (session.running.hasLong(hot.bucket)) return []
    const last = this.#lastMoves.get(`${pool} ${hot.bucket}`)
    return [{ bucket: hot.bucket, endpoint: id, share: hot.share, requestsPerSecond: session.load.requestsPerSecond * hot.share, hotSince: hot.since, movedAt: last?.at, movedFrom: last?.from }]
  }

  async #otherLoads (pool: string, without: string): Promise<readonly EndpointLoad[]> {
    const candidates = [...this.#follower.state.endpoints.values()].filter(({ description, leaving }) => description.pool === pool && description.id !== without && !leaving)
    const byVm = new Map<string, string[]>()
    for (let count = 0; count < askedEndpoints && candidates.length > 0; count++) {
      const [chosen] = candidates.splice(this.#random.integer(0, candidates.length - 1), 1)
      if (chosen !== undefined) byVm.set(chosen.coordinator.vm, [...byVm.get(chosen.coordinator.vm) ?? [], chosen.description.id])
    }
    const answers = await Promise.allSettled([...byVm].map(async ([vm, ids]) => vm === this.#self ? this.ownLoads(ids) : await this.#loads.fetch(vm, ids)))
    const loads = answers.flatMap(answer => answer.status === 'fulfilled' ? answer.value : [])
    return loads.map(load => ({ ...load, accepting: load.accepting && this.#isSettled(load.endpoint) }))
  }

  #isSettled (endpoint: string): boolean {
    return this.#clock.now() - (this.#changedAt.get(endpoint) ?? -Infinity) >= settleMilliseconds
  }
}

function loadOf (session: EndpointSession): EndpointLoad {
  const accepting = session.grants.state === 'active' && session.grants.ready && !session.grants.draining
  return session.load.load(session.description.id, session.queue.slots, accepting)
}
