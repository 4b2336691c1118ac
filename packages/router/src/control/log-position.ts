import type { TopicState } from './state-topic.js'

// Positions stay exact integers up to era 32,767.
const offsetsOfEra = 2 ** 38
const fencesOfEra = 2 ** 32

/**
 * Returns the position of an offset. A log that comes back from an older copy begins a new era, in which it gives out offsets again. Positions of a
 * later era are higher than all earlier ones.
 */
export function logPosition (era: number, offset: number): number {
  return era * offsetsOfEra + offset
}

/** Returns the era of a position. */
export function eraOf (position: number): number {
  return Math.floor(position / offsetsOfEra)
}

/** Returns the offset of a position in its era. */
export function offsetOf (position: number): number {
  return position % offsetsOfEra
}

/** Returns the fencing token above which the tokens of an era begin. Those of earlier eras, which the log may have lost, are lower. */
export function firstFenceOf (era: number): number {
  return era * fencesOfEra
}

/** Whether one key map replaces another. The map in a log that went back is older than one that a VM holds unless its token is higher. */
export function isNewerKeyMap (one: TopicState<{ readonly fence: number }>, other: TopicState<{ readonly fence: number }>): boolean {
  if (one.position < other.position) return false
  const isLaterWrite = one.position > other.position && eraOf(one.position) === eraOf(other.position)
  return one.state.fence > other.state.fence || (isLaterWrite && one.state.fence === other.state.fence)
}
