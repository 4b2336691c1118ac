import { expect } from 'chai'
import { Metrics } from './metrics.js'

describe('Metrics', () => {
  it('sends requests by class, outcome and reason, so that they can be told apart', () => {
    const metrics = new Metrics({ host: '127.0.0.1', port: 8125, prefix: 'briarsaddle.', vm: 'vm1', mock: true })
    metrics.request({ pool: 'ponds', serviceClass: 'prompt', outcome: 'not-run', reason: 'queue_full', milliseconds: 3 })
    expect(metrics.mockBuffer[0]).to.match(/^briarsaddle\.requests:1\|c\|#(?=.*pool:ponds)(?=.*class:prompt)(?=.*outcome:not-run)(?=.*reason:queue_full)(?=.*vm:vm1)/)
    expect(metrics.mockBuffer[1]).to.match(/^briarsaddle\.request_milliseconds:3\|ms/)
  })

  it('counts errors instead of throwing, so that no request fails because of its metric', async () => {
    const metrics = new Metrics({ host: '127.0.0.1', port: 8125, prefix: '', vm: 'vm1' })
    await metrics.close()
    for (let index = 0; index < 100; index++) metrics.loadImbalance('ponds'.repeat(10), 1.5)
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(metrics.errors).to.be.greaterThan(0)
  })
})
