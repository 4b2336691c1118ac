import { expect } from 'chai'
import { planBalanceMoves, type BalanceInput, type BucketLoad, type EndpointLoad } from './balance.js'

const now = 1_000_000
const endpoint = (name: string, busy: number, queued = 0, accepting = true): EndpointLoad => ({ endpoint: name, slots: 2, busy, queued, shortSlots: 2 * busy, longJobs: 0, accepting })
const hot = (values: Partial<BucketLoad> = {}): BucketLoad => ({ bucket: 5, endpoint: 'a', share: 0.4, requestsPerSecond: 40, hotSince: now - 60_000, ...values })
const plan = (values: Partial<BalanceInput> = {}): ReturnType<typeof planBalanceMoves> =>
  planBalanceMoves({ now, endpoints: [endpoint('a', 1, 20), endpoint('b', 0.3), endpoint('c', 0.5)], buckets: [hot()], peak: false, ...values })

describe('planBalanceMoves', () => {
  it('moves a hot bucket from an overloaded endpoint to the least loaded one', () => {
    expect(plan().map(({ bucket, from, to }) => ({ bucket, from, to }))).to.deep.equal([{ bucket: 5, from: 'a', to: 'b' }])
  })

  it('moves nothing at a peak of demand, when interruptions cost most', () => {
    expect(plan({ peak: true })).to.deep.equal([])
  })

  it('does not move a bucket that has only just become hot and may cool down before the move pays off', () => {
    expect(plan({ buckets: [hot({ hotSince: now - 100 })] })).to.deep.equal([])
  })

  it('moves nothing when the interruption of a busy bucket costs more than the gain', () => {
    expect(plan({ settings: { unavailableMilliseconds: 60_000 } })).to.deep.equal([])
  })

  it('moves nothing between endpoints with similar or moderate load', () => {
    expect(plan({ endpoints: [endpoint('a', 0.6), endpoint('b', 0.5)] })).to.deep.equal([])
    expect(plan({ endpoints: [endpoint('a', 0.4), endpoint('b', 0)] })).to.deep.equal([])
  })

  it('does not move a bucket that would overload its new owner as it overloads the present one', () => {
    expect(plan({ endpoints: [endpoint('a', 0.95), endpoint('b', 0.3)], buckets: [hot({ share: 0.9 })] })).to.deep.equal([])
  })

  it('does not move a bucket back and forth', () => {
    expect(plan({ buckets: [hot({ movedAt: now - 10_000 })] })).to.deep.equal([])
    const back = plan({ buckets: [hot({ movedAt: now - 60_000, movedFrom: 'b' })] })
    expect(back.map(({ to }) => to)).to.deep.equal(['c'])
  })

  it('limits the number of moves at the same time, including those in progress', () => {
    const endpoints = ['a', 'd', 'e'].map(name => endpoint(name, 1, 20)).concat(['x', 'y', 'z'].map(name => endpoint(name, 0.2)))
    const buckets = ['a', 'd', 'e'].map((name, bucket) => hot({ bucket, endpoint: name }))
    expect(plan({ endpoints, buckets })).to.have.length(2)
    expect(plan({ endpoints, buckets, movesUnderWay: 1 })).to.have.length(1)
    expect(new Set(plan({ endpoints, buckets }).map(({ to }) => to)).size).to.equal(2)
  })

  it('moves nothing to an endpoint with a long job, whose buckets may just have been moved away', () => {
    expect(plan({ endpoints: [endpoint('a', 1, 20), { ...endpoint('b', 0.1), longJobs: 1 }] })).to.deep.equal([])
  })

  it('moves nothing to an endpoint that is draining or not ready', () => {
    expect(plan({ endpoints: [endpoint('a', 1, 20), endpoint('b', 0.1, 0, false)] })).to.deep.equal([])
  })
})
