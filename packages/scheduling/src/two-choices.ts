import { EndpointChooser, type RequestEnd } from './endpoint-chooser.js'

interface EndpointRecord {
  /** Requests of this process that have not ended. */
  ownOutstanding: number
  /** Outstanding requests of all callers according to the last report, and the time of the report. */
  reported: number
  reportedAt: number
  sentSinceReport: number
  samples: number
  /** Smoothed share of failed or slow answers, from 0 to 1. */
  failureScore: number
  /** Number of ejections, reduced by one for each successful probe; determines the duration of the next one. */
  ejections: number
  ejectedUntil: number
  probing: boolean
  probedAt: number
}

// Reports decay, because a high report about an endpoint that gets no more requests would otherwise never be corrected.
const reportHalfLifeMilliseconds = 200
const failureSmoothing = 0.2
const minimumEjectionScore = 0.6
const minimumSamples = 5
// Service classes differ in their running times, so only a large multiple of the usual latency counts as slow.
const slowFactor = 5
const firstEjectionMilliseconds = 1_000
const maximumEjectionMilliseconds = 30_000
// After this time a probe without an answer no longer prevents the next probe.
const probeTimeoutMilliseconds = 5_000
const latencySmoothing = 0.02
const maximumEndpoints = 4_096

/**
 * Chooses by the power of two choices: the endpoint with fewer outstanding requests among two random candidates. Endpoints
 * that fail or are slow more often than the others are ejected for a while (outlier detection).
 */
export class TwoChoices extends EndpointChooser {
  readonly #records = new Map<string, EndpointRecord>()
  // Mean of the logarithm of the latency, which a few very long requests hardly affect.
  #logLatency: number | undefined

  override choose (candidates: readonly string[], excluded?: ReadonlySet<string>): string | undefined {
    const allowed = this.without(candidates, excluded)
    if (allowed.length < 2) return allowed[0]
    const now = this.clock.now()
    const ejected = this.#ejected(candidates, now)
    const probe = allowed.find(candidate => this.#isDueForProbe(candidate, ejected, now))
    if (probe !== undefined) return probe
    const available = ejected.size === 0 ? allowed : allowed.filter(candidate => !ejected.has(candidate))
    // If all allowed candidates are ejected, an ejected one is better than none.
    return this.#lessLoaded(available.length === 0 ? allowed : available, now)
  }

  override started (endpoint: string): void {
    const record = this.#record(endpoint)
    const now = this.clock.now()
    record.ownOutstanding++
    record.sentSinceReport++
    if (record.ejections > 0 && now >= record.ejectedUntil) {
      record.probing = true
      record.probedAt = now
    }
  }

  override finished (endpoint: string, { outstanding, milliseconds, failed }: RequestEnd): void {
    const record = this.#record(endpoint)
    const now = this.clock.now()
    record.ownOutstanding = Math.max(0, record.ownOutstanding - 1)
    if (outstanding === undefined) {
      // Otherwise refused requests would count as outstanding until the next report, and the endpoint would get no requests.
      record.sentSinceReport = Math.max(0, record.sentSinceReport - 1)
    } else {
      record.reported = outstanding
      record.reportedAt = now
      record.sentSinceReport = 0
    }
    const bad = failed || (milliseconds !== undefined && this.#isSlow(milliseconds))
    if (!failed && milliseconds !== undefined) this.#recordLatency(milliseconds)
    if (bad || milliseconds !== undefined) {
      record.samples++
      record.failureScore += failureSmoothing * ((bad ? 1 : 0) - record.failureScore)
    }
    if (record.probing) this.#endProbe(record, bad, now)
    else if (now >= record.ejectedUntil && this.#isOutlier(endpoint, record)) this.#eject(record, now)
  }

  /** Returns the expected number of outstanding requests of all callers at an endpoint. */
  load (endpoint: string): number {
    const record = this.#records.get(endpoint)
    return record === undefined ? 0 : this.#load(record, this.clock.now())
  }

  override snapshot (): Readonly<Record<string, unknown>> {
    const now = this.clock.now()
    return Object.fromEntries([...this.#records].map(([endpoint, record]) => [endpoint, {
      outstanding: this.#load(record, now),
      badness: record.failureScore,
      asideMilliseconds: Math.max(0, record.ejectedUntil - now)
    }]))
  }

  #record (endpoint: string): EndpointRecord {
    let record = this.#records.get(endpoint)
    if (record !== undefined) return record
    if (this.#records.size >= maximumEndpoints) this.#records.delete(this.#records.keys().next().value as string)
    record = { ownOutstanding: 0, reported: 0, reportedAt: 0, sentSinceReport: 0, samples: 0, failureScore: 0, ejections: 0, ejectedUntil: 0, probing: false, probedAt: 0 }
    this.#records.set(endpoint, record)
    return record
  }

  #load (record: EndpointRecord, now: number): number {
    // Rounded, so that the remainder of an old report does not make the endpoint lose against every idle one.
    const reported = Math.round(record.reported * 0.5 ** ((now - record.reportedAt) / reportHalfLifeMilliseconds))
    return Math.max(record.ownOutstanding, reported + record.sentSinceReport)
  }

  #lessLoaded (candidates: readonly string[], now: number): string {
    if (candidates.length === 1) return candidates[0] as string
    const first = this.random.integer(0, candidates.length - 1)
    const second = (first + this.random.integer(1, candidates.length - 1)) % candidates.length
    const [one, other] = [candidates[first] as string, candidates[second] as string]
    return this.#load(this.#record(other), now) < this.#load(this.#record(one), now) ? other : one
  }

  /** Returns the candidates to avoid: the ejected ones, but at most half of all candidates, the worst first. */
  #ejected (candidates: readonly string[], now: number): ReadonlySet<string> {
    const ejected: Array<[string, EndpointRecord]> = []
    for (const candidate of candidates) {
      const record = this.#records.get(candidate)
      // When its time has passed, an endpoint stays ejected until a probe has succeeded.
      if (record !== undefined && record.ejections > 0 && (now < record.ejectedUntil || record.failureScore > 0)) ejected.push([candidate, record])
    }
    const limit = Math.floor(candidates.length / 2)
    if (ejected.length > limit) ejected.sort(([, one], [, other]) => other.failureScore - one.failureScore)
    return new Set(ejected.slice(0, limit).map(([candidate]) => candidate))
  }

  #isDueForProbe (candidate: string, ejected: ReadonlySet<string>, now: number): boolean {
    if (!ejected.has(candidate)) return false
    const record = this.#record(candidate)
    return now >= record.ejectedUntil && (!record.probing || now - record.probedAt > probeTimeoutMilliseconds)
  }

  #endProbe (record: EndpointRecord, bad: boolean, now: number): void {
    record.probing = false
    if (bad) return this.#eject(record, now)
    // Reduced by one only, so that an endpoint that soon fails again is ejected for longer.
    record.ejections--
    record.failureScore = 0
    record.samples = 0
  }

  #eject (record: EndpointRecord, now: number): void {
    record.ejectedUntil = now + Math.min(maximumEjectionMilliseconds, firstEjectionMilliseconds * 2 ** record.ejections)
    record.ejections = Math.min(record.ejections + 1, 10)
    record.failureScore = Math.max(record.failureScore, minimumEjectionScore)
  }

  #isSlow (milliseconds: number): boolean {
    return this.#logLatency !== undefined && milliseconds > slowFactor * Math.exp(this.#logLatency)
  }

  #recordLatency (milliseconds: number): void {
    const value = Math.log(Math.max(milliseconds, 0.1))
    this.#logLatency = this.#logLatency === undefined ? value : this.#logLatency + latencySmoothing * (value - this.#logLatency)
  }

  /** Returns whether the endpoint is much worse than the others on average, so that a general slowdown ejects no endpoint. */
  #isOutlier (endpoint: string, record: EndpointRecord): boolean {
    if (record.samples < minimumSamples || record.failureScore < minimumEjectionScore) return false
    let sum = 0
    let others = 0
    for (const [other, { failureScore, samples }] of this.#records) {
      if (other === endpoint || samples === 0) continue
      sum += failureScore
      others++
    }
    return others > 0 && record.failureScore > 2 * (sum / others)
  }
}
