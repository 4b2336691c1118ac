import { expect } from 'chai'
import { ManualClock } from '@briarsaddle/common'
import { AppendRateLimit } from './append-rate-limit.js'

describe('AppendRateLimit', () => {
  it('spaces out appends after the burst, so that one VM cannot use up the capacity of the log service', () => {
    const clock = new ManualClock()
    const limit = new AppendRateLimit(clock, { recordsPerSecond: 50, burst: 2 })
    expect([1, 2, 3, 4].map(() => limit.reserve(100))).to.deep.equal([0, 0, 20, 40])
    clock.advance(1000)
    expect([1, 2, 3].map(() => limit.reserve(100))).to.deep.equal([0, 0, 20])
  })

  it('reserves nothing when the wait would be too long, so that refused appends do not delay later appends', () => {
    const limit = new AppendRateLimit(new ManualClock(), { recordsPerSecond: 10, burst: 1 })
    limit.reserve(0)
    expect(limit.reserve(99)).to.equal(undefined)
    expect(limit.reserve(100)).to.equal(100)
  })
})
