import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { LifeCycle, delay } from '@briarsaddle/common'
import { expect } from 'chai'
import { planRequests } from './plan.js'
import { formatReport } from './report.js'
import { resultSchema } from './result.js'
import { runPlan, type FinishedRequest } from './run-plan.js'
import type { Phase, Scenario } from './scenario.js'
import { scenarios } from './scenarios.js'
import { Sender, readOutcome, type Outcome } from './sender.js'
import { summarizeRun, type RunInput } from './summarize-run.js'

const scenario = scenarios.get('atlas') as Scenario
const phase = scenario.phases['steady'] as Phase
const plan = planRequests({ scenario, phase, seed: 1, requestsPerSecond: 100, durationSeconds: 1 })
const answered: Outcome = { outcome: 'answered', reason: '', status: 200, retryAfter: false, endpoint: 'e1' }

function summarize (finished: readonly FinishedRequest[], changes: Partial<RunInput> = {}): ReturnType<typeof summarizeRun> {
  return summarizeRun({ scenario, phaseName: 'steady', phase, seed: 1, requestsPerSecond: 100, durationSeconds: 1, targets: [], startedAt: '', finished, records: [], ...changes })
}

function finish (index: number, changes: Partial<FinishedRequest>): FinishedRequest {
  return { ...answered, id: `t-${index}`, planned: plan[index] as FinishedRequest['planned'], latencyMilliseconds: 50, sendDelayMilliseconds: 0, waitedForConnection: false, ...changes }
}

describe('runPlan', () => {
  it('keeps sending while answers are slow and counts from the planned arrival, so that waiting is not hidden', async () => {
    let underWay = 0
    let most = 0
    const send = async (): Promise<Outcome> => {
      most = Math.max(most, ++underWay)
      await delay(400)
      underWay--
      return answered
    }
    const finished = await runPlan(plan, { send, idPrefix: 't' })
    expect(finished).to.have.length(plan.length)
    expect(most).to.be.greaterThan(plan.length / 5)
    expect(Math.min(...finished.map(({ latencyMilliseconds }) => latencyMilliseconds))).to.be.at.least(399)
  })

  it('bounds the requests under way and reports the rest as not sent', async () => {
    const finished = await runPlan(plan, { send: async () => { await delay(1500); return answered }, idPrefix: 't', maximumUnderWay: 5 })
    expect(finished.filter(({ reason }) => reason === 'client:too_many_under_way')).to.have.length(plan.length - 5)
  })
})

describe('Sender', () => {
  it('records outcomes over HTTP, and a missing listener as not run', async () => {
    const lifeCycle = new LifeCycle('test')
    const received: string[] = []
    const server = createServer((request, response) => {
      received.push(`${request.method} ${request.url} ${request.headers['x-service-milliseconds']} ${request.headers['x-test-request']}`)
      response.writeHead(503, { 'briarsaddle-outcome': 'not-run', 'briarsaddle-reason': 'queue_full', 'retry-after': '1' }).end()
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    const request = plan[0] as FinishedRequest['planned']
    const sender = new Sender([address], 1, lifeCycle)
    expect(await sender.send(request, 'id-1')).to.deep.equal({ outcome: 'not-run', reason: 'queue_full', status: 503, retryAfter: true, endpoint: undefined })
    expect(received).to.deep.equal([`${request.kind.method} ${request.path} ${request.serviceMilliseconds} id-1`])
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
    expect(await sender.send(request, 'id-2')).to.include({ outcome: 'not-run', reason: 'client:ECONNREFUSED' })
    await lifeCycle.close()
  })

  it('counts an answer without an outcome header as unknown, never as success', () => {
    expect(readOutcome(200, {}, '{}')).to.include({ outcome: 'unknown', reason: 'no_outcome_header' })
  })
})

describe('summarizeRun', () => {
  it('counts refusals and late answers apart, and neither as goodput', () => {
    const result = summarize([
      finish(0, {}),
      finish(1, { latencyMilliseconds: 200_000 }),
      finish(2, { outcome: 'not-run', reason: 'queue_full', status: 503 }),
      finish(3, { outcome: 'unknown', reason: 'timeout', status: 504, retryAfter: true })
    ])
    expect(result).to.deep.include({ goodputPerSecond: 1, deadlineMisses: 1, refusals: { queue_full: 1 }, unknown: { timeout: 1 }, refusalsWithoutRetryAfter: 1 })
    expect(() => resultSchema.parse(JSON.parse(JSON.stringify(result)))).not.to.throw()
  })

  it('finds requests that ran twice and false reports of not run', () => {
    const at = { clock: 0, wall: 0 }
    const ran = (id: string): { testRequest: string, method: string, start: typeof at, end: typeof at, result: string } => ({ testRequest: id, method: 'POST', start: at, end: at, result: 'completed' })
    const post = plan.findIndex(({ kind }) => !kind.idempotent)
    const records = [{ endpoint: 'e1', pool: 'ponds', slots: 2, dropped: 0, requests: [ran('twice'), ran('twice'), ran('ran')], held: [] }]
    const finished = [finish(post, { id: 'twice' }), finish(post, { id: 'ran', outcome: 'not-run', reason: 'expired_in_queue' }), finish(post, { id: 'fine', outcome: 'not-run', reason: 'queue_full' })]
    expect(summarize(finished, { records }).violations).to.deep.equal({ ranTwice: 1, reportedNotRunButRan: 1, recordsIncomplete: false })
  })

  it('counts every arrival of a planned request at an endpoint, so that repeats show', () => {
    const at = { clock: 0, wall: 0 }
    const arrived = (id: string, result: string): { testRequest: string, method: string, start: typeof at, end: typeof at, result: string } => ({ testRequest: id, method: 'POST', start: at, end: at, result })
    const records = [{ endpoint: 'e1', pool: 'ponds', slots: 2, dropped: 0, requests: [arrived('one', 'refused:shed'), arrived('one', 'completed'), arrived('warm-up', 'completed')], held: [] }]
    const ponds = plan.findIndex(({ kind }) => kind.pool === 'ponds')
    const { pools } = summarize([finish(ponds, { id: 'one' }), finish(ponds, { id: 'refused', outcome: 'not-run', reason: 'queue_full' })], { records })
    expect(pools['ponds']?.attemptsPerRequest).to.equal(1)
    expect(pools['dispatch']?.attemptsPerRequest).to.equal(-1)
  })

  it('measures ownership changes and unavailable spans per key', () => {
    const [first] = plan.filter(({ key }) => key !== undefined)
    const at = (milliseconds: number, changes: Partial<FinishedRequest>): FinishedRequest => finish(0, { planned: { ...first as FinishedRequest['planned'], at: milliseconds }, ...changes })
    const lost = { outcome: 'not-run', reason: 'endpoint_lost', status: 503, endpoint: undefined } as const
    const { churn, unavailable } = summarize([at(0, {}), at(100, lost), at(300, lost), at(600, { endpoint: 'e2' }), at(700, { endpoint: 'e2' })]).measures
    expect(churn).to.deep.equal({ keyOwnerChanges: 1, bucketMoves: -1 })
    expect(unavailable).to.deep.equal({ spans: 1, totalMilliseconds: 500, longestMilliseconds: 500 })
  })
})

describe('formatReport', () => {
  it('shows ratios against the first result, so that a change can be read at a glance', () => {
    const baseline = summarize([finish(0, {}), finish(1, {})])
    const changed = summarize([finish(0, {})])
    const text = formatReport([{ name: 'baseline', result: baseline }, { name: 'changed', result: changed }])
    expect(text).to.match(/goodput \/s\s+2\s+1 \(x0\.50\)/)
  })
})
