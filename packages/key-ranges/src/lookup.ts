import type { Holder, KeyMap, KeyRange, Segment } from './key-map.js'

/** Returns the segment of a key, or undefined when the pool has no assignment. */
export function segmentAt (map: KeyMap, pool: string, key: number): Segment | undefined {
  const segments = map.pools[pool] ?? []
  let low = 0
  let high = segments.length - 1
  while (low <= high) {
    const middle = (low + high) >> 1
    const segment = segments[middle] as Segment
    if (key < segment.from) high = middle - 1
    else if (key > segment.to) low = middle + 1
    else return segment
  }
  return undefined
}

/** Returns the segments that overlap a range. */
export function segmentsIn (map: KeyMap, pool: string, { from, to }: KeyRange): readonly Segment[] {
  return (map.pools[pool] ?? []).filter(segment => segment.from <= to && segment.to >= from)
}

/** Returns all processes that may hold keys of a segment: its owner and the former holders. */
export function holdersOf (segment: Segment): readonly Holder[] {
  return [segment.owner, ...segment.former]
}
