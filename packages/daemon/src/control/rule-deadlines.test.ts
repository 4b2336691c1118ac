import { expect } from 'chai'
import { ManualClock } from '@briarsaddle/common'
import { parseRules } from '@briarsaddle/rules'
import { RuleDeadlines } from './rule-deadlines.js'

describe('RuleDeadlines', () => {
  const rules = (deadline: string): ReturnType<typeof parseRules> => parseRules(`POST /orders pool=ponds at-most-once class=normal deadline=${deadline} # Ana, dispatch desk\n`, 'rules')

  it('counts replaced rules while requests accepted under them may run, so that a successor does not send requests at the same time', () => {
    const clock = new ManualClock()
    const deadlines = new RuleDeadlines(clock)
    deadlines.rulesRead(rules('120s'))
    expect(deadlines.longest('ponds')).to.equal(120_000)
    deadlines.rulesRead(rules('2s'))
    clock.advance(130_000)
    expect(deadlines.longest('ponds')).to.equal(120_000)
    clock.advance(7_000)
    expect(deadlines.longest('ponds')).to.equal(2_000)
    expect(deadlines.longest('crews')).to.equal(0)
  })
})
