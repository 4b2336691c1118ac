import { processTicker, type Clock, type LifeCycle } from '@briarsaddle/common'

const quickMilliseconds = 50
/** Maximum delay until conditions that depend on time alone are noticed, such as an endpoint that has been missing from the VM list for long. */
const slowMilliseconds = 250
/**
 * Time for which the quick interval lasts after a change. Longer than the waits that follow a change, except those of
 * 3 s and more, for which the slow interval is precise enough.
 */
const quickPeriodMilliseconds = 5000

/** Runs a review at a short interval after changes and at a long interval otherwise: on an idle VM each wake-up costs more than the review. */
export class ReviewLoop {
  readonly #clock: Clock
  readonly #review: () => void
  readonly #unsettled: () => boolean
  readonly #onError: (error: unknown) => void
  #quickUntil = -Infinity
  #stopQuickReviews: (() => void) | undefined
  #closed = false

  constructor (options: {
    readonly clock: Clock
    readonly review: () => void
    /** True while the quick interval is needed although no change has been reported. */
    readonly unsettled: () => boolean
    readonly onError: (error: unknown) => void
  }) {
    this.#clock = options.clock
    this.#review = options.review
    this.#unsettled = options.unsettled
    this.#onError = options.onError
  }

  /** Starts the reviews at the quick interval. */
  start (lifeCycle: LifeCycle): void {
    lifeCycle.every('review', slowMilliseconds, () => {
      if (this.#unsettled()) this.changed()
      if (this.#stopQuickReviews === undefined) this.#run()
    }, this.#onError)
    lifeCycle.own('quick review', () => {
      this.#closed = true
      this.#stopQuickReviews?.()
    })
    this.changed()
  }

  /** Switches to the quick interval until nothing has changed for 5 s. */
  changed (): void {
    this.#quickUntil = this.#clock.now() + quickPeriodMilliseconds
    if (this.#closed) return
    this.#stopQuickReviews ??= processTicker.every(quickMilliseconds, () => this.#runQuickReview())
  }

  /** Reviews at once and switches to the quick interval, for changes that callers are waiting for. */
  reviewNow (): void {
    this.changed()
    if (!this.#closed) this.#run()
  }

  #runQuickReview (): void {
    this.#run()
    if (this.#clock.now() < this.#quickUntil) return
    this.#stopQuickReviews?.()
    this.#stopQuickReviews = undefined
  }

  #run (): void {
    try {
      this.#review()
    } catch (error) {
      this.#onError(error)
    }
  }
}
