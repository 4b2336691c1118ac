import { expect } from 'chai'
import fc from 'fast-check'
import { formerWorkEnd, latestWorkEnd } from './work-limit.js'

const margin = 0.02
const deadline = fc.integer({ min: 1, max: 600_000 })

describe('work limit of endpoints that do not check', () => {
  it('lets a successor begin only after all work of its predecessor, also one that knew shorter deadlines (two VMs side by side)', () => {
    fc.assert(fc.property(deadline, deadline, fc.integer({ min: 0, max: 500 }), (one, other, left) => {
      const [known, longest] = [Math.min(one, other), Math.max(one, other)]
      // The successor's time for the end of the rights is never before that of the right.
      expect(formerWorkEnd(left, longest, margin)).to.be.at.least(latestWorkEnd(left, known))
    }), { seed: 4711 })
  })

  it('lets a successor begin only after the rights have ended, under which its predecessor may still send', () => {
    fc.assert(fc.property(deadline, longest => formerWorkEnd(0, longest, margin) > 0), { seed: 4711 })
  })

  it('cuts no deadline while rights are renewed in time', () => {
    fc.assert(fc.property(deadline, fc.integer({ min: 200, max: 490 }), (longest, left) => latestWorkEnd(left, longest) >= longest), { seed: 4711 })
  })

  it('shortens the wait of a successor by 196 ms for deadlines of 2 s and more', () => {
    expect(formerWorkEnd(510, 2_000, margin)).to.be.closeTo(2_314, 0.001)
  })
})
