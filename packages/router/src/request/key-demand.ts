import { HotBuckets } from '@briarsaddle/scheduling'
import type { Clock } from '@briarsaddle/common'

/** Demand at an endpoint in total and by key. */
export interface KeyDemand {
  /** Average number of slots that the requests would keep busy. */
  readonly busySlots: number
  /** Mean time that the endpoint takes for a request. */
  readonly serviceMilliseconds: number
  readonly keys: ReadonlyArray<{ readonly key: number, readonly busySlots: number }>
}

// After one half-life a plan knows half of the demand for keys that became hot. With a longer one, keys stay too long at an owner that
// cannot serve them; with a shorter one, random requests move more keys without need (bench/hot-span.js).
const halfLifeMilliseconds = 900
const trackedKeys = 256
const smoothing = 0.1

/** Measures the demand at one endpoint. Requests are counted on arrival, so that refused requests are included. */
export class KeyDemandMeter {
  readonly #sketch: HotBuckets
  readonly #serviceTimeByRule = new Map<number, number>()
  #meanServiceTime = 0

  constructor (clock: Clock) {
    this.#sketch = new HotBuckets({ clock, capacity: trackedKeys, halfLifeMilliseconds })
  }

  /** Records the arrival of a request of a rule; `key` is -1 without a key. */
  recordArrival (rule: number, key: number): void {
    const expected = this.#serviceTimeByRule.get(rule) ?? this.#meanServiceTime
    if (expected > 0) this.#sketch.record(key, expected)
  }

  /** Records how long the endpoint took for a request. */
  recordServiceTime (rule: number, milliseconds: number): void {
    this.#meanServiceTime = this.#meanServiceTime === 0 ? milliseconds : this.#meanServiceTime + smoothing * (milliseconds - this.#meanServiceTime)
    const known = this.#serviceTimeByRule.get(rule)
    this.#serviceTimeByRule.set(rule, known === undefined ? milliseconds : known + smoothing * (milliseconds - known))
  }

  /** Clears the service times per rule, since the numbers of the rules change with the routing table. */
  forgetRules (): void {
    this.#serviceTimeByRule.clear()
  }

  /** Returns the present demand, with the keys that have most of it. */
  snapshot (): KeyDemand {
    const total = this.#sketch.busySlots()
    const keys = this.#sketch.top(trackedKeys).filter(({ bucket, share }) => bucket >= 0 && share > 0)
    return { busySlots: total, serviceMilliseconds: this.#meanServiceTime, keys: keys.map(({ bucket, share }) => ({ key: bucket, busySlots: share * total })) }
  }
}
