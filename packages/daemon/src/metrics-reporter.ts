import type { LifeCycle } from '@briarsaddle/common'
import type { ControlPlane } from './control-plane.js'
import { keyedPools } from './control/pools.js'
import type { Metrics } from './metrics.js'

const reportMilliseconds = 5000

/** Sends the metrics that are taken at intervals: queue lengths, load imbalance, churn, unavailable time and service at peak demand. */
export class MetricsReporter {
  readonly #control: ControlPlane
  readonly #metrics: Metrics
  readonly #unavailableSince = new Map<string, number>()
  readonly #lastOwners = new Map<string, ReadonlyArray<string | undefined>>()

  constructor (control: ControlPlane, metrics: Metrics) {
    this.#control = control
    this.#metrics = metrics
  }

  /** Starts reporting. */
  start (lifeCycle: LifeCycle): void {
    lifeCycle.every('measures', reportMilliseconds, () => this.#report(), () => {})
  }

  #report (): void {
    this.#metrics.peakService()
    // Buckets of other pools only hold idempotency keys; their moves make no key unavailable.
    const keyed = keyedPools(this.#control.follower.rules)
    for (const [pool, { buckets }] of this.#control.follower.state.pools) {
      if (!keyed.has(pool)) continue
      const owners = buckets.map(bucket => bucket?.owner)
      const former = this.#lastOwners.get(pool)
      if (former !== undefined) this.#metrics.bucketsMoved(pool, owners.filter((owner, index) => owner !== former[index]).length, 'all')
      this.#lastOwners.set(pool, owners)
      this.#reportUnavailable(pool, buckets.some(bucket => bucket?.pendingFrom !== undefined))
    }
    for (const session of this.#control.coordinator.sessions) {
      this.#metrics.queued(session.description.pool, session.description.id, session.queue.queued)
    }
    for (const [pool, loads] of this.#loadsByPool()) {
      const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length
      if (mean > 0) this.#metrics.loadImbalance(pool, Math.max(...loads) / mean)
    }
  }

  #reportUnavailable (pool: string, unavailable: boolean): void {
    const now = this.#control.clock.now()
    const since = this.#unavailableSince.get(pool)
    if (unavailable) this.#unavailableSince.set(pool, since ?? now)
    else if (since !== undefined) {
      this.#metrics.unavailable(pool, now - since)
      this.#unavailableSince.delete(pool)
    }
  }

  #loadsByPool (): ReadonlyMap<string, readonly number[]> {
    const loads = new Map<string, number[]>()
    for (const session of this.#control.coordinator.sessions) {
      const { id, pool } = session.description
      loads.set(pool, [...loads.get(pool) ?? [], session.load.load(id, session.queue.slots, session.longWork.count, true).busy])
    }
    return loads
  }
}
