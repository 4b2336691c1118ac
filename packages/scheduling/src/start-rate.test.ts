import { ManualClock } from '@briarsaddle/common'
import { expect } from 'chai'
import { StartRate } from './start-rate.js'

/** Takes as many starts as the rate allows, in steps of 10 ms, and returns their times. */
function startsOf (rate: StartRate, clock: ManualClock, milliseconds: number): number[] {
  const starts: number[] = []
  for (const until = clock.now() + milliseconds; clock.now() < until; clock.advance(10)) {
    while (rate.delayOf(1) === 0) {
      rate.take()
      starts.push(clock.now())
    }
  }
  return starts
}

describe('StartRate', () => {
  // Guards against more requests than a limit allows in any 4 s (LIMIT): one and a half times the limit, and five.
  for (const perSecond of [0.5, 1, 1.6, 7.3, 40]) {
    it(`keeps to ${perSecond} a second in every 4 s, also after a pause, and uses what it allows`, () => {
      const clock = new ManualClock()
      const rate = new StartRate(clock)
      rate.set(perSecond)
      const before = startsOf(rate, clock, 20_000)
      clock.advance(10_000)
      const starts = [...before, ...startsOf(rate, clock, 20_000)]
      const mostIn4Seconds = Math.max(...starts.map(from => starts.filter(at => at >= from && at < from + 4_000).length))
      expect(mostIn4Seconds).to.be.at.most(1.5 * 4 * perSecond + 5)
      expect(before.length).to.be.within(Math.floor(20 * perSecond) - 1, Math.ceil(20 * perSecond) + 1)
    })
  }

  it('allows nothing at once when a limit begins, and everything when it ends', () => {
    const clock = new ManualClock()
    const rate = new StartRate(clock)
    clock.advance(60_000)
    expect(rate.delayOf(1_000)).to.equal(0)
    rate.set(2)
    expect(rate.delayOf(1)).to.equal(500)
    expect(rate.delayOf(3)).to.equal(1_500)
    rate.set(undefined)
    expect(rate.delayOf(1_000)).to.equal(0)
  })

  it('lets a job start now and then at a limit of 0, since only an answer shows that the limit has been lifted', () => {
    const clock = new ManualClock()
    const rate = new StartRate(clock)
    rate.set(0)
    expect(startsOf(rate, clock, 40_000).length).to.be.within(9, 10)
  })
})
