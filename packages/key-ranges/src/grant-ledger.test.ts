import { expect } from 'chai'
import { ManualClock } from '@briarsaddle/common'
import { GrantLedger } from './grant-ledger.js'

describe('GrantLedger', () => {
  const options = { holdMilliseconds: 3_000, clockSlack: 0.02, transitMilliseconds: 400, staleLeaderMilliseconds: 10_000 }
  const keys = { from: 100, to: 200, fence: 7 }

  it('waits for the last grant, with the slack of the endpoint\'s clock and the time on the way', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    ledger.sending('a')
    ledger.acknowledged('a', keys)
    expect(ledger.mayHoldUntil('a', keys)).to.equal(3_460)
  })

  it('waits for a former leader that may still renew, unless the endpoint has seen a token of this leadership', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    clock.advance(1_000)
    ledger.begin(7, [])
    expect(ledger.mayHoldUntil('a', keys)).to.equal(1_000 + 10_000 + 3_460)
    ledger.acknowledged('a', keys)
    expect(ledger.mayHoldUntil('a', keys)).to.equal(-Infinity)
  })

  it('takes a sending back that did not happen (a lost endpoint that is tried again and again)', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    ledger.sending('a')
    ledger.acknowledged('a', keys)
    clock.advance(500)
    ledger.sending('a').notSent()
    expect(ledger.mayHoldUntil('a', keys)).to.equal(3_460)
  })

  // Guards against OWNER: of two grants of the same instant one is not sent after all, and the other one is forgotten with it.
  it('remembers a grant when another one of the same instant was not sent', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    ledger.acknowledged('a', keys)
    clock.advance(500)
    const [first, second] = [ledger.sending('a'), ledger.sending('a')]
    first.notSent()
    expect(ledger.mayHoldUntil('a', keys)).to.equal(500 + 3_460)
    second.answered()
    expect(ledger.mayHoldUntil('a', keys)).to.equal(500 + 3_460)
  })

  it('knows which grants are on their way, and until when one without an answer may take effect', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    const [first, second] = [ledger.sending('a'), ledger.sending('a')]
    expect(ledger.pending('a')).to.equal(2)
    first.answered()
    // A former leader may still send one.
    expect(ledger.lostUntil('a', keys)).to.equal(10_000 + 3_460)
    ledger.begin(6, [])
    clock.advance(400)
    second.lost()
    expect(ledger.pending('a')).to.equal(0)
    clock.advance(100)
    expect(ledger.lostUntil('a', keys)).to.equal(10_000 + 3_460)
    ledger.acknowledged('a', keys)
    expect(ledger.lostUntil('a', keys)).to.equal(3_460)
  })

  it('waits only for grants from before the takeover on keys that the leader before was already moving away, since it had stopped renewing them', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    clock.advance(1_000)
    ledger.begin(7, [{ holder: 'a', from: 50, to: 200 }])
    expect(ledger.lostUntil('a', keys)).to.equal(1_000 + 3_460)
    expect(ledger.lostUntil('a', { from: 100, to: 201 })).to.equal(1_000 + 10_000 + 3_460)
    expect(ledger.lostUntil('b', keys)).to.equal(1_000 + 10_000 + 3_460)
  })

  it('waits for grants of the leader before only on keys on which the endpoint has not acknowledged a token of this leadership', () => {
    const ledger = new GrantLedger({ ...options, clock: new ManualClock() })
    ledger.acknowledged('a', { from: 0, to: 150, fence: 7 })
    expect(ledger.lostUntil('a', keys)).to.equal(10_000 + 3_460)
    expect(ledger.mayHoldUntil('a', keys)).to.equal(10_000 + 3_460)
    ledger.acknowledged('a', { from: 151, to: 200, fence: 7 })
    expect(ledger.lostUntil('a', keys)).to.equal(-Infinity)
    expect(ledger.mayHoldUntil('a', keys)).to.equal(-Infinity)
    ledger.begin(6, [])
    expect(ledger.lostUntil('a', keys)).to.equal(10_000 + 3_460)
  })

  it('takes the late answer to a grant of an earlier leadership of this VM for no sign that newer tokens were seen', () => {
    const ledger = new GrantLedger({ ...options, clock: new ManualClock() })
    ledger.begin(8, [])
    ledger.acknowledged('a', keys)
    expect(ledger.lostUntil('a', keys)).to.equal(10_000 + 3_460)
    ledger.acknowledged('a', { ...keys, fence: 8 })
    expect(ledger.lostUntil('a', keys)).to.equal(-Infinity)
  })

  // Guards against OWNER: a process that was held up sends what waited for a connection later than the time on the way allows for.
  it('counts a grant that ended late from its end, since it may have been sent right before', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    ledger.acknowledged('a', keys)
    const [lost, answered] = [ledger.sending('a'), ledger.sending('b')]
    clock.advance(3_000)
    lost.lost()
    answered.answered()
    expect(ledger.lostUntil('a', keys)).to.equal(3_000 + 3_060)
    expect(ledger.mayHoldUntil('a', keys)).to.equal(3_000 + 3_060)
    ledger.acknowledged('b', keys)
    expect(ledger.mayHoldUntil('b', keys)).to.equal(3_000 + 3_060)
  })
})
