import { expect } from 'chai'
import { RetryBudget, UnlimitedRetries } from './retry-budget.js'

describe('RetryBudget', () => {
  it('stops retries after several failures in a row and allows them again only after many successes', () => {
    const budget = new RetryBudget()
    for (let failure = 0; failure < 4; failure++) budget.failed()
    expect(budget.allowsRetry).to.equal(true)
    for (let failure = 0; failure < 4; failure++) budget.failed()
    expect(budget.allowsRetry).to.equal(false)
    for (let success = 0; success < 25; success++) budget.succeeded()
    expect(budget.allowsRetry).to.equal(false)
    for (let success = 0; success < 10; success++) budget.succeeded()
    expect(budget.allowsRetry).to.equal(true)
  })

  it('never stops retries in the baseline, so that measurements show the effect of the budget', () => {
    const budget = new UnlimitedRetries()
    for (let failure = 0; failure < 20; failure++) budget.failed()
    expect(budget.allowsRetry).to.equal(true)
  })
})
