import { expect } from 'chai'
import { delay, LifeCycle, ManualClock } from '@briarsaddle/common'
import { ReviewLoop } from './review-loop.js'

describe('ReviewLoop', () => {
  const quickPeriodMilliseconds = 5000
  let clock: ManualClock
  let lifeCycle: LifeCycle
  let reviews: number
  let unsettled: boolean
  let loop: ReviewLoop

  beforeEach(() => {
    clock = new ManualClock()
    lifeCycle = new LifeCycle('test')
    reviews = 0
    unsettled = false
    loop = new ReviewLoop({ clock, review: () => { reviews += 1 }, unsettled: () => unsettled, onError: error => { throw error } })
    loop.start(lifeCycle)
  })

  afterEach(async () => await lifeCycle.close())

  /** Number of reviews in one second of real time: about 4 at the slow interval and 20 at the quick one. */
  async function reviewsInOneSecond (): Promise<number> {
    const before = reviews
    await delay(1000)
    return reviews - before
  }

  async function becomeQuiet (): Promise<void> {
    clock.advance(quickPeriodMilliseconds + 1)
    await delay(150)
  }

  it('reviews at the slow interval when nothing changes, which costs an idle VM little but still notices conditions that depend on time', async () => {
    await becomeQuiet()
    expect(await reviewsInOneSecond()).to.be.within(2, 6)
  })

  it('reviews at the quick interval after a change, so that a lost coordinator or endpoint is replaced in time', async () => {
    await becomeQuiet()
    loop.changed()
    expect(await reviewsInOneSecond()).to.be.greaterThan(8)
  })

  it('reviews at the quick interval while something is unsettled, so that it reacts when the log returns after a long outage', async () => {
    await becomeQuiet()
    unsettled = true
    await delay(300)
    expect(await reviewsInOneSecond()).to.be.greaterThan(8)
  })

  it('reviews at once on request, so that the replacement of a lost VM does not wait for the next interval', () => {
    const before = reviews
    loop.reviewNow()
    expect(reviews).to.equal(before + 1)
  })

  it('stops with its life cycle, even if a change is reported after it has closed', async () => {
    await lifeCycle.close()
    const before = reviews
    loop.changed()
    loop.reviewNow()
    await delay(300)
    expect(reviews).to.equal(before)
  })
})
