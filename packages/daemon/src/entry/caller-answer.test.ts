import { expect } from 'chai'
import { Random } from '@briarsaddle/common'
import { headerValue } from '@briarsaddle/entry'
import { Answer, lengthUnknown, Outcome } from '@briarsaddle/protocol'
import { callerAnswer } from './caller-answer.js'

const answer: Answer = { ...Answer.create(), outcome: Outcome.OUTCOME_ANSWERED, status: 200, headers: [{ name: 'Content-Type', value: 'text/plain' }], body: Buffer.from('body') }

describe('callerAnswer', () => {
  it('gives an answer its length, without a question to the connection', () => {
    const { headers, endsWithConnection } = callerAnswer(answer, 'GET', new Random(1), () => { throw new Error('asked') })
    expect(headerValue(headers, 'content-length')).to.equal('4')
    expect(endsWithConnection).to.equal(false)
  })

  // Guards against a part that looks whole (MIXED), and against answers that are dropped behind it (LOST).
  it('gives an answer without a length none, and does not use it when the connection has to stay open', () => {
    const unframed = { ...answer, reason: lengthUnknown }
    const { status, headers, endsWithConnection } = callerAnswer(unframed, 'GET', new Random(1), () => true)
    expect({ status, endsWithConnection }).to.deep.equal({ status: 200, endsWithConnection: true })
    expect(headerValue(headers, 'content-length')).to.equal(undefined)
    expect(callerAnswer(unframed, 'GET', new Random(1), () => false)).to.include({ status: 504, outcome: 'unknown', reason: lengthUnknown })
  })
})
