import { meanWaiting } from './waiting.js'

/** Recent load of one endpoint. */
export interface EndpointLoad {
  readonly endpoint: string
  readonly slots: number
  /** Busy share of the slots over the window, from 0 to 1. */
  readonly busy: number
  /** Mean number of waiting requests over the window. */
  readonly queued: number
  /** Slots that requests that are not long keep busy on average, with the buckets that the endpoint owns now. */
  readonly shortSlots: number
  /** Long jobs that run or wait. */
  readonly longJobs: number
  /** False for endpoints that drain, start or are suspected: they receive no bucket. */
  readonly accepting: boolean
}

/** A hot bucket with its history. Times are clock milliseconds. */
export interface BucketLoad {
  readonly bucket: number
  /** The owner. */
  readonly endpoint: string
  /** Share of the owner's work, from 0 to 1. */
  readonly share: number
  readonly requestsPerSecond: number
  /** When the bucket became hot. */
  readonly hotSince: number
  /** When the bucket last changed its owner, and the owner before. */
  readonly movedAt?: number | undefined
  readonly movedFrom?: string | undefined
}

/** Settings of `planBalanceMoves`; the defaults suit the example firms. */
export interface BalanceSettings {
  /** Time for which the keys of a moved bucket are not served. */
  readonly unavailableMilliseconds: number
  /** Cost of one request that arrives meanwhile, in seconds of waiting. */
  readonly unavailablePenaltySeconds: number
  /** Fixed cost of a move (records, caches of the endpoint), in seconds of waiting. */
  readonly churnCostSeconds: number
  /** The gain must be this many times the cost. */
  readonly gainFactor: number
  /** A bucket rests for this time after a move. */
  readonly restMilliseconds: number
  /** A bucket does not return to its former owner within this time. */
  readonly noReturnMilliseconds: number
  /** A flare is expected to last as long as it has lasted so far, up to this time. */
  readonly maximumRemainingMilliseconds: number
  /** Difference in load from which a move is considered. */
  readonly minimumDifference: number
  /** Moves under way at the same time, with those of this plan. */
  readonly maximumMoves: number
}

/** Default settings. */
export const defaultBalanceSettings: BalanceSettings = {
  unavailableMilliseconds: 200,
  unavailablePenaltySeconds: 1,
  churnCostSeconds: 5,
  gainFactor: 2,
  restMilliseconds: 30_000,
  noReturnMilliseconds: 300_000,
  maximumRemainingMilliseconds: 120_000,
  minimumDifference: 0.2,
  maximumMoves: 2
}

/** What the decision is based on. */
export interface BalanceInput {
  /** Clock milliseconds. */
  readonly now: number
  readonly endpoints: readonly EndpointLoad[]
  readonly buckets: readonly BucketLoad[]
  /** True while demand is at or near a peak: nothing moves. */
  readonly crest: boolean
  /** Moves that have not been released yet. */
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

/** Decides which buckets should change their owner now; usually none. */
export function planBalanceMoves (input: BalanceInput): readonly BalanceMove[] {
  const settings = { ...defaultBalanceSettings, ...input.settings }
  if (input.crest) return []
  const loads = new Map(input.endpoints.map(endpoint => [endpoint.endpoint, { ...endpoint, load: offeredLoad(endpoint) }]))
  const moves: BalanceMove[] = []
  const left = settings.maximumMoves - (input.movesUnderWay ?? 0)
  const changed = new Set<string>()
  while (moves.length < left) {
    const open = input.buckets.filter(({ endpoint }) => !changed.has(endpoint))
    const best = bestMove(open, loads, changed, input.now, settings)
    if (best === undefined) break
    moves.push(best)
    // The loads of both endpoints are now only expectations; the next plan has measurements.
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
      // A long job keeps a slot that the load does not show before the job's end.
      if (!target.accepting || target.longJobs > 0 || target === source || changed.has(target.endpoint) || isReturn(bucket, target, now, settings)) continue
      const move = evaluate(bucket, source, target, now, settings)
      if (move !== undefined && netGain(move) > (best === undefined ? 0 : netGain(best))) best = move
    }
  }
  return best
}

function mayMove (bucket: BucketLoad, now: number, { restMilliseconds }: BalanceSettings): boolean {
  return bucket.movedAt === undefined || now - bucket.movedAt >= restMilliseconds
}

function isReturn (bucket: BucketLoad, target: Load, now: number, { noReturnMilliseconds }: BalanceSettings): boolean {
  return bucket.movedFrom === target.endpoint && bucket.movedAt !== undefined && now - bucket.movedAt < noReturnMilliseconds
}

function evaluate (bucket: BucketLoad, source: Load, target: Load, now: number, settings: BalanceSettings): BalanceMove | undefined {
  const moved = bucket.share * source.load
  const arriving = moved * source.slots / target.slots
  if (source.load - target.load < settings.minimumDifference) return undefined
  // Otherwise the overload would only change its place, and the next plan would move it on.
  if (target.load + arriving >= source.load) return undefined
  const before = meanWaiting(source.load, source.slots) + meanWaiting(target.load, target.slots)
  const after = meanWaiting(source.load - moved, source.slots) + meanWaiting(target.load + arriving, target.slots)
  const remaining = Math.min(Math.max(0, now - bucket.hotSince), settings.maximumRemainingMilliseconds)
  const gainSeconds = (before - after) * remaining / 1000
  const affected = bucket.requestsPerSecond * settings.unavailableMilliseconds / 1000
  const costSeconds = affected * settings.unavailablePenaltySeconds + settings.churnCostSeconds
  if (gainSeconds < settings.gainFactor * costSeconds) return undefined
  return { bucket: bucket.bucket, from: source.endpoint, to: target.endpoint, gainSeconds, costSeconds }
}

function netGain ({ gainSeconds, costSeconds }: BalanceMove): number {
  return gainSeconds - costSeconds
}

/** The load that explains both the busy share, which cannot exceed 1, and the queue. */
function offeredLoad ({ busy, queued, slots }: EndpointLoad): number {
  let low = busy
  let high = maximumLoad
  if (meanWaiting(low, slots) >= queued) return busy
  for (let step = 0; step < 20; step++) {
    const middle = (low + high) / 2
    if (meanWaiting(middle, slots) < queued) low = middle
    else high = middle
  }
  return high
}
