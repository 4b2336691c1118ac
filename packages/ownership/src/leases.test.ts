import { expect } from 'chai'
import { ControlReader, EndpointClock, CoordinatorLease, LeaseExpiryTracker, WitnessRound, compareTokens, witnessAnswer } from './index.js'
import type { WitnessAnswer, WitnessesState } from './index.js'

const ready: WitnessAnswer = { ready: true, position: 9, outdated: [] }
const list = (...vms: string[]): WitnessesState => ({ version: 0, vms, pending: undefined })

describe('leases and grants', () => {
  it('a lease ends before a successor may act, for clocks that deviate by 1 % in opposite directions', () => {
    const lease = new CoordinatorLease()
    lease.extendFromLogRead(0)
    lease.extendFromWitnesses(-50)
    const tracker = new LeaseExpiryTracker(1, list('a'), 0)
    tracker.observe('a', 1, 0)
    expect([lease.isValid(489), lease.isValid(490)]).to.deep.equal([true, false])
    expect(lease.validUntil / 0.99).to.be.below((tracker.leasesExpiredAt ?? 0) / 1.01)
  })

  it('grants expire no later at a slow endpoint than at a fast coordinator, and a delayed clock reading changes nothing', () => {
    const clock = new EndpointClock()
    clock.observe(1000, 2020)
    const end = clock.validUntil(2020 + 404)
    // 404 ms on a coordinator's clock at rate 1.01 are 400 ms of real time, which an endpoint's clock at 0.99 counts as 396 ms.
    expect(end).to.be.at.most(1000 + 396)
    clock.observe(1100, 2520)
    expect(clock.validUntil(2020 + 404), 'a delayed clock reading').to.equal(end)
  })
})

describe('WitnessRound', () => {
  it('needs a majority of the pending list too, because the previous list cannot refuse a requester that knows the pending one', () => {
    const round = new WitnessRound({ ...list('a', 'b', 'c'), pending: { offset: 5, vms: ['d', 'e', 'f'] } }, 0)
    for (const vm of ['a', 'b', 'c', 'd']) round.answer(vm, ready)
    expect(round.outcome('x')).to.equal('open')
    round.answer('e', { ...ready, outdated: ['x'] })
    round.answer('f', ready)
    expect([round.outcome('x'), round.outcome('y')]).to.deep.equal(['majority', 'majority'])
  })

  it('counts each VM once and reports when a majority can no longer be reached', () => {
    const round = new WitnessRound(list('a', 'b', 'c'), 0)
    round.answer('a', ready)
    round.answer('a', ready)
    expect(round.outcome('x')).to.equal('open')
    round.answer('b', { ...ready, ready: false })
    round.answer('c', undefined)
    round.answer('c', ready)
    expect(round.outcome('x')).to.equal('impossible')
    expect(new WitnessRound(list(), 0).outcome('x')).to.equal('impossible')
  })
})

describe('witnessAnswer', () => {
  const id = (digit: number): string => `00000000-0000-4000-8000-00000000000${digit}`
  const records = [
    { id: id(0), kind: 'witnesses', base: -1, vms: ['a'] },
    { id: id(1), kind: 'coordinator', base: -1, vm: 'v', endpoint: { id: 'e', pool: 'p', dataCentre: 'a', host: 'h', port: 1, checks: true } },
    { id: id(2), kind: 'drain', base: 1, endpoint: 'e', author: 'x' }
  ].map((record, offset) => ({ offset, body: JSON.stringify(record) }))
  const reader = new ControlReader()
  reader.feed({ first: 0, next: 3, records })

  it('reports endpoints that have a newer record or were removed as outdated', () => {
    const endpoints = [{ id: 'e', version: 1 }, { id: 'removed', version: 2 }, { id: 'not yet read', version: 3 }]
    expect(witnessAnswer(reader, { witnessList: 0, endpoints })).to.deep.equal({ ready: true, position: 2, outdated: ['e', 'removed'] })
    expect(witnessAnswer(reader, { witnessList: 0, endpoints: [{ id: 'e', version: 2 }] }).outdated).to.deep.equal([])
  })

  it('is not ready for a requester with an older witness list, or before it has read the log to its end', () => {
    expect(witnessAnswer(reader, { witnessList: -1, endpoints: [] }).ready).to.equal(false)
    const newcomer = new ControlReader()
    expect(witnessAnswer(newcomer, { witnessList: 0, endpoints: [] }).ready).to.equal(false)
    newcomer.feed({ first: 0, next: 3, records: records.slice(0, 2) })
    expect(witnessAnswer(newcomer, { witnessList: 0, endpoints: [] })).to.deep.include({ ready: false, position: 1 })
  })
})

describe('LeaseExpiryTracker', () => {
  it('waits from the time a majority has read the record, and longer for endpoints that do not verify tokens', () => {
    const tracker = new LeaseExpiryTracker(7, list('a', 'b', 'c'), 0, { leaseDuration: 500, margin: 0.02, extraWait: 2000 })
    tracker.observe('a', 6, 10)
    tracker.observe('b', 7, 20)
    tracker.observe('b', 8, 30)
    tracker.observe('x', 8, 35)
    expect(tracker.leasesExpiredAt).to.equal(undefined)
    tracker.observe('c', 9, 40)
    tracker.observe('a', 9, 50)
    expect(tracker.leasesExpiredAt).to.equal(40 + 510 + 2000)
  })

  it('uses a later witness list when the previous witnesses are gone', () => {
    const tracker = new LeaseExpiryTracker(7, list('a', 'b', 'c'), 0)
    tracker.observe('d', 7, 10)
    tracker.replaceWitnesses(list('d'), 60)
    expect(tracker.leasesExpiredAt).to.equal(60 + 510)
    expect(new LeaseExpiryTracker(7, list(), 5).leasesExpiredAt, 'without witnesses').to.equal(5 + 510)
  })
})

describe('compareTokens', () => {
  it('orders a provisional coordinator between the recorded ones before and after it', () => {
    expect(compareTokens({ offset: 4, provisional: 2 }, { offset: 4, provisional: 0 })).to.be.above(0)
    expect(compareTokens({ offset: 4, provisional: 2 }, { offset: 5, provisional: 0 })).to.be.below(0)
  })
})
