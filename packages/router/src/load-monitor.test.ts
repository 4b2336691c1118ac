import { expect } from 'chai'
import { delay, MonotonicClock, TurnQueue } from '@briarsaddle/common'
import { LoadMonitor } from './load-monitor.js'

describe('LoadMonitor', () => {
  // Guards against a VM without spare processor time that looks idle to its operators.
  it('reports a busy event loop, and the wait for turns', async () => {
    const turns = new TurnQueue()
    const monitor = new LoadMonitor(new MonotonicClock(), turns)
    await delay(100)
    expect(monitor.take().busyShare).to.be.lessThan(0.5)
    const until = performance.now() + 200
    const turn = turns.turn()
    while (performance.now() < until) { /* The work of requests. */ }
    await turn
    const { milliseconds, busyShare, processorMilliseconds, longestTurnMilliseconds } = monitor.take()
    expect(busyShare).to.be.greaterThan(0.8)
    expect(processorMilliseconds).to.be.greaterThan(0)
    expect(milliseconds).to.be.at.least(200)
    expect(longestTurnMilliseconds).to.be.at.least(150)
  })
})
