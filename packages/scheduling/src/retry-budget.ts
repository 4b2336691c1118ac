const maximumTokens = 10
const tokensPerSuccess = 0.1

/**
 * Token bucket that limits retries to a share of the successful requests, like gRPC's retry throttling. Retries are allowed
 * while the bucket is more than half full.
 */
export class RetryBudget {
  #tokens = maximumTokens

  /** True if a failed request may be retried. */
  get allowsRetry (): boolean {
    return this.#tokens > maximumTokens / 2
  }

  /** Tokens left, for the state dump. */
  get tokens (): number {
    return this.#tokens
  }

  /** Records an answered request. */
  succeeded (): void {
    this.#tokens = Math.min(maximumTokens, this.#tokens + tokensPerSuccess)
  }

  /** Records an attempt that failed with a retryable error. */
  failed (): void {
    this.#tokens = Math.max(0, this.#tokens - 1)
  }
}

/** Allows every retry, limited only by the deadline of the request; the baseline for measurements. */
export class UnlimitedRetries extends RetryBudget {
  override get allowsRetry (): boolean {
    return true
  }
}
