import { expect } from 'chai'
import type { EndpointLoad } from './balance.js'
import { planLongJobRelief, type LongJobRelief, type ReliefBucket, type ReliefInput } from './long-job-relief.js'

const now = 1_000_000
const endpoint = (name: string, shortSlots: number, values: Partial<EndpointLoad> = {}): EndpointLoad =>
  ({ endpoint: name, slots: 2, busy: shortSlots / 2, queued: 0, shortSlots, longJobs: 0, accepting: true, ...values })
const buckets = (values: Partial<ReliefBucket> = {}): readonly ReliefBucket[] => Array.from({ length: 50 }, (_, bucket) => ({ bucket, share: 0.02, ...values }))
const plan = (values: Partial<ReliefInput> = {}): LongJobRelief => planLongJobRelief({
  now,
  source: endpoint('a', 0.9, { longJobs: 1 }),
  others: [endpoint('b', 0.9), endpoint('c', 0.8), endpoint('d', 0.9)],
  buckets: buckets(),
  longSlots: 1,
  remainingMilliseconds: 6000,
  requestsPerSecond: 10,
  peak: false,
  ...values
})
const targets = ({ moves }: LongJobRelief): readonly string[] => [...new Set(moves.map(({ to }) => to))].sort()

describe('planLongJobRelief', () => {
  it('moves a share of the buckets when short requests would keep the slots that a long job leaves 90 % busy', () => {
    const { moves, gainSeconds, costSeconds } = plan()
    expect(moves.length).to.be.within(10, 35)
    expect(gainSeconds).to.be.greaterThan(2 * costSeconds)
    expect(targets(plan())).to.deep.equal(['b', 'c', 'd'])
  })

  it('moves nothing when the long job ends before the moves pay off', () => {
    expect(plan({ remainingMilliseconds: 300 }).moves).to.deep.equal([])
  })

  it('moves more buckets for a longer time, and fewer when a bucket costs more', () => {
    expect(plan({ remainingMilliseconds: 24_000 }).moves.length).to.be.greaterThan(plan().moves.length)
    expect(plan({ settings: { bucketCostSeconds: 0.5 } }).moves.length).to.be.lessThan(plan().moves.length)
    expect(plan({ settings: { bucketCostSeconds: 5 } }).moves).to.deep.equal([])
  })

  it('moves nothing off an endpoint whose other slots have free capacity, to keep its cached state', () => {
    expect(plan({ source: endpoint('a', 0.3, { longJobs: 1 }) }).moves).to.deep.equal([])
    expect(plan({ source: endpoint('a', 0.9, { slots: 8, longJobs: 1 }) }).moves).to.deep.equal([])
  })

  it('moves nothing to endpoints with a long job, without free capacity or not ready, where requests would wait again', () => {
    expect(targets(plan({ others: [endpoint('b', 0.1, { longJobs: 1 }), endpoint('c', 0.5), endpoint('d', 0.1, { accepting: false }), endpoint('e', 1.3)] }))).to.deep.equal(['c'])
    expect(plan({ others: [endpoint('b', 0.1, { longJobs: 1 }), endpoint('e', 1.3)] }).moves).to.deep.equal([])
  })

  it('does not load a target above the limit, so that it has capacity for a long job of its own', () => {
    const { moves } = plan({ others: [endpoint('b', 1.2)], remainingMilliseconds: 60_000 })
    expect(moves.length * 0.02 * 0.9).to.be.at.most(0.65 * 2 - 1.2)
  })

  it('moves nothing at a peak of demand, when interruptions cost most', () => {
    expect(plan({ peak: true }).moves).to.deep.equal([])
  })

  it('does not move a bucket back and forth', () => {
    expect(plan({ buckets: buckets({ movedAt: now - 10_000, movedFrom: 'x' }) }).moves).to.deep.equal([])
    expect(targets(plan({ buckets: buckets({ movedAt: now - 60_000, movedFrom: 'c' }) }))).to.deep.equal(['b', 'd'])
  })

  it('counts the buckets that are already moving, so that few keys are unavailable at once', () => {
    expect(plan({ movesUnderWay: 60 }).moves).to.have.length(4)
    expect(plan({ movesUnderWay: 64 }).moves).to.deep.equal([])
  })

  it('moves hot buckets first, so that few buckets move', () => {
    const mixed = buckets().map(({ bucket }) => ({ bucket, share: bucket < 5 ? 0.1 : 0.5 / 45 }))
    expect(plan({ buckets: mixed }).moves.slice(0, 5).map(({ bucket }) => bucket)).to.deep.equal([0, 1, 2, 3, 4])
    expect(plan({ buckets: mixed }).moves.length).to.be.lessThan(plan().moves.length)
  })

  it('relieves an endpoint whose only slot is occupied by a long job', () => {
    expect(plan({ source: endpoint('a', 0.5, { slots: 1, longJobs: 1 }) }).moves.length).to.be.greaterThan(30)
  })
})
