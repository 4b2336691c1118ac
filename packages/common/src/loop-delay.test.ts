import { expect } from 'chai'
import { ManualClock, MonotonicClock } from './clock.js'
import { LifeCycle } from './life-cycle.js'
import { LoopDelay } from './loop-delay.js'

describe('LoopDelay', () => {
  it('is 0 while the event loop is not delayed, and the time since the tick before the last when it was blocked', () => {
    const clock = new ManualClock()
    const delay = new LoopDelay(clock)
    clock.advance(60)
    expect(delay.milliseconds).to.equal(0)
    delay.tick()
    clock.advance(1_440)
    expect(delay.milliseconds).to.equal(1_500)
    // Events that the next poll finds may have waited since the previous poll.
    delay.tick()
    expect(delay.milliseconds).to.equal(1_440)
    delay.tick()
    expect(delay.milliseconds).to.equal(0)
  })

  it('reports by how much the timers were late after the event loop was blocked', async () => {
    const lifeCycle = new LifeCycle('test')
    const late: number[] = []
    new LoopDelay(new MonotonicClock()).start(lifeCycle, milliseconds => late.push(milliseconds))
    const blockedUntil = performance.now() + 200
    while (performance.now() < blockedUntil);
    while (late.length === 0) await new Promise(resolve => setTimeout(resolve, 5))
    await lifeCycle.close()
    expect(late[0]).to.be.at.least(145)
  })
})
