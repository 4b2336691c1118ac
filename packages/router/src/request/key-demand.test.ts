import { expect } from 'chai'
import { ManualClock } from '@briarsaddle/common'
import { KeyDemandMeter } from './key-demand.js'

const rule = 1
const serviceMilliseconds = 200

describe('KeyDemandMeter', () => {
  let clock: ManualClock
  let meter: KeyDemandMeter

  beforeEach(() => {
    clock = new ManualClock()
    meter = new KeyDemandMeter(clock)
    meter.recordServiceTime(rule, serviceMilliseconds)
  })

  function arrive (key: number, perSecond: number, seconds: number): void {
    for (let index = 0; index < perSecond * seconds; index++) {
      meter.recordArrival(rule, key)
      clock.advance(1_000 / perSecond)
    }
  }

  // The pattern: at the opening hour, neighbouring keys become hot from one second to the next, for some seconds. What the first plan
  // does not know stays at their owner until the next plan may move its keys.
  it('shows at least half of the demand for a key that became hot a second ago', () => {
    const perSecond = 20
    arrive(7, perSecond, 1)
    const { busySlots, keys } = meter.snapshot()
    const demand = perSecond * serviceMilliseconds / 1_000
    expect(busySlots).to.be.at.least(demand / 2)
    expect(keys[0]).to.include({ key: 7 })
  })

  it('shows the demand as it is when it stays the same', () => {
    arrive(7, 20, 20)
    expect(meter.snapshot().busySlots).to.be.closeTo(4, 0.4)
  })
})
