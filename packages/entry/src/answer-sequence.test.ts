import { expect } from 'chai'
import { Random } from '@briarsaddle/common'
import { AnswerSequence, type Turn } from './answer-sequence.js'

/** Requests of one connection, by name, and what is written on it. */
class Connection {
  readonly sequence = new AnswerSequence()
  readonly written: string[] = []
  readonly #turns = new Map<string, Turn>()

  add (name: string): boolean {
    const turn = this.sequence.add()
    if (turn !== undefined) this.#turns.set(name, turn)
    return turn !== undefined
  }

  passOn (name: string): boolean { return this.sequence.passOn(this.#turn(name)) }
  closeAfter (name: string): boolean { return this.sequence.closeAfter(this.#turn(name)) }
  answer (name: string, stopping = false): void {
    this.sequence.answer(this.#turn(name), closes => this.written.push(closes ? `${name} and close` : name), stopping)
  }

  #turn (name: string): Turn { return this.#turns.get(name) as Turn }
}

describe('AnswerSequence', () => {
  let connection: Connection

  beforeEach(() => { connection = new Connection() })

  function send (...names: readonly string[]): void {
    for (const name of names) {
      expect(connection.add(name)).to.equal(true)
      expect(connection.passOn(name)).to.equal(true)
    }
  }

  it('writes answers in the order of their requests', () => {
    send('a', 'b', 'c')
    connection.answer('c')
    connection.answer('b')
    expect(connection.written).to.deep.equal([])
    connection.answer('a')
    expect(connection.written).to.deep.equal(['a', 'b', 'c'])
  })

  // Guards against requests that are passed on while an answer with `Connection: close` waits for an earlier one (LOST).
  it('at a stop, closes with the answer that nothing waits behind when it is written, not when it is ready', () => {
    send('slow', 'ready')
    connection.answer('ready', true)
    send('later')
    connection.answer('slow', true)
    expect(connection.written).to.deep.equal(['slow', 'ready'])
    connection.answer('later', true)
    expect(connection.written.at(-1)).to.equal('later and close')
    expect(connection.add('after the close')).to.equal(false)
  })

  // Guards against an answer without a length that discards the answers behind it (LOST).
  it('does not close after an answer while requests behind it have been passed on', () => {
    send('a', 'b')
    expect(connection.closeAfter('a')).to.equal(false)
    connection.answer('b')
    connection.answer('a')
    expect(connection.written).to.deep.equal(['a', 'b'])
  })

  it('takes no further requests once it is decided which answer is the last, and drops those that were not passed on', () => {
    send('first', 'last')
    expect(connection.add('waiting')).to.equal(true)
    expect(connection.closeAfter('last')).to.equal(true)
    expect(connection.passOn('waiting')).to.equal(false)
    expect(connection.add('later')).to.equal(false)
    expect(connection.closeAfter('first')).to.equal(false)
    connection.answer('waiting')
    connection.answer('last')
    connection.answer('first')
    expect(connection.written).to.deep.equal(['first', 'last and close'])
  })

  // Guards against any order of events in which a request that was passed on gets no answer, or two answers close the connection.
  it('answers every request that was passed on, in any order of events', () => {
    for (let seed = 1; seed <= 300; seed++) {
      const random = new Random(seed)
      connection = new Connection()
      const passedOn: string[] = []
      const waiting: string[] = []
      const running: string[] = []
      let stopping = false
      const take = (names: string[]): string | undefined => names.splice(random.integer(0, Math.max(0, names.length - 1)), 1)[0]
      for (let step = 0; step < 60; step++) {
        const event = random.integer(0, 9)
        if (event <= 3) {
          if (connection.add(`r${step}`)) waiting.push(`r${step}`)
        } else if (event <= 6) {
          const name = waiting.shift()
          if (name !== undefined && connection.passOn(name)) {
            passedOn.push(name)
            running.push(name)
          }
        } else if (event <= 8) {
          const name = take(running)
          if (name === undefined) continue
          if (random.integer(0, 5) === 0) connection.closeAfter(name)
          connection.answer(name, stopping)
        } else {
          stopping ||= random.integer(0, 3) === 0
        }
      }
      for (const name of waiting) connection.answer(name, stopping)
      for (let name = take(running); name !== undefined; name = take(running)) connection.answer(name, stopping)
      const names = connection.written.map(text => text.replace(' and close', ''))
      expect(names.filter(name => passedOn.includes(name)), `seed ${seed}`).to.deep.equal(passedOn)
      expect(connection.written.slice(0, -1).filter(text => text.endsWith('close')), `seed ${seed}`).to.deep.equal([])
    }
  })
})
