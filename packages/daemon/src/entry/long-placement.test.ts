import { expect } from 'chai'
import { LongPlacement } from './long-placement.js'

describe('LongPlacement', () => {
  it('avoids an endpoint until its last long job has ended, so that long jobs do not run at the same endpoint', () => {
    const placement = new LongPlacement()
    placement.started('a')
    placement.started('a')
    placement.started('b')
    placement.ended('b')
    placement.ended('a')
    expect([...placement.avoid(new Set(['c']))]).to.have.members(['a', 'c'])
    placement.ended('a')
    expect([...placement.avoid(new Set(['c']))]).to.deep.equal(['c'])
  })
})
