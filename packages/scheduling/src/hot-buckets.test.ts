import { ManualClock, Random } from '@briarsaddle/common'
import { expect } from 'chai'
import { HotBuckets } from './hot-buckets.js'

describe('HotBuckets', () => {
  it('finds the hot bucket among many more buckets than it tracks', () => {
    const random = new Random(3)
    const sketch = new HotBuckets({ clock: new ManualClock(), capacity: 16 })
    for (let index = 0; index < 10_000; index++) sketch.record(index % 5 === 0 ? 77 : random.integer(100, 1100), 10)
    expect(sketch.top(1)[0]?.bucket).to.equal(77)
    expect(sketch.share(77)).to.be.within(0.15, 0.2001)
    expect(sketch.top(100)).to.have.length(16)
  })

  it('never overestimates a share, so that no bucket is moved because of an error of the sketch', () => {
    const sketch = new HotBuckets({ clock: new ManualClock(), capacity: 4 })
    for (let bucket = 0; bucket < 1000; bucket++) sketch.record(bucket, 1)
    for (const { share } of sketch.top(4)) expect(share).to.be.at.most(0.0011)
  })

  it('discounts old work, also after a time long enough that its weights are rescaled', () => {
    const clock = new ManualClock()
    const sketch = new HotBuckets({ clock, halfLifeMilliseconds: 1000 })
    sketch.record(1, 1000)
    clock.advance(3000)
    sketch.record(2, 1000)
    expect(sketch.share(2)).to.be.closeTo(8 / 9, 0.001)
    clock.advance(100_000)
    sketch.record(3, 1)
    expect(sketch.share(3)).to.be.closeTo(1, 0.001)
  })
})
