import { rangeText, type Holder, type KeyMap, type KeyRange, type Segment, type VmEntry } from './key-map.js'

/** An assignment of keys to another owner. */
export interface RangeMove extends KeyRange {
  readonly pool: string
  readonly owner: Holder
  /** False when the present owner is known to hold nothing, because its process has ended. */
  readonly ownerMayHold: boolean
}

/**
 * Begins to move keys to another owner under a new fencing token. The keys are moving until `settleRange` is called. Throws a
 * RangeError if the range is empty.
 */
export function assignRange (map: KeyMap, move: RangeMove): KeyMap {
  if (move.to < move.from) throw new RangeError(`the range ${rangeText(move)} of the move to ${move.owner.endpoint} is empty`)
  const fence = map.fence + 1
  const before = map.pools[move.pool] ?? []
  const after = before.length === 0
    ? [newSegment(move, fence)]
    : before.flatMap(segment => assignWithin(segment, move, fence))
  // The first assignments of a pool are made one after the other, so a range may not overlap any segment yet.
  const covered = before.some(segment => segment.from <= move.to && segment.to >= move.from)
  const segments = covered || before.length === 0 ? after : [...before, newSegment(move, fence)].sort((one, other) => one.from - other.from)
  return { ...map, fence, pools: { ...map.pools, [move.pool]: segments } }
}

/** Ends a move whose owner has acknowledged its grant. Does nothing if the segment has changed since. */
export function settleRange (map: KeyMap, pool: string, range: KeyRange & { readonly fence: number }): KeyMap {
  const segments = (map.pools[pool] ?? []).map(segment => {
    const same = segment.from === range.from && segment.to === range.to && segment.fence === range.fence
    if (!same) return segment
    const { open, ...settled } = segment
    return { ...settled, moving: false, former: [], handover: '' }
  })
  return { ...map, pools: { ...map.pools, [pool]: segments } }
}

/**
 * Gives all segments one new fencing token, above `least`, without changing their owners. An endpoint that has acknowledged the new token
 * refuses grants that a former leader still sends.
 */
export function raiseFences (map: KeyMap, least = 0): KeyMap {
  const fence = Math.max(map.fence, least) + 1
  const pools = Object.fromEntries(Object.entries(map.pools).map(([pool, segments]) => [pool, segments.map(segment => ({ ...segment, fence }))]))
  return { ...map, fence, pools }
}

/** Gives the settled segments of one endpoint a new fencing token, because the endpoint may have restarted. */
export function raiseFencesOf (map: KeyMap, endpoint: string): KeyMap {
  const fence = map.fence + 1
  const raise = (segment: Segment): Segment => segment.owner.endpoint === endpoint && !segment.moving ? { ...segment, fence } : segment
  return { ...map, fence, pools: Object.fromEntries(Object.entries(map.pools).map(([pool, segments]) => [pool, segments.map(raise)])) }
}

/**
 * Sets `open` on the moving segments with tokens above `fence` for which `isOpen` returns true: a former holder may still
 * accept grants from leaders before the one that began the move.
 */
export function markOpenMoves (map: KeyMap, fence: number, isOpen: (segment: Segment) => boolean): KeyMap {
  const mark = (segment: Segment): Segment => segment.moving && segment.fence > fence && isOpen(segment) ? { ...segment, open: true } : segment
  return { ...map, pools: Object.fromEntries(Object.entries(map.pools).map(([pool, segments]) => [pool, segments.map(mark)])) }
}

/** Joins adjacent settled segments of one owner, so that one grant covers them. They get a new fencing token if theirs differ. */
export function joinSegments (map: KeyMap): KeyMap {
  let { fence } = map
  const pools = Object.fromEntries(Object.entries(map.pools).map(([pool, segments]) => {
    const result: Segment[] = []
    for (const segment of segments) {
      const last = result.at(-1)
      if (last === undefined || !canJoin(last, segment)) result.push(segment)
      else result[result.length - 1] = { ...last, to: segment.to, fence: last.fence === segment.fence ? last.fence : ++fence }
    }
    return [pool, result]
  }))
  return { ...map, fence, pools }
}

/** Replaces the list of VMs. */
export function withVms (map: KeyMap, vms: readonly VmEntry[]): KeyMap {
  return { ...map, vms }
}

function newSegment ({ from, to, owner }: RangeMove, fence: number): Segment {
  return { from, to, owner, fence, moving: true, former: [], handover: '' }
}

function assignWithin (segment: Segment, move: RangeMove, fence: number): Segment[] {
  if (segment.to < move.from || segment.from > move.to) return [segment]
  const pieces: Segment[] = []
  if (segment.from < move.from) pieces.push({ ...segment, to: move.from - 1 })
  pieces.push({
    from: Math.max(segment.from, move.from),
    to: Math.min(segment.to, move.to),
    owner: move.owner,
    fence,
    moving: true,
    former: formerHolders(segment, move),
    handover: ''
  })
  if (segment.to > move.to) pieces.push({ ...segment, from: move.to + 1 })
  return pieces
}

function formerHolders (segment: Segment, { owner, ownerMayHold }: RangeMove): readonly Holder[] {
  const holders = ownerMayHold ? [...segment.former, segment.owner] : segment.former
  const others = holders.filter(holder => holder.endpoint !== owner.endpoint || holder.life !== owner.life)
  return others.filter((holder, index) => others.findIndex(other => other.endpoint === holder.endpoint && other.life === holder.life) === index)
}

function canJoin (one: Segment, other: Segment): boolean {
  return !one.moving && !other.moving && one.to + 1 === other.from &&
    one.owner.endpoint === other.owner.endpoint && one.owner.life === other.owner.life
}
