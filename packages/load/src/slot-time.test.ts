import { expect } from 'chai'
import type { EndpointRecord } from './observers.js'
import { planRequests } from './plan.js'
import type { FinishedRequest } from './run-plan.js'
import type { Phase, Scenario } from './scenario.js'
import { scenarios } from './scenarios.js'
import { slotTimes } from './slot-time.js'

const atlas = scenarios.get('atlas') as Scenario
const scenario: Scenario = { ...atlas, pools: [{ pool: 'dispatch', endpoints: 1, slots: 2, keyed: false }] }
const planned = planRequests({ scenario: atlas, phase: atlas.phases['steady'] as Phase, seed: 1, requestsPerSecond: 100, durationSeconds: 1 })
  .find(({ kind }) => kind.name === 'dispatch') as FinishedRequest['planned']

interface Work {
  readonly id: string
  readonly at: number
  readonly from: number
  readonly to: number
  readonly result?: string
}

function timesOf (work: readonly Work[]): Readonly<Record<string, number>> | undefined {
  const time = (milliseconds: number): { clock: number, wall: number } => ({ clock: milliseconds + 7, wall: milliseconds })
  const requests = work.map(({ id, from, to, result = 'completed' }) => ({ testRequest: id, method: 'POST', start: time(from), end: time(to), result }))
  const finished = work.map(({ id, at, to, result }): FinishedRequest => ({
    outcome: result === undefined ? 'answered' : 'unknown', reason: '', status: 200, retryAfter: false, endpoint: 'e1', id, planned: { ...planned, at }, latencyMilliseconds: to - at, sendDelayMilliseconds: 0, waitedForConnection: false
  }))
  const records: readonly EndpointRecord[] = [{ endpoint: 'e1', pool: 'dispatch', slots: 2, dropped: 0, requests, held: [] }]
  return slotTimes({ scenario, finished, records, durationSeconds: 1, startedAt: new Date(0).toISOString() })['dispatch']
}

describe('slotTimes', () => {
  it('splits busy time by use, and counts none twice (a share that hides where the rest went)', () => {
    const times = timesOf([
      { id: 'useful', at: 0, from: 0, to: 400 },
      { id: 'cut off', at: 0, from: 0, to: 300, result: 'cancelled' },
      { id: 'ends later', at: 700, from: 700, to: 1_400 }
    ])
    expect(times).to.deep.equal({ useful: 0.2, usefulAtEnd: 0.15, wasted: 0.15, handOver: 0, idleWhileQueued: 0, idleWithEmptyQueue: 0.5 })
  })

  it('tells the way between two requests from a slot kept idle, and both from an empty queue (a wrong cause)', () => {
    const times = timesOf([
      { id: 'whole run', at: 0, from: 0, to: 1_000 },
      { id: 'first', at: 0, from: 0, to: 200 },
      { id: 'after 4 ms', at: 100, from: 204, to: 300 },
      { id: 'held back', at: 100, from: 400, to: 600 }
    ])
    expect(Object.entries(times ?? {}).map(([use, value]) => [use, Math.round(value * 1e6) / 1e6])).to.deep.equal([
      ['useful', 0.748], ['usefulAtEnd', 0], ['wasted', 0], ['handOver', 0.002], ['idleWhileQueued', 0.05], ['idleWithEmptyQueue', 0.2]
    ])
  })
})
