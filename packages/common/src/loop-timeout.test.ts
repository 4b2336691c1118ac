import { expect } from 'chai'
import { delay } from './clock.js'
import { startLoopTimeout } from './loop-timeout.js'

describe('startLoopTimeout', () => {
  it('calls back after the time', async () => {
    const startedAt = performance.now()
    await new Promise<void>(resolve => { startLoopTimeout(40, resolve) })
    expect(performance.now() - startedAt).to.be.at.least(35)
  })

  it('goes on waiting after the event loop was blocked, so that connections are not closed before their set-up is handled', async () => {
    const called = new Promise<number>(resolve => { startLoopTimeout(80, () => resolve(performance.now())) })
    const blockedUntil = performance.now() + 150
    while (performance.now() < blockedUntil);
    expect(await called - blockedUntil).to.be.at.least(50)
  })

  it('does not call back once cancelled', async () => {
    let called = false
    const cancel = startLoopTimeout(20, () => { called = true })
    await delay(10)
    cancel()
    await delay(40)
    expect(called).to.equal(false)
  })
})
