import { assignRange } from './edit.js'
import { holderOf, type PoolMember } from './membership-plan.js'
import { sizeOf, type KeyMap, type KeyRange, type Segment } from './key-map.js'

/** Recent demand for one key. */
export interface KeyDemand {
  readonly key: number
  /** Slots that the demand for the key would keep busy at its present owner. */
  readonly busySlots: number
}

/** Recent demand at one endpoint, whether or not it was met. */
export interface MemberDemand extends PoolMember {
  /** Time for which a request holds a slot there, in milliseconds; 0 when not known. */
  readonly serviceMilliseconds: number
  readonly keys: readonly KeyDemand[]
}

/** Thresholds of `planSpread`, in demand per slot unless stated otherwise. */
export interface SpreadSettings {
  /** An endpoint above this gives keys away. */
  readonly overloaded: number
  /** It gives so much that it is left with this. */
  readonly relievedTo: number
  /** An endpoint takes keys up to this. */
  readonly fillTo: number
  /** Least demand that is worth a move, in slots. */
  readonly leastSlots: number
  /** Most moves of one plan. */
  readonly mostMoves: number
}

/** Defaults: with 2 or 3 slots, waiting exceeds the running time from about 0.85 on. */
export const defaultSpreadSettings: SpreadSettings = { overloaded: 0.85, relievedTo: 0.6, fillTo: 0.7, leastSlots: 0.1, mostMoves: 8 }

interface Candidate extends KeyRange {
  readonly busySlots: number
}

/**
 * Gives keys of overloaded endpoints to endpoints with room, in pieces that fit the takers, so that a run of hot
 * neighbouring keys spreads over several endpoints. Pieces are ends of segments, so the number of segments stays small.
 */
export function planSpread (map: KeyMap, pool: string, members: readonly MemberDemand[], settings: SpreadSettings = defaultSpreadSettings): KeyMap {
  const takers = new Takers(members.filter(member => member.accepting), settings)
  const overloaded = members
    .filter(member => demandPerSlot(member) > settings.overloaded)
    .sort((one, other) => demandPerSlot(other) - demandPerSlot(one))
  let result = map
  let moves = 0
  for (const member of overloaded) {
    let excess = member.busySlots - settings.relievedTo * member.slots
    while (excess > settings.leastSlots && moves < settings.mostMoves) {
      const taker = takers.best(member)
      if (taker === undefined) return result
      const piece = nextPiece(result, pool, member, Math.min(excess, taker.room))
      if (piece === undefined) break
      result = assignRange(result, { ...piece, pool, owner: holderOf(taker.member), ownerMayHold: true })
      takers.take(taker.member, piece.busySlots * taker.costRatio)
      excess -= piece.busySlots
      moves++
    }
  }
  return result
}

function demandPerSlot (member: MemberDemand): number {
  return member.busySlots / Math.max(1, member.slots)
}

interface Taker {
  readonly member: MemberDemand
  /** Demand that still fits, in slots of the giver. */
  readonly room: number
  /** Slots that the taker needs for what keeps one slot of the giver busy. */
  readonly costRatio: number
}

class Takers {
  readonly #members: readonly MemberDemand[]
  readonly #settings: SpreadSettings
  readonly #taken = new Map<string, number>()

  constructor (members: readonly MemberDemand[], settings: SpreadSettings) {
    this.#members = members
    this.#settings = settings
  }

  /** The member with the most room for demand of the giver. */
  best (giver: MemberDemand): Taker | undefined {
    const takers = this.#members
      .filter(member => member.endpoint !== giver.endpoint)
      .map(member => this.#taker(member, giver))
      .filter(taker => taker.room >= this.#settings.leastSlots)
    return takers.sort((one, other) => other.room - one.room)[0]
  }

  take (member: MemberDemand, slots: number): void {
    this.#taken.set(member.endpoint, (this.#taken.get(member.endpoint) ?? 0) + slots)
  }

  #taker (member: MemberDemand, giver: MemberDemand): Taker {
    const known = member.serviceMilliseconds > 0 && giver.serviceMilliseconds > 0
    const costRatio = known ? member.serviceMilliseconds / giver.serviceMilliseconds : 1
    const free = this.#settings.fillTo * member.slots - member.busySlots - (this.#taken.get(member.endpoint) ?? 0)
    return { member, room: free / costRatio, costRatio }
  }
}

/** The end of a segment of the member with the most demand that stays within the limit. */
function nextPiece (map: KeyMap, pool: string, member: MemberDemand, mostSlots: number): Candidate | undefined {
  const segments = (map.pools[pool] ?? []).filter(segment => !segment.moving && segment.owner.endpoint === member.endpoint)
  const edges = segments.flatMap(segment => edgeRuns(segment, member.keys, mostSlots).filter(edge => segments.length > 1 || sizeOf(edge) < sizeOf(segment)))
  return edges.sort((one, other) => other.busySlots - one.busySlots)[0]
}

/** Both ends of a segment with as much demand as fits, and the whole segment when that fits: a move cuts a segment once. */
function edgeRuns (segment: Segment, keys: readonly KeyDemand[], mostSlots: number): Candidate[] {
  const inside = keys.filter(({ key }) => key >= segment.from && key <= segment.to).sort((one, other) => one.key - other.key)
  const candidates: Candidate[] = []
  const first = fitting(inside, mostSlots)
  const next = inside[first.count]
  if (first.count > 0) candidates.push({ from: segment.from, to: next === undefined ? segment.to : next.key - 1, busySlots: first.busySlots })
  const last = fitting([...inside].reverse(), mostSlots)
  const before = inside[inside.length - 1 - last.count]
  if (last.count > 0) candidates.push({ from: before === undefined ? segment.from : before.key + 1, to: segment.to, busySlots: last.busySlots })
  return candidates
}

/** How many keys from the start on fit into the demand. */
function fitting (keys: readonly KeyDemand[], mostSlots: number): { readonly count: number, readonly busySlots: number } {
  let busySlots = 0
  let count = 0
  for (const { busySlots: demand } of keys) {
    if (busySlots + demand > mostSlots) break
    busySlots += demand
    count++
  }
  return { count, busySlots }
}
