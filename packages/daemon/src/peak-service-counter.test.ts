import { expect } from 'chai'
import { PeakServiceCounter } from './peak-service-counter.js'

describe('PeakServiceCounter', () => {
  it('reports only windows near the highest demand, so that times of low demand do not hide poor service at the peak', () => {
    const service = new PeakServiceCounter()
    const window = (offered: number, answered: number): unknown => {
      for (let index = 0; index < offered; index++) service.record('ponds', index < answered)
      return service.closeWindow()
    }
    expect(window(100, 75)).to.deep.equal([{ pool: 'ponds', answeredShare: 0.75 }])
    expect(window(10, 10)).to.deep.equal([])
    expect(window(0, 0)).to.deep.equal([])
    expect(window(90, 90)).to.deep.equal([{ pool: 'ponds', answeredShare: 1 }])
  })
})
