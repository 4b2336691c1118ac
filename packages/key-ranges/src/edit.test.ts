import { expect } from 'chai'
import fastCheck from 'fast-check'
import { decodeKeyMap, encodeKeyMap } from './codec.js'
import { assignRange, joinSegments, raiseFences, settleRange } from './edit.js'
import { emptyKeyMap, firstKey, lastKey, type Holder, type KeyMap } from './key-map.js'
import { segmentAt } from './lookup.js'

const pool = 'ponds'
const holder = (endpoint: string, life = 1): Holder => ({ endpoint, life, address: '127.0.0.1:1' })

function whole (owner: string): KeyMap {
  const map = assignRange(emptyKeyMap, { pool, from: firstKey, to: lastKey, owner: holder(owner), ownerMayHold: false })
  return settleAll(map)
}

function settleAll (map: KeyMap): KeyMap {
  return (map.pools[pool] ?? []).reduce((result, segment) => settleRange(result, pool, segment), map)
}

describe('Key map edits', () => {
  it('keeps all former holders of moving keys until the move is settled', () => {
    const first = assignRange(whole('a'), { pool, from: 100, to: 200, owner: holder('b'), ownerMayHold: true })
    const second = assignRange(first, { pool, from: 150, to: 300, owner: holder('c'), ownerMayHold: true })
    expect(segmentAt(second, pool, 160)?.former.map(former => former.endpoint)).to.deep.equal(['a', 'b'])
    expect(segmentAt(second, pool, 250)?.former.map(former => former.endpoint)).to.deep.equal(['a'])
    expect(segmentAt(settleAll(second), pool, 160)?.former).to.deep.equal([])
  })

  it('settles only the move that was completed, not a later one of the same keys', () => {
    const first = assignRange(whole('a'), { pool, from: 100, to: 200, owner: holder('b'), ownerMayHold: true })
    const carriedOut = segmentAt(first, pool, 100) as NonNullable<ReturnType<typeof segmentAt>>
    const second = assignRange(first, { pool, from: 100, to: 200, owner: holder('c'), ownerMayHold: true })
    expect(segmentAt(settleRange(second, pool, carriedOut), pool, 100)).to.include({ moving: true })
  })

  it('covers every key exactly once, with increasing tokens, after any series of edits', () => {
    const move = fastCheck.record({ from: fastCheck.integer({ min: firstKey, max: lastKey }), size: fastCheck.integer({ min: 0, max: 5_000 }), owner: fastCheck.constantFrom('a', 'b', 'c', 'd') })
    const step = fastCheck.oneof(move, fastCheck.constantFrom('settle' as const, 'raise' as const, 'join' as const))
    fastCheck.assert(fastCheck.property(fastCheck.array(step, { maxLength: 40 }), steps => {
      let map = whole('a')
      for (const next of steps) {
        const before = map
        if (next === 'settle') map = settleAll(map)
        else if (next === 'raise') map = raiseFences(map)
        else if (next === 'join') map = joinSegments(map)
        else map = assignRange(map, { pool, from: next.from, to: Math.min(lastKey, next.from + next.size), owner: holder(next.owner), ownerMayHold: true })
        expect(map.fence).to.be.at.least(before.fence)
        checkCover(map)
        checkTokens(before, map)
        expect(decodeKeyMap(encodeKeyMap(map))).to.deep.equal(map)
      }
    }), { numRuns: 100, seed: 1 })
  })
})

/** Checks that the segments cover all keys without gaps or overlaps. */
function checkCover (map: KeyMap): void {
  let next = firstKey
  for (const segment of map.pools[pool] ?? []) {
    expect(segment.from).to.equal(next)
    next = segment.to + 1
  }
  expect(next).to.equal(lastKey + 1)
}

/** Checks that keys with another owner have a token above all tokens that were used before. */
function checkTokens (before: KeyMap, after: KeyMap): void {
  for (const segment of after.pools[pool] ?? []) {
    const former = segmentAt(before, pool, segment.from)
    if (former?.owner.endpoint !== segment.owner.endpoint) expect(segment.fence).to.be.greaterThan(before.fence)
  }
}
