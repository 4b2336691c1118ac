/**
 * Tracks the long jobs that this entry VM has sent to endpoints of pools without keys. It does not know the jobs of other
 * entry VMs: asking them before each choice would cost more than two long jobs at one endpoint now and then.
 */
export class LongPlacement {
  readonly #jobs = new Map<string, number>()

  /** Adds a long job that is sent to the endpoint. */
  started (endpoint: string): void {
    this.#jobs.set(endpoint, (this.#jobs.get(endpoint) ?? 0) + 1)
  }

  /** Removes a long job that has ended. */
  ended (endpoint: string): void {
    const left = (this.#jobs.get(endpoint) ?? 0) - 1
    if (left > 0) this.#jobs.set(endpoint, left)
    else this.#jobs.delete(endpoint)
  }

  /** Returns the excluded endpoints and those with a long job. */
  avoid (excluded: ReadonlySet<string>): ReadonlySet<string> {
    return new Set([...excluded, ...this.#jobs.keys()])
  }
}
