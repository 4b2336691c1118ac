import { expect } from 'chai'
import { delay } from './clock.js'
import { LifeCycle } from './life-cycle.js'

describe('LifeCycle', () => {
  it('releases resources in reverse order, so that each outlives those that depend on it', async () => {
    const order: string[] = []
    const lifeCycle = new LifeCycle('test')
    lifeCycle.own('first', () => { order.push('first') })
    lifeCycle.child('second').own('inner', () => { order.push('inner') })
    await lifeCycle.close()
    expect(order).to.deep.equal(['inner', 'first'])
  })

  it('runs every clean-up step even if one fails, so that no resource leaks', async () => {
    const order: string[] = []
    const lifeCycle = new LifeCycle('test')
    lifeCycle.own('first', () => { order.push('first') })
    lifeCycle.own('failing', () => { throw new Error('boom') })
    const error = await lifeCycle.close().catch((thrown: unknown) => thrown)
    expect(error).to.have.property('code', 'clean_up_failed')
    expect(order).to.deep.equal(['first'])
  })

  it('rejects a periodic task after closing and does not run it, so that no task runs for ever', async () => {
    const lifeCycle = new LifeCycle('test')
    await lifeCycle.close()
    let runs = 0
    expect(() => lifeCycle.every('late', 10, () => { runs += 1 }, () => {})).to.throw().with.property('code', 'already_closed')
    await delay(50)
    expect(runs).to.equal(0)
  })
})
