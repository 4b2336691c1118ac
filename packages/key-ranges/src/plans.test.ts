import { expect } from 'chai'
import { settleRange } from './edit.js'
import { emptyKeyMap, lastKey, sizeOf, type KeyMap } from './key-map.js'
import { segmentAt } from './lookup.js'
import { planMembership, type PoolMember } from './membership-plan.js'
import { planSpread, type MemberDemand } from './spread-plan.js'

const pool = 'ponds'

function member (endpoint: string, fields: Partial<PoolMember> = {}): PoolMember {
  return { endpoint, life: 1, address: '127.0.0.1:1', slots: 2, accepting: true, busySlots: 0.4, ...fields }
}

function demand (endpoint: string, fields: Partial<MemberDemand> = {}): MemberDemand {
  return { ...member(endpoint), serviceMilliseconds: 100, keys: [], ...fields }
}

function settled (map: KeyMap): KeyMap {
  return (map.pools[pool] ?? []).reduce((result, segment) => settleRange(result, pool, segment), map)
}

function assigned (...endpoints: string[]): KeyMap {
  return settled(planMembership(emptyKeyMap, pool, endpoints.map(endpoint => member(endpoint))))
}

function ownersOf (map: KeyMap): ReadonlyMap<string, number> {
  const sizes = new Map<string, number>()
  for (const segment of map.pools[pool] ?? []) sizes.set(segment.owner.endpoint, (sizes.get(segment.owner.endpoint) ?? 0) + sizeOf(segment))
  return sizes
}

describe('Plans for the owners of keys', () => {
  it('changes nothing while every owner is present, so that keys do not move without need', () => {
    const map = assigned('a', 'b', 'c')
    expect(planMembership(map, pool, [member('a'), member('b'), member('c')])).to.equal(map)
  })

  it('splits the keys of a lost endpoint among several others, so that none of these gets twice its load', () => {
    const after = planMembership(assigned('a', 'b', 'c', 'd'), pool, [member('b'), member('c'), member('d')])
    const moving = (after.pools[pool] ?? []).filter(segment => segment.moving)
    expect(new Set(moving.map(segment => segment.owner.endpoint))).to.have.keys('b', 'c', 'd')
    for (const segment of moving) expect(segment.former.map(former => former.endpoint)).to.deep.equal(['a'])
  })

  // Guards against ever more segments when endpoints are lost before the moves of the previous loss are settled.
  it('does not split the keys into ever smaller segments while endpoints are lost one after another', () => {
    const endpoints = Array.from({ length: 20 }, (_, index) => `e${index}`)
    let map = assigned(...endpoints)
    for (let round = 1; round < 40; round++) {
      const away = new Set([`e${round % 20}`, `e${(round + 7) % 20}`, `e${(round * 3) % 20}`])
      map = planMembership(map, pool, endpoints.filter(endpoint => !away.has(endpoint)).map(endpoint => member(endpoint)))
      if (round % 3 === 0) map = settled(map)
    }
    expect(map.pools[pool]?.length).to.be.at.most(400)
  })

  it('waits for no former holder when an endpoint has restarted under its id', () => {
    const after = planMembership(assigned('a', 'b'), pool, [member('a', { life: 2 }), member('b')])
    const segment = segmentAt(after, pool, 0)
    expect(segment).to.deep.include({ moving: true, former: [] })
    expect(segment?.owner.life).to.equal(2)
  })

  it('gives a share of the keys to a new endpoint, but not to one that has just given away all its keys', () => {
    const map = assigned('a', 'b')
    expect(ownersOf(planMembership(map, pool, [member('a'), member('b'), member('new', { busySlots: 0 })])).get('new')).to.be.greaterThan(10_000)
    expect(planMembership(map, pool, [member('a'), member('b'), member('relieved', { busySlots: 1 })])).to.equal(map)
  })

  // Guards against an overloaded endpoint when a contiguous range of keys gets a large share of the requests, for example the
  // ponds of one club at opening time.
  it('spreads a contiguous range of hot keys over several endpoints, in few pieces', () => {
    const endpoints = ['a', 'b', 'c', 'd', 'e']
    const map = assigned(...endpoints)
    const start = 5_000
    const keys = Array.from({ length: 60 }, (_, index) => ({ key: start + index, busySlots: 4 / 60 }))
    const members = endpoints.map(endpoint => endpoint === 'a' ? demand('a', { busySlots: 4.4, keys }) : demand(endpoint))
    const after = planSpread(map, pool, members)
    const moving = (after.pools[pool] ?? []).filter(segment => segment.moving)
    expect(new Set(moving.map(segment => segment.owner.endpoint)).size).to.be.at.least(3)
    expect(after.pools[pool]?.length).to.be.at.most(2 * endpoints.length)
    const left = keys.filter(({ key }) => segmentAt(after, pool, key)?.owner.endpoint === 'a').reduce((sum, key) => sum + key.busySlots, 0.4)
    expect(left).to.be.at.most(1.8)
  })

  // The pattern: at the opening hour of some clubs, 40 % of the lookups ask for 60 neighbouring keys. With hundreds of endpoints
  // each of these keys alone needs most of an endpoint, and all of them begin at one or two owners.
  it('spreads neighbouring keys each of which needs more than any endpoint has free, all at once (callers refused while other endpoints have slots)', () => {
    const endpoints = Array.from({ length: 400 }, (_, index) => `e${index}`)
    const map = assigned(...endpoints)
    const hotKeys = Array.from({ length: 60 }, (_, index) => ({ key: 20_000 + index, busySlots: 1.5 }))
    const coldSlots = 0.9
    const demandOf = (owners: KeyMap, endpoint: string): number => coldSlots + hotKeys.filter(({ key }) => segmentAt(owners, pool, key)?.owner.endpoint === endpoint).reduce((sum, key) => sum + key.busySlots, 0)
    const served = (owners: KeyMap): number => endpoints.reduce((sum, endpoint) => sum + Math.min(2, demandOf(owners, endpoint)), 0)
    const plan = (owners: KeyMap): KeyMap => planSpread(owners, pool, endpoints.map(endpoint => {
      const busySlots = demandOf(owners, endpoint)
      return demand(endpoint, { busySlots, keys: hotKeys.filter(({ key }) => segmentAt(owners, pool, key)?.owner.endpoint === endpoint) })
    }))
    const offered = 400 * coldSlots + 60 * 1.5
    expect(served(map) / offered, 'before').to.be.below(0.82)
    const after = settled(plan(map))
    expect(served(after) / offered, 'after one plan').to.be.at.least(0.9)
    const later = settled(plan(after))
    expect(served(later) / offered, 'after two plans').to.be.at.least(0.93)
    const moved = Array.from({ length: lastKey + 1 }, (_, key) => segmentAt(map, pool, key)?.owner.endpoint === segmentAt(later, pool, key)?.owner.endpoint ? 0 : 1).reduce<number>((sum, one) => sum + one, 0)
    expect(moved, 'keys that changed hands').to.be.below(2_000)
  })

  it('moves most keys away from an endpoint whose limit leaves it a fraction of a slot, and gives it none', () => {
    const map = assigned('a', 'b', 'c')
    const keys = Array.from({ length: 20 }, (_, index) => ({ key: 100 + index, busySlots: 0.04 }))
    const limited = demand('a', { slots: 0.2, busySlots: 0.8, keys })
    const after = planSpread(map, pool, [limited, demand('b'), demand('c')])
    const left = keys.filter(({ key }) => segmentAt(after, pool, key)?.owner.endpoint === 'a').length * 0.04
    expect(left).to.be.at.most(0.2)
    const hot = Array.from({ length: 20 }, (_, index) => ({ key: 30_000 + index, busySlots: 0.1 }))
    const relieved = planSpread(map, pool, [demand('a', { slots: 0.2, busySlots: 0.1 }), demand('b', { busySlots: 2, keys: hot }), demand('c', { busySlots: 1.9 })])
    expect(hot.every(({ key }) => segmentAt(relieved, pool, key)?.owner.endpoint !== 'a')).to.equal(true)
  })

  // Guards against callers that are refused because the demand that a limit excludes is small compared with whole slots.
  it('moves keys away from an endpoint whose limit is far below a demand of less than a tenth of a slot', () => {
    const keys = Array.from({ length: 20 }, (_, index) => ({ key: 100 + index, busySlots: 0.004 }))
    const after = planSpread(assigned('a', 'b'), pool, [demand('a', { slots: 0.005, busySlots: 0.08, keys }), demand('b')])
    expect(keys.filter(({ key }) => segmentAt(after, pool, key)?.owner.endpoint === 'a').length).to.be.at.most(1)
  })

  // Guards against callers that are refused because the demand that another endpoint has slots for fits in one piece, the only range.
  it('moves all keys but one away from an endpoint with hardly any slots, also when all of them would fit elsewhere', () => {
    const keys = [{ key: 100, busySlots: 0.0625 }, { key: 200, busySlots: 0.0625 }, { key: 300, busySlots: 0.0625 }]
    const after = planSpread(assigned('a', 'b'), pool, [demand('a', { slots: 0, busySlots: 0.1875, keys }), demand('b')])
    expect(keys.filter(({ key }) => segmentAt(after, pool, key)?.owner.endpoint === 'a')).to.have.length(1)
  })

  it('does not move a key to an endpoint that could serve no more of it than its present owner', () => {
    const map = assigned('a', 'b')
    const keys = [{ key: 10, busySlots: 1.2 }, { key: 20, busySlots: 1.2 }]
    expect(planSpread(map, pool, [demand('a', { busySlots: 2.4, keys }), demand('b', { busySlots: 1.95 })])).to.equal(map)
  })

  it('moves nothing when no endpoint has free capacity, as during a peak at all endpoints', () => {
    const map = assigned('a', 'b')
    const keys = [{ key: 10, busySlots: 1 }, { key: 20, busySlots: 1 }]
    expect(planSpread(map, pool, [demand('a', { busySlots: 2, keys }), demand('b', { busySlots: 1.6 })])).to.equal(map)
  })

  it('does not move a single key whose demand exceeds the free capacity of every endpoint', () => {
    const map = assigned('a', 'b')
    const after = planSpread(map, pool, [demand('a', { busySlots: 2.4, keys: [{ key: 10, busySlots: 2.2 }, { key: 20, busySlots: 0.2 }] }), demand('b')])
    expect(segmentAt(after, pool, 10)?.owner.endpoint).to.equal('a')
    expect(segmentAt(after, pool, 20)?.owner.endpoint).to.equal('b')
  })
})
