const maximumTokens = 10
const tokensPerSuccess = 0.1

/** Bounds retries to a share of the successes, as gRPC's retry throttling does. */
export class RetryBudget {
  #tokens = maximumTokens

  /** Whether a failed request may be sent again. */
  get allowsRetry (): boolean {
    return this.#tokens > maximumTokens / 2
  }

  get tokens (): number {
    return this.#tokens
  }

  /** Records a request that was answered. */
  succeeded (): void {
    this.#tokens = Math.min(maximumTokens, this.#tokens + tokensPerSuccess)
  }

  /** Records an attempt that failed in a way that could be retried. */
  failed (): void {
    this.#tokens = Math.max(0, this.#tokens - 1)
  }
}

/** Allows every retry within the deadline; the baseline for measurements. */
export class UnlimitedRetries extends RetryBudget {
  override get allowsRetry (): boolean {
    return true
  }
}
