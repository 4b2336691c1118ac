import type { Clock } from '@briarsaddle/common'

// Jobs that may start at once after a pause, as the time in which the rate allows them.
const burstSeconds = 0.5
// Only an answer shows that a limit has been lifted, so a job starts now and then at any limit.
const minimumPerSecond = 0.25
const roundingTokens = 1e-6

/** Token bucket that limits how many jobs start in a second, and a pause. Without either, every job may start at once. */
export class StartRate {
  readonly #clock: Clock
  #perSecond: number | undefined
  #tokens = 0
  #refilledAt = 0
  #pausedUntil = -Infinity

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Jobs that may start in a second; undefined without a limit. */
  get perSecond (): number | undefined { return this.#perSecond }

  /** Sets the limit; undefined removes it. The bucket is empty when a limit begins and keeps its tokens when it changes. */
  set (perSecond: number | undefined): void {
    if (this.#perSecond === undefined) {
      this.#tokens = 0
      this.#refilledAt = this.#clock.now()
    } else {
      this.#refill(this.#perSecond)
    }
    this.#perSecond = perSecond === undefined ? undefined : Math.max(minimumPerSecond, perSecond)
  }

  /** Lets no job start for some time, in milliseconds; 0 ends the pause. */
  pause (milliseconds: number): void {
    this.#pausedUntil = this.#clock.now() + milliseconds
  }

  /** Time for which no job may start, in milliseconds. */
  get pauseMilliseconds (): number { return Math.max(0, this.#pausedUntil - this.#clock.now()) }

  /** Returns the time until `count` more jobs may have started, in milliseconds. */
  delayOf (count: number): number {
    if (this.#perSecond === undefined) return this.pauseMilliseconds
    this.#refill(this.#perSecond)
    const missing = count - this.#tokens
    return Math.max(this.pauseMilliseconds, missing <= roundingTokens ? 0 : 1_000 * missing / this.#perSecond)
  }

  /** Records that a job starts. */
  take (): void {
    if (this.#perSecond === undefined) return
    this.#refill(this.#perSecond)
    this.#tokens--
  }

  #refill (perSecond: number): void {
    const now = this.#clock.now()
    this.#tokens = Math.min(Math.max(1, burstSeconds * perSecond), this.#tokens + perSecond * (now - this.#refilledAt) / 1_000)
    this.#refilledAt = now
  }
}
