import type { Clock } from '@briarsaddle/common'
import { HotBuckets, type EndpointLoad } from '@briarsaddle/scheduling'

/** Window over which busy time and queue lengths are averaged, in milliseconds. */
export const loadWindowMilliseconds = 5000
/** Time in which work loses half its weight in the mean of short work. */
const halfLifeMilliseconds = 5000
const smoothing = 0.3

/** Recent load of one endpoint as its coordinator sees it. The endpoint's own report is not used, since it may lie. */
export class SessionLoad {
  readonly hotBuckets: HotBuckets
  readonly #clock: Clock
  #busyMilliseconds = 0
  #windowStartedAt: number
  #busy = 0
  #queued = 0
  #requestsPerSecond = 0
  #requests = 0
  #ownedMean: number | undefined
  #owned = 0
  #sampledAt: number
  #windows = 0

  constructor (clock: Clock) {
    this.#clock = clock
    this.#windowStartedAt = clock.now()
    this.#sampledAt = clock.now()
    this.hotBuckets = new HotBuckets({ clock, halfLifeMilliseconds })
  }

  /** Requests that ended per second, over the last window. */
  get requestsPerSecond (): number { return this.#requestsPerSecond }

  /** Records a request that ended. One long job does not make its bucket hot. */
  workDone (bucket: number, milliseconds: number, long: boolean): void {
    this.#busyMilliseconds += milliseconds
    this.#requests += 1
    if (bucket >= 0 && !long) this.hotBuckets.record(bucket, milliseconds)
  }

  /** Samples the queue, and closes the window when it is over. */
  sample (queued: number, slots: number, ownedBuckets: number): void {
    this.#queued += smoothing * (queued - this.#queued)
    const now = this.#clock.now()
    this.#sampleOwned(ownedBuckets, now)
    const elapsed = now - this.#windowStartedAt
    if (elapsed < loadWindowMilliseconds) return
    this.#busy = Math.min(1, this.#busyMilliseconds / (elapsed * slots))
    this.#requestsPerSecond = this.#requests * 1000 / elapsed
    this.#busyMilliseconds = 0
    this.#requests = 0
    this.#windowStartedAt = now
    this.#windows++
  }

  /** The load of the last complete window. An endpoint accepts no bucket before its load is known. */
  load (endpoint: string, slots: number, longJobs: number, accepting: boolean): EndpointLoad {
    return { endpoint, slots, busy: this.#busy, queued: this.#queued, shortSlots: this.#shortSlots(), longJobs, accepting: accepting && this.#windows > 0 }
  }

  /** Recent short work, scaled to the buckets that the endpoint owns now: after a move the mean alone lags by seconds. */
  #shortSlots (): number {
    const scale = this.#ownedMean === undefined || this.#ownedMean === 0 ? 1 : this.#owned / this.#ownedMean
    return this.hotBuckets.busySlots() * scale
  }

  #sampleOwned (ownedBuckets: number, now: number): void {
    const kept = 2 ** (-(now - this.#sampledAt) / halfLifeMilliseconds)
    this.#ownedMean = ownedBuckets + kept * ((this.#ownedMean ?? ownedBuckets) - ownedBuckets)
    this.#owned = ownedBuckets
    this.#sampledAt = now
  }
}
