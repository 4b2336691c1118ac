import type { Clock } from '@briarsaddle/common'
import { HotBuckets, type EndpointLoad } from '@briarsaddle/scheduling'

/** Window over which busy time and queue lengths are averaged, in milliseconds. */
export const loadWindowMilliseconds = 5000
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

  constructor (clock: Clock) {
    this.#clock = clock
    this.#windowStartedAt = clock.now()
    this.hotBuckets = new HotBuckets({ clock })
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
  sample (queued: number, slots: number): void {
    this.#queued += smoothing * (queued - this.#queued)
    const now = this.#clock.now()
    const elapsed = now - this.#windowStartedAt
    if (elapsed < loadWindowMilliseconds) return
    this.#busy = Math.min(1, this.#busyMilliseconds / (elapsed * slots))
    this.#requestsPerSecond = this.#requests * 1000 / elapsed
    this.#busyMilliseconds = 0
    this.#requests = 0
    this.#windowStartedAt = now
  }

  /** The load of the last complete window. */
  load (endpoint: string, slots: number, accepting: boolean): EndpointLoad {
    return { endpoint, slots, busy: this.#busy, queued: this.#queued, accepting }
  }
}
