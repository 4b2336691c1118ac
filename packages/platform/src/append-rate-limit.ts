import type { Clock } from '@briarsaddle/common'

/** Settings of an append rate limit. */
export interface AppendRateLimitOptions {
  /** Sustained rate in records per second. */
  readonly recordsPerSecond: number
  /** Capacity of the token bucket: records that may be appended at once after an idle time. */
  readonly burst: number
}

/** Default append rate limit of one VM. The log service accepts several hundred records per second from all VMs together. */
export const defaultAppendRateLimit: AppendRateLimitOptions = { recordsPerSecond: 50, burst: 100 }

/** Token bucket that limits the appends of one VM. Clients of several streams may share an instance. */
export class AppendRateLimit {
  readonly #clock: Clock
  readonly #options: AppendRateLimitOptions
  #tokens: number
  #updatedAt: number

  constructor (clock: Clock, options: AppendRateLimitOptions = defaultAppendRateLimit) {
    this.#clock = clock
    this.#options = options
    this.#tokens = options.burst
    this.#updatedAt = clock.now()
  }

  /**
   * Reserves one append and returns the milliseconds to wait before it.
   * Returns undefined, without a reservation, when the wait would exceed `maximumWaitMilliseconds`.
   */
  reserve (maximumWaitMilliseconds: number): number | undefined {
    const now = this.#clock.now()
    const { recordsPerSecond, burst } = this.#options
    this.#tokens = Math.min(burst, this.#tokens + (now - this.#updatedAt) * recordsPerSecond / 1000)
    this.#updatedAt = now
    const wait = Math.max(0, (1 - this.#tokens) * 1000 / recordsPerSecond)
    if (wait > maximumWaitMilliseconds) return undefined
    this.#tokens -= 1
    return wait
  }
}
