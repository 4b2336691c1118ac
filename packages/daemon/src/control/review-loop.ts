import { processTicker, type Clock, type LifeCycle } from '@briarsaddle/common'

const quickMilliseconds = 50
/** Conditions that depend on time alone, such as an endpoint that is no longer listed, are seen with this delay. */
const slowMilliseconds = 250
/** Longer than the waits that follow a change, except those of 3 s and more, for which the slow pace is exact enough. */
const quickPeriodMilliseconds = 5000

/** Reviews often while something changes and seldom otherwise: on an idle VM each wake-up costs more than the review. */
export class ReviewLoop {
  readonly #clock: Clock
  readonly #review: () => void
  readonly #unsettled: () => boolean
  readonly #onError: (error: unknown) => void
  #quickUntil = -Infinity
  #endQuick: (() => void) | undefined
  #closed = false

  constructor (options: {
    readonly clock: Clock
    readonly review: () => void
    /** True while quick reviews are needed although no change is reported. */
    readonly unsettled: () => boolean
    readonly onError: (error: unknown) => void
  }) {
    this.#clock = options.clock
    this.#review = options.review
    this.#unsettled = options.unsettled
    this.#onError = options.onError
  }

  /** Starts at the quick pace. */
  start (lifeCycle: LifeCycle): void {
    lifeCycle.every('review', slowMilliseconds, () => {
      if (this.#unsettled()) this.changed()
      if (this.#endQuick === undefined) this.#run()
    }, this.#onError)
    lifeCycle.own('quick review', () => {
      this.#closed = true
      this.#endQuick?.()
    })
    this.changed()
  }

  /** Reviews at the quick pace from now on, until nothing has changed for a while. */
  changed (): void {
    this.#quickUntil = this.#clock.now() + quickPeriodMilliseconds
    if (this.#closed) return
    this.#endQuick ??= processTicker.every(quickMilliseconds, () => this.#runQuick())
  }

  /** Reviews at once, for changes that callers wait for. */
  reviewNow (): void {
    this.changed()
    if (!this.#closed) this.#run()
  }

  #runQuick (): void {
    this.#run()
    if (this.#clock.now() < this.#quickUntil) return
    this.#endQuick?.()
    this.#endQuick = undefined
  }

  #run (): void {
    try {
      this.#review()
    } catch (error) {
      this.#onError(error)
    }
  }
}
