import { ManualClock } from '@briarsaddle/common'
import { expect } from 'chai'
import { LongDurations, LongWork } from './long-work.js'

function create (): { readonly clock: ManualClock, readonly work: LongWork, readonly other: LongWork, publishRules: () => void } {
  const clock = new ManualClock()
  let version = 1
  const durations = new LongDurations(() => version)
  return { clock, work: new LongWork('ponds', clock, durations), other: new LongWork('ponds', clock, durations), publishRules: () => { version++ } }
}

describe('LongWork', () => {
  it('expects jobs of a rule without observations to go on for as long as the oldest has run, so that buckets are not moved away too early', () => {
    const { clock, work } = create()
    work.start(work.add(3, 7))
    work.add(3, 7)
    clock.advance(500)
    expect([work.hasKnownDurations, work.remaining(1), work.remaining(2)]).to.deep.equal([false, 1000, 500])
  })

  it('uses durations observed at other endpoints of the VM until the rules change, because rule numbers may then stand for other rules', () => {
    const { clock, work, other, publishRules } = create()
    const observed = other.add(5, 7)
    other.start(observed)
    clock.advance(6000)
    other.end(observed, true)
    const job = work.add(3, 7)
    expect([work.hasKnownDurations, work.remaining(1)]).to.deep.equal([true, 6000])
    work.start(job)
    clock.advance(5500)
    expect(work.remaining(1)).to.equal(1500)
    publishRules()
    expect(work.hasKnownDurations).to.equal(false)
  })

  it('counts queued jobs too, so that their bucket is not moved away before they start', () => {
    const { work } = create()
    const job = work.add(3, 7)
    expect([work.count, work.has(3), work.has(4)]).to.deep.equal([1, true, false])
    work.end(job, false)
    expect([work.count, work.has(3)]).to.deep.equal([0, false])
  })
})
