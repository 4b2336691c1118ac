import { assignRange } from './edit.js'
import { holderOf, type PoolMember } from './membership-plan.js'
import type { KeyMap, KeyRange, Segment } from './key-map.js'

/** Recent demand for one key. */
export interface KeyDemand {
  readonly key: number
  /** Number of slots that the demand for the key keeps busy at its present owner, or would if there were enough slots. */
  readonly busySlots: number
}

/** Recent demand at one endpoint, including demand that exceeded its slots. An endpoint with a limit may have a fraction of a slot. */
export interface MemberDemand extends PoolMember {
  /** Time for which a request occupies a slot of the endpoint, in milliseconds; 0 when not known. */
  readonly serviceMilliseconds: number
  readonly keys: readonly KeyDemand[]
}

/** Adds up the demand for keys that stand in the list more than once, for example because two VMs reported them. */
export function mergeKeyDemand (keys: readonly KeyDemand[]): readonly KeyDemand[] {
  const busySlots = new Map<number, number>()
  for (const demand of keys) busySlots.set(demand.key, (busySlots.get(demand.key) ?? 0) + demand.busySlots)
  return busySlots.size === keys.length ? keys : [...busySlots].map(([key, busy]) => ({ key, busySlots: busy }))
}

/** Thresholds of `planSpread`, in busy slots per slot of the endpoint unless stated otherwise. */
export interface SpreadSettings {
  /** An endpoint with more demand than this is overloaded and gives keys away. */
  readonly overloadThreshold: number
  /** Demand that an overloaded endpoint keeps. */
  readonly relievedDemand: number
  /** An endpoint receives keys up to this demand. */
  readonly maximumTargetDemand: number
  /** Minimum demand that justifies a move, in busy slots. */
  readonly minimumMoveSlots: number
  /** Minimum demand by which a move that overloads its target increases what is served, in busy slots. */
  readonly minimumGainSlots: number
  /** Maximum number of moves in one plan, as a share of the endpoints of the pool, and for small pools. */
  readonly maximumMoveShare: number
  readonly maximumMoves: number
}

/** Default thresholds. With 2 or 3 slots, the waiting time exceeds the running time from a demand of about 0.85 per slot on. */
export const defaultSpreadSettings: SpreadSettings = { overloadThreshold: 0.85, relievedDemand: 0.6, maximumTargetDemand: 0.7, minimumMoveSlots: 0.1, minimumGainSlots: 0.25, maximumMoveShare: 0.2, maximumMoves: 8 }

interface Piece extends KeyRange {
  readonly busySlots: number
}

/**
 * Moves keys from overloaded endpoints to others, in pieces that fit into their free capacity, so that a contiguous range of hot keys is
 * spread over several endpoints. What fits nowhere is moved to the least loaded endpoints if more is served in all, for example
 * when each of some neighbouring keys needs most of an endpoint. Pieces are cut off the ends of segments to keep the number of
 * segments small.
 */
export function planSpread (map: KeyMap, pool: string, members: readonly MemberDemand[], settings: SpreadSettings = defaultSpreadSettings): KeyMap {
  const targets = new TargetCapacities(members.filter(member => member.accepting), settings)
  const overloaded = members
    .filter(member => demandPerSlot(member) > settings.overloadThreshold)
    .map(member => ({ ...member, keys: mergeKeyDemand(member.keys) }))
    .sort((one, other) => demandPerSlot(other) - demandPerSlot(one))
  let remainingMoves = Math.max(settings.maximumMoves, Math.floor(settings.maximumMoveShare * members.length))
  let result = map
  for (const member of overloaded) {
    let { busySlots } = member
    while (remainingMoves > 0) {
      const move = fittingMove(result, pool, { ...member, busySlots }, targets, settings) ?? overloadingMove(result, pool, { ...member, busySlots }, targets, settings)
      if (move === undefined) break
      const { piece, target } = move
      result = assignRange(result, { from: piece.from, to: piece.to, pool, owner: holderOf(target.member), ownerMayHold: true })
      targets.reserve(target.member, piece.busySlots * target.costRatio)
      busySlots -= piece.busySlots
      remainingMoves--
    }
  }
  return result
}

interface Move {
  readonly piece: Piece
  readonly target: Target
}

/** Returns a move of the largest piece that fits into the free capacity of the target with the most of it. */
function fittingMove (map: KeyMap, pool: string, member: MemberDemand, targets: TargetCapacities, settings: SpreadSettings): Move | undefined {
  const excess = member.busySlots - settings.relievedDemand * member.slots
  // A limit may leave an endpoint less than the minimum demand that otherwise justifies a move.
  if (excess <= Math.min(settings.minimumMoveSlots, member.slots / 2)) return undefined
  const target = targets.mostFree(member)
  if (target === undefined) return undefined
  const piece = largestPiece(map, pool, member, Math.min(excess, target.freeSlots))
  return piece === undefined ? undefined : { piece, target }
}

/** Returns a move of the hottest key at the end of a segment if it increases the demand that the two endpoints can serve in all. */
function overloadingMove (map: KeyMap, pool: string, member: MemberDemand, targets: TargetCapacities, settings: SpreadSettings): Move | undefined {
  if (member.busySlots <= member.slots) return undefined
  const target = targets.leastLoaded(member)
  const piece = largestPiece(map, pool, member, 0)
  if (target === undefined || piece === undefined) return undefined
  const served = (busySlots: number): number => Math.min(busySlots, member.slots)
  const servedAfter = served(member.busySlots - piece.busySlots) + Math.min(piece.busySlots, target.unusedSlots)
  return servedAfter - served(member.busySlots) >= settings.minimumGainSlots ? { piece, target } : undefined
}

// An endpoint that takes nothing at all would otherwise be overloaded without limit.
const minimumSlots = 0.01

function demandPerSlot (member: MemberDemand): number {
  return member.busySlots / Math.max(minimumSlots, member.slots)
}

interface Target {
  readonly member: MemberDemand
  /** Demand that the endpoint can still receive, in busy slots at the source. */
  readonly freeSlots: number
  /** Slots that no demand uses, in busy slots at the source. */
  readonly unusedSlots: number
  /** Busy slots at this endpoint for demand that keeps one slot of the source busy. */
  readonly costRatio: number
}

/** Free capacity of the endpoints that may receive keys, less what the plan has already assigned to them. */
class TargetCapacities {
  readonly #members: readonly MemberDemand[]
  readonly #settings: SpreadSettings
  readonly #reserved = new Map<string, number>()

  constructor (members: readonly MemberDemand[], settings: SpreadSettings) {
    this.#members = members
    this.#settings = settings
  }

  /** The endpoint with the most free capacity for demand of the source. */
  mostFree (source: MemberDemand): Target | undefined {
    return this.#best(source, target => target.freeSlots, this.#settings.minimumMoveSlots)
  }

  /** The endpoint with the most slots that no demand uses. */
  leastLoaded (source: MemberDemand): Target | undefined {
    return this.#best(source, target => target.unusedSlots, this.#settings.minimumGainSlots)
  }

  reserve (member: MemberDemand, slots: number): void {
    this.#reserved.set(member.endpoint, (this.#reserved.get(member.endpoint) ?? 0) + slots)
  }

  #best (source: MemberDemand, value: (target: Target) => number, minimum: number): Target | undefined {
    let best: Target | undefined
    for (const member of this.#members) {
      if (member.endpoint === source.endpoint) continue
      const target = this.#target(member, source)
      if (value(target) >= minimum && (best === undefined || value(target) > value(best))) best = target
    }
    return best
  }

  #target (member: MemberDemand, source: MemberDemand): Target {
    const known = member.serviceMilliseconds > 0 && source.serviceMilliseconds > 0
    const costRatio = known ? member.serviceMilliseconds / source.serviceMilliseconds : 1
    const busy = member.busySlots + (this.#reserved.get(member.endpoint) ?? 0)
    return { member, freeSlots: (this.#settings.maximumTargetDemand * member.slots - busy) / costRatio, unusedSlots: (member.slots - busy) / costRatio, costRatio }
  }
}

/**
 * Returns the piece with the most demand within the limit, among the ends of all settled segments of the endpoint; it keeps
 * at least one key with demand of its only segment. With a limit of 0, the pieces have one key with demand each.
 */
function largestPiece (map: KeyMap, pool: string, member: MemberDemand, maximumSlots: number): Piece | undefined {
  const segments = (map.pools[pool] ?? []).filter(segment => !segment.moving && segment.owner.endpoint === member.endpoint)
  const pieces = segments.flatMap(segment => edgePieces(segment, member.keys, maximumSlots, segments.length === 1))
  return pieces.sort((one, other) => other.busySlots - one.busySlots)[0]
}

/**
 * Returns the largest pieces within the limit at both ends of a segment, so that a move splits a segment at most once. The whole
 * segment is returned if its demand is within the limit, unless a key is to be kept.
 */
function edgePieces (segment: Segment, keys: readonly KeyDemand[], maximumSlots: number, keepsKey: boolean): Piece[] {
  const inside = keys.filter(({ key }) => key >= segment.from && key <= segment.to).sort((one, other) => one.key - other.key)
  const mostKeys = keepsKey ? inside.length - 1 : inside.length
  const pieces: Piece[] = []
  const first = longestPrefix(inside.slice(0, mostKeys), maximumSlots)
  const next = inside[first.count]
  if (first.count > 0) pieces.push({ from: segment.from, to: next === undefined ? segment.to : next.key - 1, busySlots: first.busySlots })
  const last = longestPrefix([...inside].reverse().slice(0, mostKeys), maximumSlots)
  const before = inside[inside.length - 1 - last.count]
  if (last.count > 0) pieces.push({ from: before === undefined ? segment.from : before.key + 1, to: segment.to, busySlots: last.busySlots })
  return pieces
}

/** Returns how many of the first keys fit within the limit, and their demand; with a limit of 0, the first key. */
function longestPrefix (keys: readonly KeyDemand[], maximumSlots: number): { readonly count: number, readonly busySlots: number } {
  const [only] = keys
  if (maximumSlots === 0) return only === undefined ? { count: 0, busySlots: 0 } : { count: 1, busySlots: only.busySlots }
  let busySlots = 0
  let count = 0
  for (const { busySlots: demand } of keys) {
    if (busySlots + demand > maximumSlots) break
    busySlots += demand
    count++
  }
  return { count, busySlots }
}
