import { expect } from 'chai'
import { RunningRequests } from './running-requests.js'

describe('RunningRequests', () => {
  it('counts a long request until it ends, so that a bucket is not moved while the request would keep the move pending', () => {
    const work = new RunningRequests()
    work.start(7, true)
    work.start(7, false)
    work.end(7, false)
    expect([work.total, work.has(7), work.hasLong(7), work.hasLong(8)]).to.deep.equal([1, true, true, false])
    work.end(7, true)
    expect([work.total, work.has(7), work.hasLong(7)]).to.deep.equal([0, false, false])
  })
})
