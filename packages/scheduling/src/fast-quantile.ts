// Share of the recent times that were shorter than the estimate.
const share = 0.05
const initialSamples = 16
const relativeStep = 0.1
// Without this limit, an old estimate would exclude the jobs that could correct it.
const staleAfterMilliseconds = 5_000

/** Estimates the time that all but the fastest twentieth of recent jobs took, by stochastic approximation. */
export class FastQuantile {
  #estimate = Infinity
  #samples = 0
  #recordedAt = -Infinity

  /** Records how long a job took, in milliseconds. */
  record (milliseconds: number, now: number): void {
    this.#recordedAt = now
    if (this.#samples++ < initialSamples) this.#estimate = Math.min(this.#estimate, milliseconds)
    else this.#estimate *= 1 + relativeStep * (milliseconds < this.#estimate ? share - 1 : share)
  }

  /** Returns the estimate in milliseconds, or 0 without enough recent jobs. */
  estimate (now: number): number {
    return this.#samples < initialSamples || now - this.#recordedAt > staleAfterMilliseconds ? 0 : this.#estimate
  }
}
