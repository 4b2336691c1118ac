import { bucketsPerPool } from './control-state.js'
import type { BucketState, ControlState } from './control-state.js'
import type { RecordOfKind } from './records.js'

/** The bucket moves of an `assignment` record. */
export type Moves = RecordOfKind<'assignment'>['moves']

/** Maximum number of pending buckets up to which buckets are moved for balance, so that few keys are unavailable at once. */
export const defaultMaximumBalanceMoves = 16

/** Input of `planAssignment`. */
export interface PlanRequest {
  readonly state: ControlState
  readonly pool: string
  /** Ids of the available endpoints: listed, responding and not suspected. */
  readonly endpoints: Iterable<string>
  /** Available endpoints that keep their buckets but should not receive more, for example because they are overloaded. */
  readonly avoid?: ReadonlySet<string>
  readonly maximumBalanceMoves?: number
}

/** A bucket with its fencing token. */
export interface FencedBucket {
  readonly bucket: number
  readonly token: number
}

/**
 * Plans the next assignment of a pool with as few moves as possible. Returns no moves when nothing should change.
 * All buckets that have no owner or whose owner is lost or leaving move at once. If there are none, a limited number of
 * buckets moves from the most loaded to the least loaded endpoint. The result depends only on the input.
 */
export function planAssignment (request: PlanRequest): Moves {
  const { state, pool } = request
  const owners = [...new Set(request.endpoints)].filter(id => canOwn(state, pool, id)).sort()
  const preferred = owners.filter(id => request.avoid?.has(id) !== true)
  const receivers = preferred.length > 0 ? preferred : owners
  if (receivers.length === 0) return []
  const buckets = state.pools.get(pool)?.buckets ?? new Array<undefined>(bucketsPerPool).fill(undefined)
  const loads = new Map(owners.map(id => [id, 0]))
  for (const bucket of buckets) {
    const load = loads.get(bucket?.owner ?? '')
    if (bucket !== undefined && load !== undefined) loads.set(bucket.owner, load + 1)
  }
  const moves = planOwnerless(buckets, loads, receivers)
  return moves.length > 0 ? moves : planBalance(buckets, loads, receivers, request.maximumBalanceMoves ?? defaultMaximumBalanceMoves)
}

function canOwn (state: ControlState, pool: string, id: string): boolean {
  const endpoint = state.endpoints.get(id)
  return endpoint !== undefined && !endpoint.leaving && endpoint.description.pool === pool
}

function planOwnerless (buckets: ReadonlyArray<BucketState | undefined>, loads: Map<string, number>, receivers: readonly string[]): Moves {
  const moves: Array<Moves[number]> = []
  for (const [index, bucket] of buckets.entries()) {
    if (bucket !== undefined && loads.has(bucket.owner)) continue
    // A bucket that returns to the endpoint that still holds it needs no release and is available at once.
    const former = bucket?.pendingFrom
    const to = former !== undefined && receivers.includes(former) ? former : leastLoaded(receivers, loads)
    moves.push({ bucket: index, to })
    changeLoad(loads, to, 1)
  }
  return moves
}

function planBalance (buckets: ReadonlyArray<BucketState | undefined>, loads: Map<string, number>, receivers: readonly string[], maximumMoves: number): Moves {
  const movable = new Map<string, number[]>()
  let budget = maximumMoves
  for (const [index, bucket] of buckets.entries()) {
    if (bucket === undefined) continue
    const list = movable.get(bucket.owner)
    if (bucket.pendingFrom !== undefined) budget--
    else if (list === undefined) movable.set(bucket.owner, [index])
    else list.push(index)
  }
  const moves: Array<Moves[number]> = []
  while (moves.length < budget) {
    const to = leastLoaded(receivers, loads)
    const from = mostLoaded(loads, movable)
    // Moving a bucket over a difference of one would only swap the two loads, and buckets would move back and forth.
    if (from === undefined || (loads.get(from) ?? 0) - (loads.get(to) ?? 0) <= 1) break
    const bucket = movable.get(from)?.pop()
    if (bucket === undefined) break
    moves.push({ bucket, to })
    changeLoad(loads, from, -1)
    changeLoad(loads, to, 1)
  }
  return moves
}

function leastLoaded (ids: readonly string[], loads: ReadonlyMap<string, number>): string {
  return ids.reduce((best, id) => (loads.get(id) ?? 0) < (loads.get(best) ?? 0) ? id : best)
}

function mostLoaded (loads: ReadonlyMap<string, number>, movable: ReadonlyMap<string, readonly number[]>): string | undefined {
  let best: string | undefined
  for (const [id, load] of loads) {
    if ((movable.get(id)?.length ?? 0) > 0 && (best === undefined || load > (loads.get(best) ?? 0))) best = id
  }
  return best
}

function changeLoad (loads: Map<string, number>, id: string, change: number): void {
  loads.set(id, (loads.get(id) ?? 0) + change)
}

/** The buckets that the coordinator of an endpoint may grant to it: owned by the endpoint and not pending. */
export function grantableBuckets (state: ControlState, endpoint: string): readonly FencedBucket[] {
  return selectBuckets(state, endpoint, bucket => bucket.owner === endpoint && bucket.pendingFrom === undefined)
}

/** The buckets that an endpoint may still hold and must release, each with the token of the assignment that moved it away. */
export function bucketsToRelease (state: ControlState, endpoint: string): readonly FencedBucket[] {
  return selectBuckets(state, endpoint, bucket => bucket.pendingFrom === endpoint)
}

function selectBuckets (state: ControlState, endpoint: string, wanted: (bucket: BucketState) => boolean): readonly FencedBucket[] {
  const pool = state.endpoints.get(endpoint)?.description.pool
  const found: FencedBucket[] = []
  state.pools.get(pool ?? '')?.buckets.forEach((bucket, index) => {
    if (bucket !== undefined && wanted(bucket)) found.push({ bucket: index, token: bucket.token })
  })
  return found
}
