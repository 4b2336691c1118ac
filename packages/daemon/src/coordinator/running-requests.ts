/** Counts the requests that an endpoint is running, by bucket. */
export class RunningRequests {
  readonly #all = new Map<number, number>()
  readonly #long = new Map<number, number>()

  /** Number of running requests of all buckets. */
  get total (): number {
    let sum = 0
    for (const count of this.#all.values()) sum += count
    return sum
  }

  /** True while a long request runs for any bucket. */
  get anyLong (): boolean {
    return this.#long.size > 0
  }

  /** True while a request runs for the bucket. */
  has (bucket: number): boolean {
    return this.#all.has(bucket)
  }

  /** True while a long request runs for the bucket. A move of the bucket would stay pending until that request has ended. */
  hasLong (bucket: number): boolean {
    return this.#long.has(bucket)
  }

  /** Adds a request that starts. */
  start (bucket: number, long: boolean): void {
    add(this.#all, bucket, 1)
    if (long) add(this.#long, bucket, 1)
  }

  /** Removes a request that has ended. */
  end (bucket: number, long: boolean): void {
    add(this.#all, bucket, -1)
    if (long) add(this.#long, bucket, -1)
  }
}

function add (counts: Map<number, number>, bucket: number, change: number): void {
  const count = (counts.get(bucket) ?? 0) + change
  if (count === 0) counts.delete(bucket)
  else counts.set(bucket, count)
}
