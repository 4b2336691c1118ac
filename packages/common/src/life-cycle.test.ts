import { expect } from 'chai'
import { LifeCycle } from './life-cycle.js'

describe('LifeCycle', () => {
  it('releases in reverse order, so that a resource outlives what depends on it', async () => {
    const order: string[] = []
    const lifeCycle = new LifeCycle('test')
    lifeCycle.own('first', () => { order.push('first') })
    lifeCycle.child('second').own('inner', () => { order.push('inner') })
    await lifeCycle.close()
    expect(order).to.deep.equal(['inner', 'first'])
  })

  it('runs every clean-up even when one fails, so that no resource leaks', async () => {
    const order: string[] = []
    const lifeCycle = new LifeCycle('test')
    lifeCycle.own('first', () => { order.push('first') })
    lifeCycle.own('failing', () => { throw new Error('boom') })
    const error = await lifeCycle.close().catch((thrown: unknown) => thrown)
    expect(error).to.have.property('code', 'clean_up_failed')
    expect(order).to.deep.equal(['first'])
  })
})
