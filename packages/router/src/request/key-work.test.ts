import { expect } from 'chai'
import { ManualClock, Random } from '@briarsaddle/common'
import { KeyWorkMeter } from './key-work.js'

const rule = 1
const serviceMilliseconds = 50

function meter (clock: ManualClock): KeyWorkMeter {
  const result = new KeyWorkMeter(clock)
  for (let index = 0; index < 20; index++) result.served(rule, serviceMilliseconds)
  return result
}

/** Sends requests at a mean rate, at random moments. */
function load (work: KeyWorkMeter, clock: ManualClock, random: Random, perSecond: number, seconds: number, key: () => number): void {
  for (let millisecond = 0; millisecond < seconds * 1_000; millisecond++) {
    clock.advance(1)
    if (random.fraction() < perSecond / 1_000) work.arrived(rule, key())
  }
}

describe('KeyWorkMeter', () => {
  // Pattern: one run of keys suddenly gets four times the requests of the whole endpoint.
  it('shows within 1.5 seconds that the demand has multiplied, and for which keys', () => {
    const clock = new ManualClock()
    const random = new Random(1)
    const work = meter(clock)
    load(work, clock, random, 20, 10, () => random.integer(0, 3_000))
    load(work, clock, random, 80, 1.5, () => random.integer(0, 3) === 0 ? random.integer(0, 3_000) : random.integer(500, 560))
    const { busySlots, keys } = work.snapshot()
    // Three slots: at 0.85 of them keys are given away.
    expect(busySlots).to.be.greaterThan(0.85 * 3)
    const hot = keys.filter(({ key }) => key >= 500 && key <= 560).reduce((sum, key) => sum + key.busySlots, 0)
    expect(hot / busySlots).to.be.greaterThan(0.6)
  })

  // Pattern: a few requests a second, of which some come close together by chance.
  it('does not take chance for demand where there are few requests', () => {
    const clock = new ManualClock()
    const random = new Random(2)
    const work = meter(clock)
    let overestimated = 0
    for (let second = 0; second < 120; second++) {
      load(work, clock, random, 4, 1, () => random.integer(0, 3_000))
      if (work.snapshot().busySlots > 2 * 4 * serviceMilliseconds / 1_000) overestimated++
    }
    expect(overestimated).to.be.at.most(6)
  })
})
