import { assignRange, type RangeMove } from './edit.js'
import { firstKey, lastKey, sizeOf, type Holder, type KeyMap, type KeyRange, type Segment } from './key-map.js'

/** An endpoint of a pool, which may own keys. */
export interface PoolMember extends Holder {
  readonly slots: number
  /** False while the endpoint drains; its keys then move to other endpoints. */
  readonly accepting: boolean
  /** Number of slots that its present keys keep busy; 0 when not known. */
  readonly busySlots: number
  /** True while a move would leave the endpoint's keys without an owner for a long time; they are not moved then. */
  readonly keepsKeys?: boolean
}

// The keys of a lost endpoint are split among several others, so that none of them gets twice its own load.
const piecesOfLostSegment = 3
// About 1 % of all keys; splitting smaller segments is not worth the additional grants.
const minimumSplitKeys = 512

/** Returns the map in which every key of the pool belongs to a present endpoint, with as few moves as possible. */
export function planMembership (map: KeyMap, pool: string, members: readonly PoolMember[]): KeyMap {
  const accepting = members.filter(member => member.accepting)
  if (accepting.length === 0) return map
  const segments = map.pools[pool] ?? []
  if (segments.length === 0) return assignEvenly(map, pool, accepting)
  return assignToNewMembers(replaceLostOwners(map, pool, members, accepting), pool, accepting)
}

function assignEvenly (map: KeyMap, pool: string, members: readonly PoolMember[]): KeyMap {
  const totalSlots = sum(members, member => member.slots)
  let next = firstKey
  let slotsBefore = 0
  return members.reduce((result, member, index) => {
    slotsBefore += member.slots
    const to = index === members.length - 1 ? lastKey : Math.floor((lastKey + 1) * slotsBefore / totalSlots) - 1
    const from = next
    next = to + 1
    return assignRange(result, { pool, from, to, owner: holderOf(member), ownerMayHold: false })
  }, map)
}

function replaceLostOwners (map: KeyMap, pool: string, members: readonly PoolMember[], accepting: readonly PoolMember[]): KeyMap {
  const byId = new Map(members.map(member => [member.endpoint, member]))
  const load = new LoadEstimate(map, pool, accepting)
  return (map.pools[pool] ?? []).reduce((result, segment) => {
    const member = byId.get(segment.owner.endpoint)
    if ((member?.accepting === true || member?.keepsKeys === true) && member.life === segment.owner.life) return result
    // A later process under the same id proves that the earlier one has ended.
    if (member?.accepting === true && member.life > segment.owner.life) return assignRange(result, { ...segment, pool, owner: holderOf(member), ownerMayHold: false })
    return split(segment, piecesFor(segment, accepting.length)).reduce((next, piece) => {
      const owner = load.leastLoaded(segment.owner.endpoint)
      if (owner === undefined) return next
      load.add(owner, piece)
      return assignRange(next, { ...piece, pool, owner: holderOf(owner), ownerMayHold: true })
    }, result)
  }, map)
}

/** Gives endpoints without keys a share of the keys of the most loaded owners. */
function assignToNewMembers (map: KeyMap, pool: string, accepting: readonly PoolMember[]): KeyMap {
  const owners = new Set((map.pools[pool] ?? []).map(segment => segment.owner.endpoint))
  // An endpoint without keys but with recent demand has just given all its keys away because it was overloaded.
  const newcomers = accepting.filter(member => !owners.has(member.endpoint) && member.busySlots === 0)
  const load = new LoadEstimate(map, pool, accepting)
  return newcomers.reduce((result, newcomer) => {
    const move = moveToNewMember(result, pool, newcomer, load)
    return move === undefined ? result : assignRange(result, move)
  }, map)
}

function moveToNewMember (map: KeyMap, pool: string, newcomer: PoolMember, load: LoadEstimate): RangeMove | undefined {
  const keeping = new Set(load.members.filter(member => member.keepsKeys === true).map(member => member.endpoint))
  const settled = (map.pools[pool] ?? []).filter(segment => !segment.moving && sizeOf(segment) > 1 && !keeping.has(segment.owner.endpoint))
  const donor = load.mostLoaded(new Set(settled.map(segment => segment.owner.endpoint)))
  const largest = settled.filter(segment => segment.owner.endpoint === donor?.endpoint).sort((one, other) => sizeOf(other) - sizeOf(one))[0]
  if (donor === undefined || largest === undefined) return undefined
  const [kept, given] = split(largest, 2) as [KeyRange, KeyRange]
  load.add(donor, kept, load.loadPerSlot(donor) / 2 - load.loadPerSlot(donor))
  load.add(newcomer, given)
  return { ...given, pool, owner: holderOf(newcomer), ownerMayHold: true }
}

/** Expected load of the endpoints while keys are assigned, in busy slots, from the measured work and the number of keys. */
class LoadEstimate {
  readonly members: readonly PoolMember[]
  readonly #load: Map<string, number>
  readonly #perKey: number

  constructor (map: KeyMap, pool: string, members: readonly PoolMember[]) {
    this.members = members
    const keys = new Map<string, number>()
    for (const segment of map.pools[pool] ?? []) keys.set(segment.owner.endpoint, (keys.get(segment.owner.endpoint) ?? 0) + sizeOf(segment))
    const slots = Math.max(1, sum(members, member => member.slots))
    // Keys count as work that has not been measured: all of them together as if they kept half of the slots busy.
    this.#perKey = (sum(members, member => member.busySlots) + slots / 2) / (lastKey + 1)
    this.#load = new Map(members.map(member => [member.endpoint, member.busySlots + (keys.get(member.endpoint) ?? 0) * slots / 2 / (lastKey + 1)]))
  }

  loadPerSlot (member: PoolMember): number {
    return (this.#load.get(member.endpoint) ?? 0) / Math.max(1, member.slots)
  }

  add (member: PoolMember, range: KeyRange, loadPerSlot = sizeOf(range) * this.#perKey / Math.max(1, member.slots)): void {
    this.#load.set(member.endpoint, (this.#load.get(member.endpoint) ?? 0) + loadPerSlot * Math.max(1, member.slots))
  }

  leastLoaded (excluded: string): PoolMember | undefined {
    return this.#sorted().find(member => member.endpoint !== excluded)
  }

  mostLoaded (among: ReadonlySet<string>): PoolMember | undefined {
    return this.#sorted().reverse().find(member => among.has(member.endpoint))
  }

  #sorted (): PoolMember[] {
    return [...this.members].sort((one, other) => this.loadPerSlot(one) - this.loadPerSlot(other))
  }
}

/** Small and moving segments are not split; otherwise successive losses would split the keys down to single ones. */
function piecesFor (segment: Segment, accepting: number): number {
  return segment.moving || sizeOf(segment) < minimumSplitKeys ? 1 : Math.min(piecesOfLostSegment, accepting)
}

function split ({ from, to }: KeyRange, pieces: number): readonly KeyRange[] {
  const count = Math.min(pieces, to - from + 1)
  return Array.from({ length: count }, (_, index) => ({
    from: from + Math.floor((to - from + 1) * index / count),
    to: from + Math.floor((to - from + 1) * (index + 1) / count) - 1
  }))
}

/** Returns only the holder fields of an endpoint. */
export function holderOf ({ endpoint, life, address }: Holder): Holder {
  return { endpoint, life, address }
}

function sum<Item> (items: readonly Item[], value: (item: Item) => number): number {
  return items.reduce((total, item) => total + value(item), 0)
}
