/**
 * Endpoints without keys at which long jobs of this entry VM run. It does not know of those of other entry VMs; two
 * long jobs at one endpoint do less harm than asking the others before each choice.
 */
export class LongPlacement {
  readonly #jobs = new Map<string, number>()

  /** A long job is sent to the endpoint. */
  started (endpoint: string): void {
    this.#jobs.set(endpoint, (this.#jobs.get(endpoint) ?? 0) + 1)
  }

  /** A long job has ended. */
  ended (endpoint: string): void {
    const left = (this.#jobs.get(endpoint) ?? 0) - 1
    if (left > 0) this.#jobs.set(endpoint, left)
    else this.#jobs.delete(endpoint)
  }

  /** The excluded endpoints and those with a long job. */
  avoid (excluded: ReadonlySet<string>): ReadonlySet<string> {
    return new Set([...excluded, ...this.#jobs.keys()])
  }
}
