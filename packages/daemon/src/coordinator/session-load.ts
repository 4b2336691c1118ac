import type { Clock } from '@briarsaddle/common'
import { HotBuckets, type EndpointLoad } from '@briarsaddle/scheduling'

/** Window in milliseconds over which the busy share and the request rate are averaged. */
export const loadWindowMilliseconds = 5000
/** Half-life of past observations in the decaying means of short requests and of owned buckets. */
const halfLifeMilliseconds = 5000
/** Weight of the newest sample in the mean queue length. */
const smoothing = 0.3

/** Recent load of one endpoint, measured by its coordinator. The load that the endpoint reports is not used, because it may be false. */
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

  /** Requests per second that ended in the last complete window. */
  get requestsPerSecond (): number { return this.#requestsPerSecond }

  /** Records a request that has ended. Long jobs do not count for hot buckets, so that a single one does not make its bucket hot. */
  recordRequest (bucket: number, milliseconds: number, long: boolean): void {
    this.#busyMilliseconds += milliseconds
    this.#requests += 1
    if (bucket >= 0 && !long) this.hotBuckets.record(bucket, milliseconds)
  }

  /** Samples the queue length and the number of owned buckets, and closes the window once it has elapsed. */
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

  /** Load in the last complete window. The endpoint is reported as accepting buckets only after its first complete window. */
  load (endpoint: string, slots: number, longJobs: number, accepting: boolean): EndpointLoad {
    return { endpoint, slots, busy: this.#busy, queued: this.#queued, shortSlots: this.#shortSlots(), longJobs, accepting: accepting && this.#windows > 0 }
  }

  /** Slots busy with short requests, scaled to the buckets that the endpoint owns now: after a move, the decaying mean alone is seconds out of date. */
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
