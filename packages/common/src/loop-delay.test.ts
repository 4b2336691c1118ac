import { expect } from 'chai'
import { ManualClock } from './clock.js'
import { LoopDelay } from './loop-delay.js'

describe('LoopDelay', () => {
  it('is 0 while the process keeps up, and the whole time since the last tick when it was held up', () => {
    const clock = new ManualClock()
    const delay = new LoopDelay(clock)
    clock.advance(60)
    expect(delay.milliseconds).to.equal(0)
    delay.tick()
    clock.advance(1_440)
    expect(delay.milliseconds).to.equal(1_500)
    // What the next poll finds has waited since the one before.
    delay.tick()
    expect(delay.milliseconds).to.equal(1_440)
    delay.tick()
    expect(delay.milliseconds).to.equal(0)
  })
})
