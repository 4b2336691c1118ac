import type { Clock } from '@briarsaddle/common'

/** Options of `HotBuckets`. */
export interface HotBucketsOptions {
  readonly clock: Clock
  /** Number of buckets that are tracked; memory use is proportional to it. */
  readonly capacity?: number
  /** Time in which recorded work loses half of its weight. */
  readonly halfLifeMilliseconds?: number
}

/** A bucket with a large share of the recent work. */
export interface HotBucket {
  readonly bucket: number
  /** Recent work, with exponential decay; a lower bound. */
  readonly milliseconds: number
  /** Share of all recent work, from 0 to 1; a lower bound. */
  readonly share: number
  /** When the sketch began to track the bucket, in clock milliseconds. */
  readonly since: number
}

interface Counter {
  weight: number
  /** Weight inherited from the bucket that this one replaced; the maximum error of `weight`. */
  error: number
  since: number
}

// Instead of scaling old work down, new work gets weights that grow with time. Above this scale all weights are rescaled.
const maximumScale = 2 ** 40

/** Space-saving sketch (Metwally et al.) of the work per bucket, with exponential decay. */
export class HotBuckets {
  readonly #clock: Clock
  readonly #capacity: number
  readonly #halfLife: number
  readonly #counters = new Map<number, Counter>()
  #total = 0
  #origin: number

  constructor ({ clock, capacity = 64, halfLifeMilliseconds = 5_000 }: HotBucketsOptions) {
    this.#clock = clock
    this.#capacity = capacity
    this.#halfLife = halfLifeMilliseconds
    this.#origin = clock.now()
  }

  /** Records work done for a bucket. */
  record (bucket: number, milliseconds: number): void {
    const now = this.#clock.now()
    const weight = milliseconds * this.#scale(now)
    this.#total += weight
    const counter = this.#counters.get(bucket)
    if (counter !== undefined) counter.weight += weight
    else if (this.#counters.size < this.#capacity) this.#counters.set(bucket, { weight, error: 0, since: now })
    else this.#replaceSmallest(bucket, weight, now)
  }

  /** Returns the buckets with the most recent work, the hottest first. */
  top (count: number): readonly HotBucket[] {
    const scale = this.#scale(this.#clock.now())
    return [...this.#counters]
      .map(([bucket, { weight, error, since }]) => ({ bucket, milliseconds: (weight - error) / scale, share: this.#share(weight - error), since }))
      .sort((one, other) => other.milliseconds - one.milliseconds)
      .slice(0, count)
  }

  /** Returns a lower bound of the bucket's share of all recent work, from 0 to 1. */
  share (bucket: number): number {
    const counter = this.#counters.get(bucket)
    return counter === undefined ? 0 : this.#share(counter.weight - counter.error)
  }

  /** Returns the recent work of all buckets per unit of time, which is the mean number of busy slots. */
  busySlots (): number {
    return this.#total / this.#scale(this.#clock.now()) * Math.LN2 / this.#halfLife
  }

  #share (weight: number): number {
    return this.#total > 0 ? weight / this.#total : 0
  }

  #replaceSmallest (bucket: number, weight: number, now: number): void {
    let smallest: [number, Counter] | undefined
    for (const item of this.#counters) {
      if (smallest === undefined || item[1].weight < smallest[1].weight) smallest = item
    }
    const [replaced, counter] = smallest as [number, Counter]
    this.#counters.delete(replaced)
    this.#counters.set(bucket, { weight: counter.weight + weight, error: counter.weight, since: now })
  }

  #scale (now: number): number {
    let scale = 2 ** ((now - this.#origin) / this.#halfLife)
    if (scale <= maximumScale) return scale
    for (const counter of this.#counters.values()) {
      counter.weight /= scale
      counter.error /= scale
    }
    this.#total /= scale
    this.#origin = now
    scale = 1
    return scale
  }
}
