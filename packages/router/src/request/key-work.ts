import { HotBuckets } from '@briarsaddle/scheduling'
import type { Clock } from '@briarsaddle/common'

/** Work that was asked of an endpoint, by key. */
export interface KeyWork {
  readonly busySlots: number
  readonly serviceMilliseconds: number
  readonly keys: ReadonlyArray<{ readonly key: number, readonly busySlots: number }>
}

// A short memory notices hot keys within a second where there are many requests, a long one is not misled by a few.
const shortHalfLifeMilliseconds = 800
const longHalfLifeMilliseconds = 2_500
const followedKeys = 256
const smoothing = 0.1

/** Measures the demand at one endpoint: requests count when they arrive, so that refused ones count as well. */
export class KeyWorkMeter {
  readonly #short: HotBuckets
  readonly #long: HotBuckets
  readonly #times = new Map<number, number>()
  #mean = 0

  constructor (clock: Clock) {
    this.#short = new HotBuckets({ clock, capacity: followedKeys, halfLifeMilliseconds: shortHalfLifeMilliseconds })
    this.#long = new HotBuckets({ clock, capacity: followedKeys, halfLifeMilliseconds: longHalfLifeMilliseconds })
  }

  /** Records a request of a rule for a key; -1 without a key. */
  arrived (rule: number, key: number): void {
    const expected = this.#times.get(rule) ?? this.#mean
    if (expected <= 0) return
    this.#short.record(key, expected)
    this.#long.record(key, expected)
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
    const steady = this.#long.busySlots()
    const recent = this.#surelyRecent()
    const sketch = recent > steady ? this.#short : this.#long
    const total = Math.max(steady, recent)
    const keys = sketch.top(followedKeys).filter(({ bucket, share }) => bucket >= 0 && share > 0)
    return { busySlots: total, serviceMilliseconds: this.#mean, keys: keys.map(({ bucket, share }) => ({ key: bucket, busySlots: share * total })) }
  }

  /** Recent demand less its likely error by chance, which is the root of the number of requests that it consists of. */
  #surelyRecent (): number {
    const busySlots = this.#short.busySlots()
    if (this.#mean <= 0 || busySlots <= 0) return 0
    // An exponential memory counts like twice its time constant.
    const requests = busySlots / this.#mean * 2 * shortHalfLifeMilliseconds / Math.LN2
    return busySlots * Math.max(0, 1 - 1 / Math.sqrt(Math.max(1, requests)))
  }
}
