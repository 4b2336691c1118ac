import { Random } from '@briarsaddle/common'
import type { Burst, Phase, RequestKind, Scenario } from './scenario.js'

/** One request with everything that is decided before the run. Times are milliseconds from the start. */
export interface PlannedRequest {
  readonly at: number
  readonly kind: RequestKind
  /** Undefined for pools that are not partitioned by key. */
  readonly key: string | undefined
  readonly path: string
  readonly serviceMilliseconds: number
  /** Whether the request falls into the phase's window. */
  readonly inWindow: boolean
}

/** What a plan depends on. */
export interface PlanOptions {
  readonly scenario: Scenario
  readonly phase: Phase
  readonly seed: number
  readonly requestsPerSecond: number
  readonly durationSeconds: number
}

const longestServiceInMeans = 5

/** Returns the requests in the order of their planned arrival; the same options give the same plan. */
export function planRequests (options: PlanOptions): readonly PlannedRequest[] {
  const { scenario, phase, requestsPerSecond, durationSeconds } = options
  const random = new Random(options.seed)
  const keys = new KeyChooser(scenario, random)
  const duration = durationSeconds * 1000
  const peak = Math.max(...phase.rate.map(({ factor }) => factor))
  const planned: PlannedRequest[] = []
  const gap = (): number => -Math.log(1 - random.fraction()) * 1000 / (requestsPerSecond * peak)
  for (let at = gap(); at < duration; at += gap()) {
    // Thinning: arrivals at the peak rate are kept with the probability that the current rate requires.
    if (random.fraction() * peak >= rateFactor(phase, at / duration)) continue
    const inWindow = isInWindow(phase, at / duration)
    const kind = pickKind(scenario, phase, inWindow, random)
    const key = kind.path.includes(':key') ? keys.pick(inWindow ? phase.flareShare ?? 0 : 0) : undefined
    planned.push({ at, kind, key, path: kind.path.replace(':key', key ?? ''), serviceMilliseconds: serviceTime(kind, random), inWindow })
  }
  // Drawn last, so that the other requests are the same as without bursts.
  for (const burst of phase.bursts ?? []) planned.push(...burstRequests(burst, options, random))
  return planned.sort((one, other) => one.at - other.at)
}

function burstRequests ({ at, kind: name, key, requests }: Burst, { scenario, phase, durationSeconds }: PlanOptions, random: Random): readonly PlannedRequest[] {
  const kind = scenario.kinds.find(other => other.name === name)
  if (kind === undefined) throw new Error(`phase has a burst of kind "${name}", which scenario "${scenario.name}" does not have`)
  return Array.from({ length: requests }, () => ({
    at: at * durationSeconds * 1000, kind, key, path: kind.path.replace(':key', key), serviceMilliseconds: serviceTime(kind, random), inWindow: isInWindow(phase, at)
  }))
}

/** Rate relative to the base rate at a fraction of the duration. */
export function rateFactor ({ rate }: Phase, at: number): number {
  const next = rate.findIndex(point => point.at > at)
  if (next === -1) return rate.at(-1)?.factor ?? 0
  const [from, to] = [rate[Math.max(0, next - 1)], rate[next]]
  if (from === undefined || to === undefined || from === to) return to?.factor ?? 0
  return from.factor + (to.factor - from.factor) * (at - from.at) / (to.at - from.at)
}

function isInWindow ({ window }: Phase, at: number): boolean {
  return at >= window.from && at < window.to
}

function pickKind ({ kinds }: Scenario, phase: Phase, inWindow: boolean, random: Random): RequestKind {
  const weights = kinds.map(({ name, weight }) => (inWindow ? phase.weights?.[name] : undefined) ?? weight)
  let left = random.fraction() * weights.reduce((sum, weight) => sum + weight, 0)
  const index = weights.findIndex(weight => (left -= weight) < 0)
  return kinds[Math.max(0, index)] as RequestKind
}

function serviceTime ({ service: { meanMilliseconds, distribution } }: RequestKind, random: Random): number {
  const factor = distribution === 'uniform' ? 0.5 + random.fraction() : Math.min(longestServiceInMeans, -Math.log(1 - random.fraction()))
  return Math.max(1, Math.round(meanMilliseconds * factor))
}

/** Chooses keys with Zipf popularity. Key numbers are not sorted by popularity; the hottest key of a flare is fixed. */
class KeyChooser {
  readonly #cumulative: number[] = []
  readonly #random: Random
  readonly #flareKey: string

  constructor ({ keys, keySkew }: Scenario, random: Random) {
    this.#random = random
    let sum = 0
    for (let rank = 1; rank <= keys; rank++) this.#cumulative.push(sum += rank ** -keySkew)
    this.#flareKey = `key-${random.integer(1, keys)}`
  }

  pick (flareShare: number): string {
    if (flareShare > 0 && this.#random.fraction() < flareShare) return this.#flareKey
    const target = this.#random.fraction() * (this.#cumulative.at(-1) as number)
    let low = 0
    let high = this.#cumulative.length - 1
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.#cumulative[middle] as number > target) high = middle
      else low = middle + 1
    }
    return `key-${low + 1}`
  }
}
