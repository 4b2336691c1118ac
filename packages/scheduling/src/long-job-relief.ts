import type { EndpointLoad } from './balance.js'
import { meanWaitingOver } from './waiting.js'

/** A bucket that may leave the endpoint with the long job. Times are clock milliseconds. */
export interface ReliefBucket {
  readonly bucket: number
  /** Share of the endpoint's work that is not long, from 0 to 1. */
  readonly share: number
  /** When the bucket last changed its owner, and the owner before. */
  readonly movedAt?: number | undefined
  readonly movedFrom?: string | undefined
}

/** Settings of `planLongJobRelief`; the defaults suit the example firms. */
export interface ReliefSettings {
  /** Time for which the keys of a moved bucket are not served; its requests wait half of it on average. */
  readonly unavailableMilliseconds: number
  /** Cost of the warm state that an endpoint loses with a bucket, in seconds of waiting. */
  readonly bucketCostSeconds: number
  /** Fixed cost of the records, in seconds of waiting. */
  readonly recordCostSeconds: number
  /** The gain must be this many times the cost. */
  readonly gainFactor: number
  /** A bucket rests for this time after a move. */
  readonly restMilliseconds: number
  /** A bucket does not return to its former owner within this time. */
  readonly noReturnMilliseconds: number
  /** Load of a target up to which it takes buckets: it must stand a long job of its own later. */
  readonly maximumTargetLoad: number
  /** Buckets under way at the same time in the pool, with those of this plan. */
  readonly maximumMoves: number
}

/** Default settings. */
export const defaultReliefSettings: ReliefSettings = {
  unavailableMilliseconds: 300,
  bucketCostSeconds: 0.25,
  recordCostSeconds: 1,
  gainFactor: 2,
  restMilliseconds: 30_000,
  noReturnMilliseconds: 300_000,
  maximumTargetLoad: 0.65,
  maximumMoves: 64
}

/** What the decision is based on. */
export interface ReliefInput {
  /** Clock milliseconds. */
  readonly now: number
  /** The endpoint with the long job. */
  readonly source: EndpointLoad
  readonly others: readonly EndpointLoad[]
  /** Buckets of the source for which no long job runs or waits. */
  readonly buckets: readonly ReliefBucket[]
  /** Slots of the source that long jobs hold, and for how long they are expected to do so. */
  readonly longSlots: number
  readonly remainingMilliseconds: number
  /** Requests that are not long per second, of the source. */
  readonly requestsPerSecond: number
  /** True while demand is at or near a peak: nothing moves. */
  readonly peak: boolean
  /** Buckets of the pool that are under way. */
  readonly movesUnderWay?: number
  readonly settings?: Partial<ReliefSettings>
}

/** Buckets to move in one record; gain and cost are in seconds of waiting, summed over requests. */
export interface LongJobRelief {
  readonly moves: ReadonlyArray<{ readonly bucket: number, readonly to: string }>
  readonly gainSeconds: number
  readonly costSeconds: number
}

const noRelief: LongJobRelief = { moves: [], gainSeconds: 0, costSeconds: 0 }

/** Decides which buckets leave an endpoint for the time in which long jobs hold some of its slots. */
export function planLongJobRelief (input: ReliefInput): LongJobRelief {
  const settings = { ...defaultReliefSettings, ...input.settings }
  if (input.peak) return noRelief
  const plan = new ReliefPlan(input, settings)
  const left = settings.maximumMoves - (input.movesUnderWay ?? 0)
  let best = noRelief
  // The hottest first: the same relief with the fewest moves.
  for (const bucket of [...input.buckets].sort((one, other) => other.share - one.share)) {
    if (plan.size >= left) break
    if (!plan.add(bucket)) continue
    const relief = plan.relief()
    if (netGain(relief, settings) > netGain(best, settings)) best = relief
  }
  return best
}

function netGain ({ gainSeconds, costSeconds }: LongJobRelief, { gainFactor }: ReliefSettings): number {
  return gainSeconds - gainFactor * costSeconds
}

/** Load of an endpoint for requests that are not long, in slots. */
interface Place {
  readonly endpoint: string
  readonly slots: number
  readonly before: number
  after: number
}

/** The moves chosen so far and what they gain. */
class ReliefPlan {
  readonly #input: ReliefInput
  readonly #settings: ReliefSettings
  readonly #source: Place
  readonly #targets: readonly Place[]
  readonly #moves: Array<{ readonly bucket: number, readonly to: string }> = []
  #movedShare = 0

  constructor (input: ReliefInput, settings: ReliefSettings) {
    this.#input = input
    this.#settings = settings
    // With one slot the long job holds all; a small rest keeps the formula finite.
    this.#source = placeOf(input.source, Math.max(0.1, input.source.slots - input.longSlots))
    this.#targets = input.others
      .filter(({ endpoint, accepting, longJobs }) => accepting && longJobs === 0 && endpoint !== input.source.endpoint)
      .map(other => placeOf(other, other.slots))
  }

  get size (): number { return this.#moves.length }

  /** Adds the move of a bucket to the least loaded endpoint; returns false when it may not move. */
  add (bucket: ReliefBucket): boolean {
    const { now, source } = this.#input
    if (bucket.movedAt !== undefined && now - bucket.movedAt < this.#settings.restMilliseconds) return false
    const work = bucket.share * source.shortSlots
    const target = this.#leastLoaded(bucket, work)
    if (target === undefined) return false
    target.after += work
    this.#source.after -= work
    this.#movedShare += bucket.share
    this.#moves.push({ bucket: bucket.bucket, to: target.endpoint })
    return true
  }

  relief (): LongJobRelief {
    const { remainingMilliseconds, requestsPerSecond } = this.#input
    const { unavailableMilliseconds, bucketCostSeconds, recordCostSeconds } = this.#settings
    const fewer = [this.#source, ...this.#targets].reduce((sum, place) => sum + this.#waiting(place, place.before) - this.#waiting(place, place.after), 0)
    const affected = requestsPerSecond * this.#movedShare * unavailableMilliseconds / 1000
    return {
      moves: [...this.#moves],
      gainSeconds: fewer * remainingMilliseconds / 1000,
      costSeconds: recordCostSeconds + this.#moves.length * bucketCostSeconds + affected * unavailableMilliseconds / 2000
    }
  }

  #leastLoaded (bucket: ReliefBucket, work: number): Place | undefined {
    const { noReturnMilliseconds, maximumTargetLoad } = this.#settings
    let best: Place | undefined
    for (const target of this.#targets) {
      const isReturn = target.endpoint === bucket.movedFrom && bucket.movedAt !== undefined && this.#input.now - bucket.movedAt < noReturnMilliseconds
      if (isReturn || target.after + work > maximumTargetLoad * target.slots) continue
      if (best === undefined || target.after / target.slots < best.after / best.slots) best = target
    }
    return best
  }

  #waiting ({ slots }: Place, work: number): number {
    const { remainingMilliseconds, requestsPerSecond } = this.#input
    return meanWaitingOver(Math.max(0, work) / slots, slots, requestsPerSecond * remainingMilliseconds / 1000)
  }
}

function placeOf ({ endpoint, shortSlots }: EndpointLoad, slots: number): Place {
  return { endpoint, slots, before: shortSlots, after: shortSlots }
}
