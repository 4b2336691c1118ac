import { expect } from 'chai'
import { ControlReader, decodeState, encodeState } from './index.js'
import type { ControlPage, ControlState } from './index.js'

let ids = 0
const body = (record: Record<string, unknown>): string => JSON.stringify({ id: `00000000-0000-4000-8000-${String(ids++).padStart(12, '0')}`, base: -1, ...record })
const endpoint = (id: string): string => body({ kind: 'coordinator', vm: 'vm', standby: 'vm2', endpoint: { id, pool: 'p', dataCentre: 'a', host: 'h', port: 1, checks: true } })
const checkpoint = (state: ControlState, position = state.position): string => JSON.stringify({ ...JSON.parse(body({})), base: undefined, kind: 'checkpoint', position, state: encodeState(state) })
const bodies = [
  endpoint('a'), endpoint('b'), 'not json',
  body({ kind: 'witnesses', vms: ['v', 'w'] }), body({ kind: 'witnesses', base: 3, vms: ['v'] }),
  body({ kind: 'assignment', pool: 'p', moves: [{ bucket: 0, to: 'a' }, { bucket: 7, to: 'b' }] }), body({ kind: 'assignment', pool: 'p', base: 5, moves: [{ bucket: 0, to: 'b' }] })
]

function page (from: number, first = 0, list: readonly string[] = bodies): ControlPage {
  return { first, next: list.length, records: list.slice(from).map((text, index) => ({ offset: from + index, body: text })) }
}

function readAll (list: readonly string[] = bodies): ControlState {
  const reader = new ControlReader()
  reader.feed(page(0, 0, list))
  return reader.state as ControlState
}

describe('encodeState', () => {
  it('round-trips pending buckets, witness lists and record ids without loss', () => {
    const state = readAll()
    expect(decodeState(encodeState(state))).to.deep.equal(state)
    expect(state.pools.get('p')?.buckets[0]).to.deep.equal({ owner: 'b', token: 6, pendingFrom: 'a', former: undefined })
  })

  it('keeps the previous holder of a bucket, from which a VM that starts from a checkpoint fetches the idempotency keys', () => {
    const released = JSON.stringify({ kind: 'released', id: '00000000-0000-4000-8000-999999999999', pool: 'p', assignment: 6, buckets: [0] })
    const state = readAll([...bodies, released])
    expect(state.pools.get('p')?.buckets[0]).to.deep.equal({ owner: 'b', token: 6, pendingFrom: undefined, former: { endpoint: 'a', releasedAt: 7 } })
    expect(decodeState(encodeState(state))).to.deep.equal(state)
  })

  it('rejects run lengths that do not add up to the pool before allocating any bucket', () => {
    const text = encodeState(readAll()).replace(/\[1016,/, '[1000000000000,')
    expect(() => decodeState(text)).to.throw(/do not cover exactly 1024 buckets/)
    expect(() => decodeState('{}')).to.throw().with.property('code', 'checkpoint_invalid')
  })
})

describe('ControlReader', () => {
  it('starts from an empty log and reports malformed records', () => {
    const reader = new ControlReader()
    expect(reader.feed({ first: 0, next: 0, records: [] }).reachedEnd).to.equal(true)
    const { problems, read, reachedEnd } = reader.feed(page(0))
    expect(problems).to.have.lengthOf(1).and.have.nested.property('[0].code', 'malformed_record')
    expect([read.length, reachedEnd, reader.caughtUp, reader.nextOffset]).to.deep.equal([6, true, true, 7])
  })

  it('starts only from a checkpoint that the retained records continue without a gap', () => {
    const early = checkpoint(readAll(bodies.slice(0, 2)))
    const usable = checkpoint(readAll(bodies.slice(0, 5)))
    const list = [...bodies, early, usable, endpoint('c')]
    const reader = new ControlReader()
    reader.discardedBefore(5)
    expect(reader.feed(page(5, 5, list.slice(0, 8)))).to.deep.include({ reachedEnd: false, problems: [] })
    expect([reader.needsPeerState, reader.caughtUp, reader.state]).to.deep.equal([true, false, undefined])
    expect(reader.feed(page(8, 5, list)).reachedEnd).to.equal(true)
    expect(encodeState(reader.state as ControlState)).to.equal(encodeState(readAll(list)))
    expect(reader.needsPeerState).to.equal(false)
  })

  it('adopts the state of a peer only if it is newer and the retained records continue it without a gap', () => {
    const reader = new ControlReader()
    expect(reader.adoptState(readAll(bodies.slice(0, 2)))).to.equal(true)
    expect([reader.nextOffset, reader.caughtUp]).to.deep.equal([2, false])
    expect(reader.adoptState(readAll(bodies.slice(0, 1))), 'an older state is not adopted').to.equal(false)
    reader.feed(page(5, 5))
    expect([reader.needsPeerState, reader.nextOffset]).to.deep.equal([true, 7])
    expect(reader.state?.position, 'the state does not change while records are missing').to.equal(1)
    expect(reader.adoptState(readAll(bodies.slice(0, 3))), 'records 3 and 4 are missing').to.equal(false)
    expect(reader.adoptState(readAll(bodies.slice(0, 5)))).to.equal(true)
    expect(encodeState(reader.state as ControlState)).to.equal(encodeState(readAll()))
  })

  it('reports a checkpoint that differs from its own state and keeps its own state', () => {
    const other = { ...readAll(), rules: { version: 0, text: 'x', author: 'x' } }
    const current = new ControlReader()
    expect(current.feed(page(0, 0, [...bodies, checkpoint(readAll()), checkpoint(other)])).problems.map(({ code }) => code)).to.deep.equal(['malformed_record', 'checkpoint_mismatch'])
    expect(current.state?.rules.version).to.equal(-1)
  })

  it('ignores late and duplicate pages, and reports a log that has lost records', () => {
    const reader = new ControlReader()
    reader.feed(page(0))
    expect(reader.feed(page(0)).read).to.deep.equal([])
    const shorter = reader.feed(page(0, 0, bodies.slice(0, 3)))
    expect([shorter.reachedEnd, shorter.problems[0]?.code]).to.deep.equal([false, 'log_went_back'])
  })
})
