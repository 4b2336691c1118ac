import { LifeCycle, ManualClock, delay } from '@briarsaddle/common'
import { initialState, type ControlState } from '@briarsaddle/ownership'
import type { EndpointLoad } from '@briarsaddle/scheduling'
import { expect } from 'chai'
import type { Coordinator } from '../coordinator/coordinator.js'
import type { EndpointSession } from '../coordinator/endpoint-session.js'
import { LongDurations, LongWork } from '../coordinator/long-work.js'
import type { EndpointLoads } from './endpoint-loads.js'
import type { LogFollower } from './log-follower.js'
import { LongJobReliever } from './long-job-relief.js'
import type { MoveHistory } from './move-history.js'
import type { Proposal, RecordWriter } from './record-writer.js'

const pool = 'ponds'
const rule = 7

/** One endpoint with 50 equally busy buckets and one idle target. The writer records each proposal, but none is appended. */
class Bench {
  readonly clock = new ManualClock()
  readonly holds: number[] = []
  readonly proposals: Proposal[] = []
  readonly durations = new LongDurations(() => 1)
  readonly longWork = new LongWork(pool, this.clock, this.durations)
  readonly reliever: LongJobReliever
  readonly session: EndpointSession
  shortSlots = 0.9
  readonly state: ControlState

  constructor (keyed = true) {
    const buckets = Array.from({ length: 51 }, () => ({ owner: 'a', token: 5, pendingFrom: undefined, former: undefined }))
    this.state = { ...initialState(), pools: new Map([[pool, { version: 5, buckets }]]) }
    const rules = { rules: [{ pool, key: keyed ? { from: 'path', name: 'pond' } : undefined }] }
    const top = Array.from({ length: 50 }, (_, bucket) => ({ bucket, milliseconds: 1, share: 0.02, since: 0 }))
    this.session = {
      description: { id: 'a', pool },
      grants: { state: 'active', draining: false },
      longWork: this.longWork,
      queue: { slots: 2, delayLongJobs: (until: number) => this.holds.push(until) },
      load: { requestsPerSecond: 10, hotBuckets: { top: () => top } }
    } as unknown as EndpointSession
    this.reliever = new LongJobReliever({
      follower: { state: this.state, rules, waitForPosition: async () => false } as unknown as LogFollower,
      coordinator: { sessions: [this.session] } as unknown as Coordinator,
      writer: { propose: async (_topic: string, proposal: Proposal) => { this.proposals.push(proposal); return undefined } } as unknown as RecordWriter,
      loads: { loadOf: () => this.#load('a', this.shortSlots), others: async () => [this.#load('b', 0.2)] } as unknown as EndpointLoads,
      history: { lastMove: () => undefined } as unknown as MoveHistory,
      clock: this.clock,
      lifeCycle: new LifeCycle('test')
    })
  }

  arrive (bucket = 50, deadlineMilliseconds = 120_000): void {
    this.longWork.add(bucket, rule)
    this.reliever.jobArrives(this.session, deadlineMilliseconds)
  }

  #load (endpoint: string, shortSlots: number): EndpointLoad {
    return { endpoint, slots: 2, busy: shortSlots / 2, queued: 0, shortSlots, longJobs: 0, accepting: true }
  }
}

describe('LongJobReliever', () => {
  it('holds the first long job for at most 1 s and ends the hold when nothing moves, so that the job does not starve', async () => {
    const bench = new Bench()
    bench.durations.record(pool, rule, 6000)
    bench.arrive()
    expect(bench.holds).to.deep.equal([1000])
    await delay(10)
    expect(bench.proposals).to.have.length(1)
    expect(bench.holds).to.deep.equal([1000, -Infinity])
  })

  it('holds a job with a short deadline for at most a tenth of the deadline', () => {
    const bench = new Bench()
    bench.durations.record(pool, rule, 6000)
    bench.arrive(50, 2000)
    expect(bench.holds).to.deep.equal([200])
  })

  it('does not hold a job behind another long job, a job of a rule without observed durations, or a job where the remaining slots have capacity', () => {
    const unknown = new Bench()
    unknown.arrive()
    const roomy = new Bench()
    roomy.durations.record(pool, rule, 6000)
    roomy.shortSlots = 0.3
    roomy.arrive()
    const second = new Bench()
    second.durations.record(pool, rule, 6000)
    second.longWork.add(50, rule)
    second.arrive()
    expect([unknown, roomy, second].map(({ holds }) => holds)).to.deep.equal([[], [], []])
  })

  it('does not hold a job of a pool without keys, where nothing can move', () => {
    const bench = new Bench(false)
    bench.durations.record(pool, rule, 6000)
    bench.arrive(-1)
    expect(bench.holds).to.deep.equal([])
  })

  it('does not move the bucket of a waiting long job, whose requests would be refused until the job ends', async () => {
    const bench = new Bench()
    bench.durations.record(pool, rule, 60_000)
    bench.arrive(0)
    await delay(10)
    const [proposal] = bench.proposals
    const moved = proposal?.kind === 'assignment' ? proposal.moves.map(({ bucket }) => bucket) : []
    expect(moved).to.have.length.above(10)
    expect(moved).not.to.include(0)
  })

  it('moves buckets away when a job turns out to be long, and reviews an endpoint at most every 500 ms', async () => {
    const bench = new Bench()
    bench.longWork.start(bench.longWork.add(50, rule))
    bench.reliever.review()
    await delay(10)
    expect(bench.proposals).to.have.length(0)
    bench.clock.advance(6000)
    bench.reliever.review()
    bench.reliever.review()
    await delay(10)
    expect(bench.proposals).to.have.length(1)
  })
})
