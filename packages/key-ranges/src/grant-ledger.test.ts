import { expect } from 'chai'
import { ManualClock } from '@briarsaddle/common'
import { GrantLedger } from './grant-ledger.js'

describe('GrantLedger', () => {
  const options = { holdMilliseconds: 3_000, clockSlack: 0.02, transitMilliseconds: 400, staleLeaderMilliseconds: 10_000 }
  const keys = { from: 100, to: 200, fence: 7 }

  it('waits for the expiry of the last grant, including the drift of the endpoint\'s clock and the transit time', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    ledger.recordSending('a')
    ledger.acknowledged('a', keys)
    expect(ledger.mayHoldUntil('a', keys)).to.equal(3_460)
  })

  it('waits for a former leader that may still renew grants, unless the endpoint has acknowledged a token of this leadership', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    clock.advance(1_000)
    ledger.beginLeadership(7, [])
    expect(ledger.mayHoldUntil('a', keys)).to.equal(1_000 + 10_000 + 3_460)
    ledger.acknowledged('a', keys)
    expect(ledger.mayHoldUntil('a', keys)).to.equal(-Infinity)
  })

  it('ignores a grant that was not sent, so that repeated attempts to reach a lost endpoint do not prolong the wait', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    ledger.recordSending('a')
    ledger.acknowledged('a', keys)
    clock.advance(500)
    ledger.recordSending('a').notSent()
    expect(ledger.mayHoldUntil('a', keys)).to.equal(3_460)
  })

  // Guards against two owners of a key: when one of two grants with the same send time was not sent, the other one was forgotten too.
  it('remembers a grant when another one with the same send time was not sent', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    ledger.acknowledged('a', keys)
    clock.advance(500)
    const [first, second] = [ledger.recordSending('a'), ledger.recordSending('a')]
    first.notSent()
    expect(ledger.mayHoldUntil('a', keys)).to.equal(500 + 3_460)
    second.answered()
    expect(ledger.mayHoldUntil('a', keys)).to.equal(500 + 3_460)
  })

  it('counts grants in transit and waits for the expiry of one that ended without an answer', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    const [first, second] = [ledger.recordSending('a'), ledger.recordSending('a')]
    expect(ledger.pending('a')).to.equal(2)
    first.answered()
    // A former leader may still send grants.
    expect(ledger.unconfirmedGrantsExpireAt('a', keys)).to.equal(10_000 + 3_460)
    ledger.beginLeadership(6, [])
    clock.advance(400)
    second.unanswered()
    expect(ledger.pending('a')).to.equal(0)
    clock.advance(100)
    expect(ledger.unconfirmedGrantsExpireAt('a', keys)).to.equal(10_000 + 3_460)
    ledger.acknowledged('a', keys)
    expect(ledger.unconfirmedGrantsExpireAt('a', keys)).to.equal(3_460)
  })

  it('waits only for grants sent before the takeover for keys that the previous leader was already moving, since it no longer renewed them', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    clock.advance(1_000)
    ledger.beginLeadership(7, [{ holder: 'a', from: 50, to: 200 }])
    expect(ledger.unconfirmedGrantsExpireAt('a', keys)).to.equal(1_000 + 3_460)
    expect(ledger.unconfirmedGrantsExpireAt('a', { from: 100, to: 201 })).to.equal(1_000 + 10_000 + 3_460)
    expect(ledger.unconfirmedGrantsExpireAt('b', keys)).to.equal(1_000 + 10_000 + 3_460)
  })

  it('waits for grants of the previous leader only for keys for which the endpoint has not acknowledged a token of this leadership', () => {
    const ledger = new GrantLedger({ ...options, clock: new ManualClock() })
    ledger.acknowledged('a', { from: 0, to: 150, fence: 7 })
    expect(ledger.unconfirmedGrantsExpireAt('a', keys)).to.equal(10_000 + 3_460)
    expect(ledger.mayHoldUntil('a', keys)).to.equal(10_000 + 3_460)
    ledger.acknowledged('a', { from: 151, to: 200, fence: 7 })
    expect(ledger.unconfirmedGrantsExpireAt('a', keys)).to.equal(-Infinity)
    expect(ledger.mayHoldUntil('a', keys)).to.equal(-Infinity)
    ledger.beginLeadership(6, [])
    expect(ledger.unconfirmedGrantsExpireAt('a', keys)).to.equal(10_000 + 3_460)
  })

  it('ignores a late acknowledgement of a token of an earlier leadership of this VM', () => {
    const ledger = new GrantLedger({ ...options, clock: new ManualClock() })
    ledger.beginLeadership(8, [])
    ledger.acknowledged('a', keys)
    expect(ledger.unconfirmedGrantsExpireAt('a', keys)).to.equal(10_000 + 3_460)
    ledger.acknowledged('a', { ...keys, fence: 8 })
    expect(ledger.unconfirmedGrantsExpireAt('a', keys)).to.equal(-Infinity)
  })

  // Guards against two owners of a key: after its event loop was blocked, a process sends a grant that was waiting for a connection
  // later than the transit time allows for.
  it('measures the expiry of a grant from the end of its call if that ended late, since it may have been sent just before', () => {
    const clock = new ManualClock()
    const ledger = new GrantLedger({ ...options, clock })
    ledger.acknowledged('a', keys)
    const [lost, answered] = [ledger.recordSending('a'), ledger.recordSending('b')]
    clock.advance(3_000)
    lost.unanswered()
    answered.answered()
    expect(ledger.unconfirmedGrantsExpireAt('a', keys)).to.equal(3_000 + 3_060)
    expect(ledger.mayHoldUntil('a', keys)).to.equal(3_000 + 3_060)
    ledger.acknowledged('b', keys)
    expect(ledger.mayHoldUntil('b', keys)).to.equal(3_000 + 3_060)
  })
})
