import { HotBuckets } from '@briarsaddle/scheduling'
import type { Clock } from '@briarsaddle/common'

/** Work that was asked of an endpoint, by key. */
export interface KeyWork {
  readonly busySlots: number
  readonly serviceMilliseconds: number
  readonly keys: ReadonlyArray<{ readonly key: number, readonly busySlots: number }>
}

// Hot keys multiply the demand and show within a second; a shorter time takes a few requests by chance for them.
const halfLifeMilliseconds = 2_500
const followedKeys = 256
const smoothing = 0.1

/** Measures the demand at one endpoint: requests count when they arrive, so that refused ones count as well. */
export class KeyWorkMeter {
  readonly #sketch: HotBuckets
  readonly #times = new Map<number, number>()
  #mean = 0

  constructor (clock: Clock) {
    this.#sketch = new HotBuckets({ clock, capacity: followedKeys, halfLifeMilliseconds })
  }

  /** Records a request of a rule for a key; -1 without a key. */
  arrived (rule: number, key: number): void {
    const expected = this.#times.get(rule) ?? this.#mean
    if (expected > 0) this.#sketch.record(key, expected)
  }

  /** Records how long the endpoint took for a request. */
  served (rule: number, milliseconds: number): void {
    this.#mean = this.#mean === 0 ? milliseconds : this.#mean + smoothing * (milliseconds - this.#mean)
    const known = this.#times.get(rule)
    this.#times.set(rule, known === undefined ? milliseconds : known + smoothing * (milliseconds - known))
  }

  /** Forgets the rules, whose numbers change with the routing table. */
  forgetRules (): void {
    this.#times.clear()
  }

  snapshot (): KeyWork {
    const total = this.#sketch.busySlots()
    const keys = this.#sketch.top(followedKeys).filter(({ bucket, share }) => bucket >= 0 && share > 0)
    return { busySlots: total, serviceMilliseconds: this.#mean, keys: keys.map(({ bucket, share }) => ({ key: bucket, busySlots: share * total })) }
  }
}
