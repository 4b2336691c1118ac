import { expect } from 'chai'
import fastCheck from 'fast-check'
import { decodeKeyMap, encodeKeyMap } from './codec.js'
import { applyKeyMapDelta, encodeKeyMapDelta } from './delta.js'
import { assignRange, joinSegments, raiseFences, raiseFencesOf, settleRange } from './edit.js'
import { emptyKeyMap, firstKey, lastKey, type Holder, type KeyMap, type Segment } from './key-map.js'
import { layoutProblems } from './layout.js'
import { segmentAt } from './lookup.js'
import { planMembership, type PoolMember } from './membership-plan.js'
import { planSpread, type MemberDemand } from './spread-plan.js'

const pool = 'ponds'
const holder = (endpoint: string, life = 1): Holder => ({ endpoint, life, address: '127.0.0.1:1' })
const member = (endpoint: string, fields: Partial<PoolMember> = {}): PoolMember => ({ ...holder(endpoint), slots: 2, accepting: true, busySlots: 0.4, ...fields })

function settledMap (...endpoints: string[]): KeyMap {
  return settleAll(planMembership(emptyKeyMap, pool, endpoints.map(endpoint => member(endpoint))))
}

function settleAll (map: KeyMap): KeyMap {
  return (map.pools[pool] ?? []).reduce((result, segment) => settleRange(result, pool, segment), map)
}

function segment (from: number, to: number, owner: string, fence: number): Segment {
  return { from, to, owner: holder(owner), fence, moving: false, former: [], handover: '' }
}

/** Encodes a map as a version that did not check the layout would have written it. */
function encodeUnchecked (map: KeyMap): string {
  const segments = map.pools[pool] ?? []
  const covering = encodeKeyMap({ ...map, pools: { [pool]: segments.map((one, index) => ({ ...one, from: index, to: index === segments.length - 1 ? lastKey : index })) } })
  const parsed = JSON.parse(covering) as { pools: Record<string, unknown[][]> }
  parsed.pools[pool]?.forEach((row, index) => row.splice(0, 2, segments[index]?.from, segments[index]?.to))
  return JSON.stringify(parsed)
}

describe('Layout of key maps', () => {
  // A key that two VMs had reported became an empty range, for which the leader asked an endpoint again and again.
  it('moves no empty range when the demand for one key is reported twice (grants that no endpoint takes)', () => {
    const map = settledMap('a', 'b')
    const from = (segmentAt(map, pool, lastKey) as Segment).from
    const keys = [{ key: from, busySlots: 0.9 }, { key: from, busySlots: 1.7 }, { key: from + 6, busySlots: 0.1 }]
    const members: MemberDemand[] = [
      { ...member('b', { busySlots: 2.7 }), serviceMilliseconds: 100, keys },
      { ...member('a', { busySlots: 0.1 }), serviceMilliseconds: 100, keys: [] }
    ]
    const after = planSpread(map, pool, members)
    expect(layoutProblems(after)).to.deep.equal([])
    expect(segmentAt(after, pool, from)?.owner.endpoint, 'a key with demand for 2.6 slots fits nowhere').to.equal('b')
  })

  it('rejects an empty range in a move', () => {
    expect(() => assignRange(settledMap('a', 'b'), { pool, from: 20, to: 19, owner: holder('b'), ownerMayHold: true })).to.throw(/20-19 .*empty/)
  })

  it('keeps every key in one segment, and no token falls, in any series of plans and edits with any demand', () => {
    const endpoint = fastCheck.constantFrom('a', 'b', 'c', 'd', 'e')
    // The first keys of the three segments at the start and some neighbours, so that keys stand twice and next to each other.
    const key = fastCheck.constantFrom(firstKey, 1, 21_844, 21_845, 21_846, 21_850, 43_690, 43_691, 43_700, lastKey)
    const demand = fastCheck.array(fastCheck.record({ key, busySlots: fastCheck.double({ min: 0, max: 3, noNaN: true }) }), { maxLength: 12 })
    const present = fastCheck.uniqueArray(fastCheck.record({
      endpoint, life: fastCheck.integer({ min: 1, max: 2 }), accepting: fastCheck.boolean(), keepsKeys: fastCheck.boolean(), busySlots: fastCheck.double({ min: 0, max: 6, noNaN: true }), keys: demand
    }), { selector: one => one.endpoint, maxLength: 5 })
    const step = fastCheck.oneof(
      fastCheck.record({ kind: fastCheck.constant('membership' as const), present }),
      fastCheck.record({ kind: fastCheck.constant('spread' as const), present }),
      fastCheck.record({ kind: fastCheck.constantFrom('settle' as const, 'raise' as const, 'join' as const, 'raise one' as const), endpoint })
    )
    fastCheck.assert(fastCheck.property(fastCheck.array(step, { maxLength: 25 }), steps => {
      let map = settledMap('a', 'b', 'c')
      for (const next of steps) {
        const before = map
        if (next.kind === 'membership') map = planMembership(map, pool, next.present.map(one => ({ ...member(one.endpoint), ...one })))
        else if (next.kind === 'spread') map = planSpread(map, pool, next.present.map(one => ({ ...member(one.endpoint), ...one, serviceMilliseconds: 100 })))
        else if (next.kind === 'settle') map = settleAll(map)
        else if (next.kind === 'raise') map = raiseFences(map)
        else if (next.kind === 'raise one') map = raiseFencesOf(map, next.endpoint)
        else map = joinSegments(map)
        expect(layoutProblems(map)).to.deep.equal([])
        checkTokens(before, map)
        expect(decodeKeyMap(encodeKeyMap(map))).to.deep.equal(map)
        expect(applyKeyMapDelta(before, encodeKeyMapDelta(before, map) as string)).to.deep.equal(map)
      }
    }), { numRuns: 300, seed: 19 })
  })

  it('does not encode a map with an empty range, a gap or an overlap', () => {
    const half = 32_768
    for (const [segments, problem] of [
      [[segment(0, half - 1, 'a', 1), segment(half, half - 1, 'b', 2), segment(half, lastKey, 'c', 3)], /32768-32767 .*empty/],
      [[segment(0, half - 1, 'a', 1), segment(half + 5, lastKey, 'c', 3)], /no segment .*32768-32772/],
      [[segment(0, half + 5, 'a', 1), segment(half, lastKey, 'c', 3)], /32768-32773 .*more than one/]
    ] as const) expect(() => encodeKeyMap({ ...emptyKeyMap, fence: 3, pools: { [pool]: segments } })).to.throw(problem)
  })
})

describe('Changes of key maps', () => {
  it('contain only the segments that changed, and keep the identity of the others', () => {
    const before = settledMap('a', 'b', 'c', 'd')
    const after = assignRange(before, { pool, from: 0, to: 99, owner: holder('d'), ownerMayHold: true })
    const change = encodeKeyMapDelta(before, after) as string
    expect(change.length).to.be.below(encodeKeyMap(after).length / 1.5)
    const applied = applyKeyMapDelta(before, change)
    expect(applied).to.deep.equal(after)
    expect(segmentAt(applied, pool, lastKey)).to.equal(segmentAt(before, pool, lastKey))
    expect(applied.vms).to.equal(before.vms)
  })

  it('are refused by a map that they do not belong to (a change that was lost or came twice)', () => {
    const before = settledMap('a', 'b')
    const first = assignRange(before, { pool, from: 100, to: 20_000, owner: holder('b'), ownerMayHold: true })
    const second = assignRange(first, { pool, from: 15_000, to: 30_000, owner: holder('a'), ownerMayHold: true })
    expect(() => applyKeyMapDelta(before, encodeKeyMapDelta(first, second) as string)).to.throw(/invalid key map/)
    expect(() => applyKeyMapDelta(second, encodeKeyMapDelta(before, first) as string)).to.throw(/lowers the token/)
  })
})

describe('Key maps that another version wrote without a valid layout', () => {
  const half = 32_768
  const decode = (...segments: Segment[]): KeyMap => decodeKeyMap(encodeUnchecked({ ...emptyKeyMap, fence: 9, author: 'vm-1', pools: { [pool]: segments } }))

  it('drops an empty range and keeps the owners and tokens of all keys', () => {
    const map = decode(segment(0, half - 1, 'a', 1), segment(half, half - 1, 'b', 9), segment(half, lastKey, 'c', 3))
    expect(layoutProblems(map)).to.deep.equal([])
    expect(map.repairs?.join()).to.match(/32768-32767 .*empty/)
    expect(map.pools[pool]).to.deep.equal([segment(0, half - 1, 'a', 1), segment(half, lastKey, 'c', 3)])
  })

  it('gives keys of two segments to the owner with the higher token as a move from both under a new token, so that no request is sent before both have released them', () => {
    const map = decode(segment(0, half + 5, 'a', 4), segment(half, lastKey, 'c', 3))
    expect(layoutProblems(map)).to.deep.equal([])
    expect(segmentAt(map, pool, half)).to.deep.include({ from: half, to: half + 5, moving: true, open: true, fence: 10, owner: holder('a'), former: [holder('c')] })
    expect(segmentAt(map, pool, half - 1)).to.deep.equal(segment(0, half - 1, 'a', 4))
    expect(segmentAt(map, pool, half + 6)).to.deep.equal(segment(half + 6, lastKey, 'c', 3))
    expect(map.fence).to.equal(10)
  })

  it('treats keys without a segment as keys that any holder of the pool may still hold', () => {
    const map = decode(segment(0, half - 1, 'a', 1), segment(half + 5, lastKey, 'c', 3))
    expect(layoutProblems(map)).to.deep.equal([])
    expect(segmentAt(map, pool, half)).to.deep.include({ from: half, to: half + 4, moving: true, open: true, fence: 10, owner: holder('a'), former: [holder('c')] })
  })

  it('rejects a map with an owner that the map does not name', () => {
    const text = encodeKeyMap(settledMap('a')).replace('"holders":[["a",1,"127.0.0.1:1"]]', '"holders":[]')
    expect(() => decodeKeyMap(text)).to.throw(/holder 0 /)
  })
})

/** Checks that no token falls, and that keys with another owner have a token above all that were used before. */
function checkTokens (before: KeyMap, after: KeyMap): void {
  expect(after.fence).to.be.at.least(before.fence)
  for (const one of after.pools[pool] ?? []) {
    const former = segmentAt(before, pool, one.from)
    expect(one.fence).to.be.at.least(former?.fence ?? 0)
    if (former?.owner.endpoint !== one.owner.endpoint || former.owner.life !== one.owner.life) expect(one.fence).to.be.greaterThan(before.fence)
  }
}
