import type { EndpointLoad } from './balance.js'
import { meanQueueLengthOver } from './queue-length.js'

/** A bucket that may be moved off the endpoint with the long job. Times are in clock milliseconds. */
export interface ReliefBucket {
  readonly bucket: number
  /** The bucket's share of the endpoint's work that is not long, from 0 to 1. */
  readonly share: number
  /** When the bucket last changed its owner, and the previous owner. */
  readonly movedAt?: number | undefined
  readonly movedFrom?: string | undefined
}

/** Settings of `planLongJobRelief`; the defaults suit the traffic of the example firms. */
export interface ReliefSettings {
  /** Time for which the keys of a moved bucket are not served; requests that arrive meanwhile wait half of it on average. */
  readonly unavailableMilliseconds: number
  /** Cost of the cached state that is lost when a bucket moves, in seconds of waiting. */
  readonly bucketCostSeconds: number
  /** Fixed cost of writing the records of a plan, in seconds of waiting. */
  readonly recordCostSeconds: number
  /** Minimum ratio of gain to cost. */
  readonly gainFactor: number
  /** Minimum time between two moves of a bucket. */
  readonly cooldownMilliseconds: number
  /** Time after a move in which the bucket does not return to its previous owner. */
  readonly noReturnMilliseconds: number
  /** Maximum load of a target after the moves, which leaves capacity for a long job of its own. */
  readonly maximumTargetLoad: number
  /** Maximum number of buckets of the pool that move at the same time, including those of this plan. */
  readonly maximumMoves: number
}

/** Default settings. */
export const defaultReliefSettings: ReliefSettings = {
  unavailableMilliseconds: 300,
  bucketCostSeconds: 0.25,
  recordCostSeconds: 1,
  gainFactor: 2,
  cooldownMilliseconds: 30_000,
  noReturnMilliseconds: 300_000,
  maximumTargetLoad: 0.65,
  maximumMoves: 64
}

/** Input of `planLongJobRelief`. */
export interface ReliefInput {
  /** Current time, in clock milliseconds. */
  readonly now: number
  /** The endpoint with the long job. */
  readonly source: EndpointLoad
  readonly others: readonly EndpointLoad[]
  /** Buckets of the source that have no running or queued long job. */
  readonly buckets: readonly ReliefBucket[]
  /** Slots of the source that long jobs occupy, and the expected time for which they will. */
  readonly longSlots: number
  readonly remainingMilliseconds: number
  /** Rate of requests at the source that are not long. */
  readonly requestsPerSecond: number
  /** True while demand is at or near a peak; no bucket is moved then. */
  readonly peak: boolean
  /** Buckets of the pool that are already moving. */
  readonly movesUnderWay?: number
  readonly settings?: Partial<ReliefSettings>
}

/** Buckets to move in one record. Gain and cost are in seconds of waiting, summed over all requests. */
export interface LongJobRelief {
  readonly moves: ReadonlyArray<{ readonly bucket: number, readonly to: string }>
  readonly gainSeconds: number
  readonly costSeconds: number
}

const noRelief: LongJobRelief = { moves: [], gainSeconds: 0, costSeconds: 0 }

/** Decides which buckets to move off an endpoint because long jobs occupy some of its slots. */
export function planLongJobRelief (input: ReliefInput): LongJobRelief {
  const settings = { ...defaultReliefSettings, ...input.settings }
  if (input.peak) return noRelief
  const plan = new ReliefPlan(input, settings)
  const movesLeft = settings.maximumMoves - (input.movesUnderWay ?? 0)
  let best = noRelief
  // The hottest buckets first, which gives the same relief with fewer moves.
  for (const bucket of [...input.buckets].sort((one, other) => other.share - one.share)) {
    if (plan.size >= movesLeft) break
    if (!plan.add(bucket)) continue
    const relief = plan.relief()
    if (netGain(relief, settings) > netGain(best, settings)) best = relief
  }
  return best
}

function netGain ({ gainSeconds, costSeconds }: LongJobRelief, { gainFactor }: ReliefSettings): number {
  return gainSeconds - gainFactor * costSeconds
}

/** Load of an endpoint by requests that are not long, in busy slots, before and after the chosen moves. */
interface ProjectedLoad {
  readonly endpoint: string
  readonly slots: number
  readonly before: number
  after: number
}

/** The moves that are chosen so far, with their gain and cost. */
class ReliefPlan {
  readonly #input: ReliefInput
  readonly #settings: ReliefSettings
  readonly #source: ProjectedLoad
  readonly #targets: readonly ProjectedLoad[]
  readonly #moves: Array<{ readonly bucket: number, readonly to: string }> = []
  #movedShare = 0

  constructor (input: ReliefInput, settings: ReliefSettings) {
    this.#input = input
    this.#settings = settings
    // If long jobs occupy all slots, a small remainder keeps the formula finite.
    this.#source = projectedLoad(input.source, Math.max(0.1, input.source.slots - input.longSlots))
    this.#targets = input.others
      .filter(({ endpoint, accepting, longJobs }) => accepting && longJobs === 0 && endpoint !== input.source.endpoint)
      .map(other => projectedLoad(other, other.slots))
  }

  get size (): number { return this.#moves.length }

  /** Adds a move of the bucket to the least loaded endpoint. Returns false if the bucket may not move. */
  add (bucket: ReliefBucket): boolean {
    const { now, source } = this.#input
    if (bucket.movedAt !== undefined && now - bucket.movedAt < this.#settings.cooldownMilliseconds) return false
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
    const savedWaiting = [this.#source, ...this.#targets].reduce((sum, load) => sum + this.#queueLength(load, load.before) - this.#queueLength(load, load.after), 0)
    const affected = requestsPerSecond * this.#movedShare * unavailableMilliseconds / 1000
    return {
      moves: [...this.#moves],
      gainSeconds: savedWaiting * remainingMilliseconds / 1000,
      costSeconds: recordCostSeconds + this.#moves.length * bucketCostSeconds + affected * unavailableMilliseconds / 2000
    }
  }

  #leastLoaded (bucket: ReliefBucket, work: number): ProjectedLoad | undefined {
    const { noReturnMilliseconds, maximumTargetLoad } = this.#settings
    let best: ProjectedLoad | undefined
    for (const target of this.#targets) {
      const isReturn = target.endpoint === bucket.movedFrom && bucket.movedAt !== undefined && this.#input.now - bucket.movedAt < noReturnMilliseconds
      if (isReturn || target.after + work > maximumTargetLoad * target.slots) continue
      if (best === undefined || target.after / target.slots < best.after / best.slots) best = target
    }
    return best
  }

  #queueLength ({ slots }: ProjectedLoad, work: number): number {
    const { remainingMilliseconds, requestsPerSecond } = this.#input
    return meanQueueLengthOver(Math.max(0, work) / slots, slots, requestsPerSecond * remainingMilliseconds / 1000)
  }
}

function projectedLoad ({ endpoint, shortSlots }: EndpointLoad, slots: number): ProjectedLoad {
  return { endpoint, slots, before: shortSlots, after: shortSlots }
}
