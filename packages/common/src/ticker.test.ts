import { expect } from 'chai'
import { MonotonicClock, delay } from './clock.js'
import { Ticker } from './ticker.js'

describe('Ticker', () => {
  const clock = new MonotonicClock()

  it('calls tasks whose intervals divide each other together, whenever they were added, so that they share wake-ups', async () => {
    const ticker = new Ticker(clock)
    const calls: Array<{ readonly task: string, readonly at: number }> = []
    const ends = [ticker.every(40, () => calls.push({ task: 'short', at: clock.now() }))]
    await delay(13)
    ends.push(ticker.every(80, () => calls.push({ task: 'long', at: clock.now() })))
    await delay(400)
    for (const end of ends) end()
    const long = calls.filter(({ task }) => task === 'long')
    expect(long.length).to.be.greaterThan(1)
    // No other task runs between the tasks of one wake-up, so the other task of the wake-up is next to this one in the list.
    for (const call of long) {
      const neighbours = [calls[calls.indexOf(call) - 1], calls[calls.indexOf(call) + 1]]
      expect(neighbours.some(other => other?.task === 'short' && Math.abs(other.at - call.at) < 5)).to.equal(true)
    }
  })

  it('does not call a task before its interval has passed, which would double its cost', async () => {
    const ticker = new Ticker(clock)
    let calls = 0
    const startedAt = clock.now()
    const end = ticker.every(20, () => { calls += 1 })
    await delay(300)
    end()
    expect(calls).to.be.at.least(1)
    expect(calls).to.be.at.most((clock.now() - startedAt) / 20 + 1)
  })

  it('removes a task, also during its own call, so that it does not run after the clean-up', async () => {
    const ticker = new Ticker(clock)
    const calls: string[] = []
    const endOther = ticker.every(20, () => calls.push('other'))
    const end = ticker.every(20, () => {
      calls.push('ending')
      end()
    })
    await delay(110)
    endOther()
    const { length } = calls
    await delay(60)
    expect(calls.filter(task => task === 'ending')).to.have.length(1)
    expect(calls).to.have.length(length)
  })

  it('waits at most one interval, and not at all after an abort, so that renewals are not late', async () => {
    const ticker = new Ticker(clock)
    const abort = new AbortController()
    const waiting = ticker.wait(3_600_000, abort.signal)
    const short = ticker.wait(50, new AbortController().signal)
    const startedAt = clock.now()
    await short
    // The bound allows the machine one additional interval.
    expect(clock.now() - startedAt).to.be.lessThan(100)
    abort.abort()
    await waiting
    await ticker.wait(3_600_000, abort.signal)
  })
})
