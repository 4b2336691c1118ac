import type { ServiceClass } from './service-class.js'

/** Estimate of the running time of jobs of one rule, in milliseconds. */
export interface RunningTimeEstimate {
  readonly mean: number
  /** Smoothed mean absolute deviation. */
  readonly spread: number
  /** False without a recent observation. Such an estimate may be used for queue delays, but not to refuse jobs. */
  readonly fresh: boolean
}

interface RuleRecord {
  mean: number
  spread: number
  samples: number
  observedAt: number
  treatedAsLong: boolean
}

const smoothing = 0.1
const maximumRules = 1024
const recentSamples = 128
const medianInterval = 16
// Without this limit, a rule whose jobs are refused because of an old, high estimate would never be observed again.
const staleAfterMilliseconds = 5_000
const minimumSamplesForLong = 5
const longFactor = 8
// Lower than `longFactor` (hysteresis), so that a rule near the limit does not alternate between classes.
const longReleaseFactor = 4

/** Running times at one endpoint: mean and deviation per rule, and the median of all recent jobs. */
export class RunningTimes {
  readonly #rules = new Map<number, RuleRecord>()
  readonly #recent: number[] = []
  #samples = 0
  #median = 0
  #mean = 0

  /** Records that a job of the rule ran for the given time. */
  record (rule: number, milliseconds: number, now: number): void {
    this.#recordOverall(milliseconds)
    const record = this.#rules.get(rule)
    if (record === undefined) return this.#insert(rule, milliseconds, now)
    const deviation = Math.abs(milliseconds - record.mean)
    record.mean += smoothing * (milliseconds - record.mean)
    record.spread += smoothing * (deviation - record.spread)
    record.samples++
    record.observedAt = now
    this.#classify(record)
  }

  /** Records a job that was aborted while running. Its time is a lower bound, so it is ignored if it does not exceed the mean. */
  recordAborted (rule: number, milliseconds: number, now: number): void {
    const record = this.#rules.get(rule)
    if (record === undefined || milliseconds > record.mean) this.record(rule, milliseconds, now)
  }

  /** Returns the estimate for a rule, or the endpoint's overall mean if the rule was never observed. */
  estimate (rule: number, now: number): RunningTimeEstimate {
    const record = this.#rules.get(rule)
    if (record === undefined) return { mean: this.#mean, spread: 0, fresh: false }
    return { mean: record.mean, spread: record.spread, fresh: now - record.observedAt <= staleAfterMilliseconds }
  }

  /** Mean running time over all rules, in milliseconds. */
  get mean (): number {
    return this.#mean
  }

  /** Returns the declared class, or `long` while the rule's mean running time is many times the endpoint's median. */
  effectiveClass (rule: number, declared: ServiceClass): ServiceClass {
    return this.#rules.get(rule)?.treatedAsLong === true ? 'long' : declared
  }

  /** Discards the estimates per rule, whose numbers change with the rule file. The endpoint's overall mean and median are kept. */
  forgetRules (): void {
    this.#rules.clear()
  }

  /** Returns the estimates as plain data for the state dump. */
  snapshot (): ReadonlyArray<{ readonly rule: number, readonly mean: number, readonly spread: number, readonly treatedAsLong: boolean }> {
    return [...this.#rules].map(([rule, { mean, spread, treatedAsLong }]) => ({ rule, mean, spread, treatedAsLong }))
  }

  #insert (rule: number, milliseconds: number, now: number): void {
    if (this.#rules.size >= maximumRules) this.#rules.delete(this.#rules.keys().next().value as number)
    this.#rules.set(rule, { mean: milliseconds, spread: milliseconds / 2, samples: 1, observedAt: now, treatedAsLong: false })
  }

  #recordOverall (milliseconds: number): void {
    this.#mean = this.#samples === 0 ? milliseconds : this.#mean + smoothing * (milliseconds - this.#mean)
    this.#recent[this.#samples++ % recentSamples] = milliseconds
    if (this.#samples > medianInterval && this.#samples % medianInterval !== 0) return
    const sorted = [...this.#recent].sort((a, b) => a - b)
    this.#median = sorted[sorted.length >> 1] as number
  }

  #classify (record: RuleRecord): void {
    if (record.samples < minimumSamplesForLong || this.#median <= 0) return
    const factor = record.treatedAsLong ? longReleaseFactor : longFactor
    record.treatedAsLong = record.mean > factor * this.#median
  }
}
