import { meanQueueLength } from './queue-length.js'

/** Recent load of one endpoint. */
export interface EndpointLoad {
  readonly endpoint: string
  readonly slots: number
  /** Mean share of busy slots over the window, from 0 to 1. */
  readonly busy: number
  /** Mean number of waiting requests over the window. */
  readonly queued: number
  /** Mean number of slots kept busy by requests that are not long, with the buckets that the endpoint owns now. */
  readonly shortSlots: number
  /** Number of running and queued long jobs. */
  readonly longJobs: number
  /** False for endpoints that are draining, starting or suspected of failure; they receive no buckets. */
  readonly accepting: boolean
}

/** A hot bucket and its last move. Times are in clock milliseconds. */
export interface BucketLoad {
  readonly bucket: number
  /** Owner of the bucket. */
  readonly endpoint: string
  /** The bucket's share of the owner's work, from 0 to 1. */
  readonly share: number
  readonly requestsPerSecond: number
  /** When the bucket became hot. */
  readonly hotSince: number
  /** When the bucket last changed its owner, and the previous owner. */
  readonly movedAt?: number | undefined
  readonly movedFrom?: string | undefined
}

/** Settings of `planBalanceMoves`; the defaults suit the traffic of the example firms. */
export interface BalanceSettings {
  /** Time for which the keys of a moved bucket are not served. */
  readonly unavailableMilliseconds: number
  /** Cost of each request that arrives in that time, in seconds of waiting. */
  readonly unavailablePenaltySeconds: number
  /** Fixed cost of a move (writing records, cold caches of the endpoint), in seconds of waiting. */
  readonly moveCostSeconds: number
  /** Minimum ratio of gain to cost. */
  readonly gainFactor: number
  /** Minimum time between two moves of a bucket. */
  readonly cooldownMilliseconds: number
  /** Time after a move in which the bucket does not return to its previous owner. */
  readonly noReturnMilliseconds: number
  /** A bucket is expected to stay hot for as long as it has been hot so far, but at most for this time. */
  readonly maximumRemainingMilliseconds: number
  /** Minimum difference in load between source and target. */
  readonly minimumDifference: number
  /** Maximum number of moves in progress at the same time, including those of this plan. */
  readonly maximumMoves: number
}

/** Default settings. */
export const defaultBalanceSettings: BalanceSettings = {
  unavailableMilliseconds: 200,
  unavailablePenaltySeconds: 1,
  moveCostSeconds: 5,
  gainFactor: 2,
  cooldownMilliseconds: 30_000,
  noReturnMilliseconds: 300_000,
  maximumRemainingMilliseconds: 120_000,
  minimumDifference: 0.2,
  maximumMoves: 2
}

/** Input of `planBalanceMoves`. */
export interface BalanceInput {
  /** Current time, in clock milliseconds. */
  readonly now: number
  readonly endpoints: readonly EndpointLoad[]
  readonly buckets: readonly BucketLoad[]
  /** True while demand is at or near a peak; no bucket is moved then. */
  readonly peak: boolean
  /** Number of moves in progress: the former owner has not yet released the bucket. */
  readonly movesUnderWay?: number
  readonly settings?: Partial<BalanceSettings>
}

/** A bucket to move. */
export interface BalanceMove {
  readonly bucket: number
  readonly from: string
  readonly to: string
  /** Expected gain and cost, in seconds of waiting summed over requests. */
  readonly gainSeconds: number
  readonly costSeconds: number
}

const maximumLoad = 3

/** Decides which buckets to move to another endpoint now; usually none. */
export function planBalanceMoves (input: BalanceInput): readonly BalanceMove[] {
  const settings = { ...defaultBalanceSettings, ...input.settings }
  if (input.peak) return []
  const loads = new Map(input.endpoints.map(endpoint => [endpoint.endpoint, { ...endpoint, load: offeredLoad(endpoint) }]))
  const moves: BalanceMove[] = []
  const movesLeft = settings.maximumMoves - (input.movesUnderWay ?? 0)
  const changed = new Set<string>()
  while (moves.length < movesLeft) {
    const candidates = input.buckets.filter(({ endpoint }) => !changed.has(endpoint))
    const best = bestMove(candidates, loads, changed, input.now, settings)
    if (best === undefined) break
    moves.push(best)
    // From here on the loads of both endpoints are only predicted, so they are left to the next plan, which has measurements.
    changed.add(best.from).add(best.to)
  }
  return moves
}

type Load = EndpointLoad & { readonly load: number }

function bestMove (buckets: readonly BucketLoad[], loads: ReadonlyMap<string, Load>, changed: ReadonlySet<string>, now: number, settings: BalanceSettings): BalanceMove | undefined {
  let best: BalanceMove | undefined
  for (const bucket of buckets) {
    const source = loads.get(bucket.endpoint)
    if (source === undefined || !mayMove(bucket, now, settings)) continue
    for (const target of loads.values()) {
      // A long job occupies a slot that the load does not include before the job ends.
      if (!target.accepting || target.longJobs > 0 || target === source || changed.has(target.endpoint) || isReturn(bucket, target, now, settings)) continue
      const move = evaluate(bucket, source, target, now, settings)
      if (move !== undefined && netGain(move) > (best === undefined ? 0 : netGain(best))) best = move
    }
  }
  return best
}

function mayMove (bucket: BucketLoad, now: number, { cooldownMilliseconds }: BalanceSettings): boolean {
  return bucket.movedAt === undefined || now - bucket.movedAt >= cooldownMilliseconds
}

function isReturn (bucket: BucketLoad, target: Load, now: number, { noReturnMilliseconds }: BalanceSettings): boolean {
  return bucket.movedFrom === target.endpoint && bucket.movedAt !== undefined && now - bucket.movedAt < noReturnMilliseconds
}

function evaluate (bucket: BucketLoad, source: Load, target: Load, now: number, settings: BalanceSettings): BalanceMove | undefined {
  const moved = bucket.share * source.load
  const arriving = moved * source.slots / target.slots
  if (source.load - target.load < settings.minimumDifference) return undefined
  // Otherwise the overload would only move to the target, and the next plan would move the bucket again.
  if (target.load + arriving >= source.load) return undefined
  const before = meanQueueLength(source.load, source.slots) + meanQueueLength(target.load, target.slots)
  const after = meanQueueLength(source.load - moved, source.slots) + meanQueueLength(target.load + arriving, target.slots)
  const remaining = Math.min(Math.max(0, now - bucket.hotSince), settings.maximumRemainingMilliseconds)
  const gainSeconds = (before - after) * remaining / 1000
  const affected = bucket.requestsPerSecond * settings.unavailableMilliseconds / 1000
  const costSeconds = affected * settings.unavailablePenaltySeconds + settings.moveCostSeconds
  if (gainSeconds < settings.gainFactor * costSeconds) return undefined
  return { bucket: bucket.bucket, from: source.endpoint, to: target.endpoint, gainSeconds, costSeconds }
}

function netGain ({ gainSeconds, costSeconds }: BalanceMove): number {
  return gainSeconds - costSeconds
}

/** Returns the offered load that explains both the queue length and the share of busy slots, which cannot exceed 1. */
function offeredLoad ({ busy, queued, slots }: EndpointLoad): number {
  let low = busy
  let high = maximumLoad
  if (meanQueueLength(low, slots) >= queued) return busy
  for (let step = 0; step < 20; step++) {
    const middle = (low + high) / 2
    if (meanQueueLength(middle, slots) < queued) low = middle
    else high = middle
  }
  return high
}
