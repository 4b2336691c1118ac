import { BriarsaddleError } from '@briarsaddle/common'
import { firstKey, lastKey, rangeText, type Holder, type KeyMap, type KeyRange, type Segment } from './key-map.js'
import { holdersOf } from './lookup.js'

/**
 * Returns what is wrong with the segments of a map, in words: empty ranges, keys without a segment and keys in several. A pool
 * without any segment is valid; its keys are not assigned yet.
 */
export function layoutProblems (map: KeyMap): readonly string[] {
  return Object.entries(map.pools).flatMap(([pool, segments]) => segments.length === 0 ? [] : problemsOf(pool, segments))
}

/** Throws `key_map_invalid` if a pool of the map does not have every key in exactly one segment. */
export function checkLayout (map: KeyMap): void {
  const problems = layoutProblems(map)
  if (problems.length > 0) throw new BriarsaddleError(`invalid key map: ${problems.join('; ')}`, { code: 'key_map_invalid', step: 'check key map' })
}

/**
 * Returns a map with a valid layout. Empty ranges are dropped. Keys in several segments or in none become moving segments under
 * a new fencing token, with everyone who may hold them as a former holder, so that they get no requests before these have
 * released them. A valid map is returned as it is.
 */
export function repairLayout (map: KeyMap): KeyMap {
  const repairs = layoutProblems(map)
  if (repairs.length === 0) return map
  const fence = map.fence + 1
  const pools = Object.fromEntries(Object.entries(map.pools).map(([pool, segments]) => [pool, repairSegments(segments, fence)]))
  return { ...map, fence, pools, repairs }
}

function problemsOf (pool: string, segments: readonly Segment[]): string[] {
  const problems = segments.filter(isEmpty).map(segment => `pool ${pool}: segment ${rangeText(segment)} is empty`)
  for (const { range, covering } of coverage(segments)) {
    if (covering.length === 0) problems.push(`pool ${pool}: no segment contains the keys ${rangeText(range)}`)
    else if (covering.length > 1) problems.push(`pool ${pool}: the keys ${rangeText(range)} are in more than one segment`)
  }
  // Lookups search the segments by halves.
  if (problems.length === 0 && !segments.every((segment, index) => index === 0 || segment.from > (segments[index - 1] as Segment).from)) problems.push(`pool ${pool}: the segments are not in the order of their keys`)
  return problems
}

function repairSegments (segments: readonly Segment[], fence: number): readonly Segment[] {
  const result: Segment[] = []
  for (const { range, covering } of coverage(segments)) {
    const last = result.at(-1)
    const only = covering.length === 1 ? covering[0] : undefined
    if (only === undefined) result.push(unsettled(range, covering, segments, fence, last))
    else if (last !== undefined && sameExceptRange(last, only)) result[result.length - 1] = { ...last, to: range.to }
    else result.push({ ...only, ...range })
  }
  return result
}

/** Returns a moving segment for keys whose holders are not certain. */
function unsettled (range: KeyRange, covering: readonly Segment[], all: readonly Segment[], fence: number, before: Segment | undefined): Segment {
  const newest = [...covering].sort((one, other) => other.fence - one.fence)[0] ?? before ?? all[0] as Segment
  const possible = (covering.length > 0 ? covering : all).flatMap(holdersOf)
  const former = possible.filter((holder, index) => !sameHolder(holder, newest.owner) && possible.findIndex(other => sameHolder(other, holder)) === index)
  return { ...range, owner: newest.owner, fence, moving: true, former, open: true, handover: '' }
}

interface Covered {
  readonly range: KeyRange
  readonly covering: readonly Segment[]
}

/** Divides all keys into ranges within which the same segments contain every key. */
function coverage (segments: readonly Segment[]): readonly Covered[] {
  const filled = segments.filter(segment => !isEmpty(segment)).sort((one, other) => one.from - other.from)
  const starts = [...new Set([firstKey, ...filled.flatMap(({ from, to }) => [from, to + 1])])].filter(start => start <= lastKey).sort((one, other) => one - other)
  let next = 0
  let open: Segment[] = []
  return starts.map((from, index) => {
    open = open.filter(segment => segment.to >= from)
    for (; next < filled.length && (filled[next] as Segment).from <= from; next++) open.push(filled[next] as Segment)
    return { range: { from, to: (starts[index + 1] ?? lastKey + 1) - 1 }, covering: open }
  })
}

function isEmpty ({ from, to }: KeyRange): boolean {
  return to < from
}

function sameHolder (one: Holder, other: Holder): boolean {
  return one.endpoint === other.endpoint && one.life === other.life
}

function sameExceptRange (one: Segment, other: Segment): boolean {
  return one.to >= other.from - 1 && one.fence === other.fence && one.moving === other.moving && one.former === other.former && sameHolder(one.owner, other.owner)
}
