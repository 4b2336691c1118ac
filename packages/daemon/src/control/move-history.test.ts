import { randomUUID } from 'node:crypto'
import { ManualClock } from '@briarsaddle/common'
import { applyRecord, initialState, type ControlRecord, type ControlState } from '@briarsaddle/ownership'
import type { RuleFile } from '@briarsaddle/rules'
import { expect } from 'chai'
import { ControlView } from '../contracts.js'
import { MoveHistory } from './move-history.js'

const pool = 'ponds'

/** Applies records and passes each to the history, as the log follower does. */
class Bench extends ControlView {
  state: ControlState = initialState()
  readonly rules: RuleFile = { rules: [] } as unknown as RuleFile
  readonly clock = new ManualClock()
  readonly history = new MoveHistory(this, this.clock)

  constructor () {
    super()
    for (const id of ['a', 'b']) this.#add({ kind: 'coordinator', base: -1, vm: 'vm', endpoint: { id, pool, dataCentre: 'dc', host: '127.0.0.1', port: 1, checks: true } })
    this.assign('a', 0, 1, 2, 3)
    this.clock.advance(20_000)
  }

  assign (to: string, ...buckets: number[]): void {
    this.#add({ kind: 'assignment', pool, base: this.state.pools.get(pool)?.version ?? -1, moves: buckets.map(bucket => ({ bucket, to })) })
  }

  override async waitForPosition (): Promise<boolean> {
    return false
  }

  #add (proposal: object): void {
    const record = { id: randomUUID(), ...proposal } as ControlRecord
    const offset = this.state.position + 1
    const { state, voidReason } = applyRecord(this.state, offset, record)
    expect(voidReason).to.equal(undefined)
    this.state = state
    this.history.recordsRead([{ offset, record, voidReason }])
  }
}

describe('MoveHistory', () => {
  it('remembers the last move of a bucket for 5 min, so that the bucket neither moves again too soon nor straight back', () => {
    const bench = new Bench()
    expect(bench.history.lastMove(pool, 0)).to.equal(undefined)
    const at = bench.clock.now()
    bench.assign('b', 0)
    bench.clock.advance(100_000)
    bench.assign('b', 1)
    expect(bench.history.lastMove(pool, 0)).to.deep.equal({ at, from: 'a' })
    bench.clock.advance(250_000)
    bench.assign('b', 2)
    expect(bench.history.lastMove(pool, 0)).to.equal(undefined)
    expect(bench.history.lastMove(pool, 1)?.from).to.equal('a')
  })

  it('treats both endpoints as unsettled until their load averages cover only the time since the move', () => {
    const bench = new Bench()
    bench.assign('b', 0)
    expect([bench.history.isSettled('a'), bench.history.isSettled('b'), bench.history.isSettled('c')]).to.deep.equal([false, false, true])
    bench.clock.advance(10_000)
    expect([bench.history.isSettled('a'), bench.history.isSettled('b')]).to.deep.equal([true, true])
  })

  it('knows that an endpoint gave some of its buckets away recently, so that it does not take them back', () => {
    const bench = new Bench()
    bench.assign('b', 0)
    expect([bench.history.gaveRecently('a'), bench.history.gaveRecently('b')]).to.deep.equal([true, false])
    bench.clock.advance(300_000)
    expect(bench.history.gaveRecently('a')).to.equal(false)
  })

  it('lets an endpoint that gave all its buckets away take others at once, so that a lost endpoint gets its share when it is back', () => {
    const bench = new Bench()
    bench.assign('b', 0)
    bench.assign('b', 1, 2, 3)
    expect(bench.history.gaveRecently('a')).to.equal(false)
  })
})
