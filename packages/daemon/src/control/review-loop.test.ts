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

  /** Reviews in one second of real time, when the slow pace gives 4 and the quick one 20. */
  async function reviewsInOneSecond (): Promise<number> {
    const before = reviews
    await delay(1000)
    return reviews - before
  }

  async function becomeQuiet (): Promise<void> {
    clock.advance(quickPeriodMilliseconds + 1)
    await delay(150)
  }

  it('reviews seldom, but still, when nothing changes (the cost of an idle VM; a condition of time that is never seen)', async () => {
    await becomeQuiet()
    expect(await reviewsInOneSecond()).to.be.within(2, 6)
  })

  it('reviews often after a change (a lost coordinator or endpoint that is replaced late)', async () => {
    await becomeQuiet()
    loop.changed()
    expect(await reviewsInOneSecond()).to.be.greaterThan(8)
  })

  it('reviews often while something is unsettled (a log that returns after a long outage)', async () => {
    await becomeQuiet()
    unsettled = true
    await delay(300)
    expect(await reviewsInOneSecond()).to.be.greaterThan(8)
  })

  it('reviews at once when asked to (a lost VM that waits for the next interval)', () => {
    const before = reviews
    loop.reviewNow()
    expect(reviews).to.equal(before + 1)
  })

  it('stops with its life cycle, also when a change is reported later (work after the clean-up)', async () => {
    await lifeCycle.close()
    const before = reviews
    loop.changed()
    loop.reviewNow()
    await delay(300)
    expect(reviews).to.equal(before)
  })
})
