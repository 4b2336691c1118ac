import { expect } from 'chai'
import { ManualClock } from '@briarsaddle/common'
import { RetryBudget } from './retry-budget.js'

describe('RetryBudget', () => {
  const limit = { ratio: 0.2, slack: 50, windowMilliseconds: 10_000 }

  // Guards against a retry storm: every endpoint sheds half of its requests, and every VM wants to send all of them again.
  it('keeps all VMs together within the budget when each VM uses its whole share', () => {
    const clock = new ManualClock()
    const shares = Array.from({ length: 5 }, () => new RetryBudget(clock, limit, () => 5))
    let repeats = 0
    for (let request = 0; request < 1_000; request++) {
      clock.advance(5)
      const share = shares[request % shares.length] as RetryBudget
      share.recordRequest('ponds')
      while (share.take('ponds')) repeats++
    }
    expect(repeats).to.be.at.most(0.2 * 1_000 + 50)
    expect(repeats).to.be.at.least(100)
  })

  it('allows retries again after the window has passed', () => {
    const clock = new ManualClock()
    const share = new RetryBudget(clock, { ...limit, slack: 2 }, () => 1)
    expect(share.take('ponds')).to.equal(true)
    expect(share.take('ponds')).to.equal(false)
    clock.advance(10_001)
    expect(share.take('ponds')).to.equal(true)
  })
})
