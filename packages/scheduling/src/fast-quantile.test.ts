import { Random } from '@briarsaddle/common'
import { expect } from 'chai'
import { FastQuantile } from './fast-quantile.js'

describe('FastQuantile', () => {
  it('estimates the time that about a twentieth of the jobs took less than, and follows a change', () => {
    const random = new Random(7)
    const quantile = new FastQuantile()
    const mostlySlow = (scale: number): number => scale * (0.5 + random.fraction())
    for (const scale of [100, 300, 100]) {
      for (let job = 0; job < 2_000; job++) quantile.record(mostlySlow(scale), 0)
      expect(quantile.estimate(0)).to.be.within(0.45 * scale, 0.65 * scale)
    }
  })

  it('gives no estimate without enough recent jobs, so that an old one excludes nothing for good', () => {
    const quantile = new FastQuantile()
    for (let job = 0; job < 15; job++) quantile.record(100, 0)
    expect(quantile.estimate(0)).to.equal(0)
    quantile.record(100, 0)
    expect(quantile.estimate(1_000)).to.equal(100)
    expect(quantile.estimate(6_000)).to.equal(0)
  })
})
