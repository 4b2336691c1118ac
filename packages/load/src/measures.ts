import { summarize } from './histogram.js'
import type { EndpointRecord } from './observers.js'
import type { Measures, RunResult } from './result.js'
import type { FinishedRequest } from './run-plan.js'
import type { Scenario } from './scenario.js'

/** What the measures are computed from. */
export interface MeasureInput {
  readonly scenario: Scenario
  readonly finished: readonly FinishedRequest[]
  /** Empty when no endpoint was observed. */
  readonly records: readonly EndpointRecord[]
  readonly windowSeconds: number
}

/** Reasons that mean that no server could take requests for the key, as opposed to load or cancellation. */
const unavailableReasons: ReadonlySet<string> = new Set([
  'not_owner', 'not_coordinator', 'endpoint_unavailable', 'endpoint_lost', 'endpoint_refused', 'effect_refused', 'peer_unreachable',
  'no_owner', 'no_right', 'connection_lost', 'client:ECONNREFUSED', 'client:UND_ERR_SOCKET'
])

/** Computes the five measures of section 1.3 of the design page. */
export function computeMeasures (input: MeasureInput): Measures {
  const inOrder = [...input.finished].sort((one, other) => one.planned.at - other.planned.at)
  return {
    loadImbalance: loadImbalance(input),
    churn: { keyOwnerChanges: keyOwnerChanges(inOrder), bucketMoves: bucketMoves(input.records) },
    unavailable: unavailable(inOrder),
    windowService: windowService(input),
    headOfLineBlocking: headOfLineBlocking(input.finished)
  }
}

/** Whether the request was answered before its deadline, counted from the planned arrival. */
export function isInTime ({ outcome, status, latencyMilliseconds, planned }: FinishedRequest): boolean {
  return outcome === 'answered' && status < 500 && latencyMilliseconds <= planned.kind.deadlineMilliseconds
}

/** Waiting time: what the caller saw beyond the service time. */
export function waitingMilliseconds ({ latencyMilliseconds, planned }: FinishedRequest): number {
  return Math.max(0, latencyMilliseconds - planned.serviceMilliseconds)
}

function loadImbalance ({ scenario, finished, records }: MeasureInput): Measures['loadImbalance'] {
  const work = new Map<string, Map<string, number>>(scenario.pools.map(({ pool }) => [pool, new Map<string, number>()]))
  const add = (pool: string, endpoint: string, milliseconds: number): void => {
    const ofPool = work.get(pool)
    ofPool?.set(endpoint, (ofPool.get(endpoint) ?? 0) + milliseconds)
  }
  for (const { pool, endpoint, requests } of records) {
    add(pool, endpoint, 0)
    for (const { start, end } of requests) if (end !== undefined) add(pool, endpoint, end.clock - start.clock)
  }
  if (records.length === 0) {
    for (const { endpoint, planned } of finished) if (endpoint !== undefined) add(planned.kind.pool, endpoint, planned.serviceMilliseconds)
  }
  return Object.fromEntries(scenario.pools.map(({ pool, endpoints }) => {
    const values = [...work.get(pool)?.values() ?? []]
    // An endpoint that answered nothing is idle, not missing.
    while (values.length < endpoints) values.push(0)
    return [pool, { ...spread(values), endpoints: values.length }]
  }))
}

function spread (values: readonly number[]): { readonly maximumToMean: number, readonly variation: number } {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  if (!(mean > 0)) return { maximumToMean: 0, variation: 0 }
  const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / values.length
  return { maximumToMean: Math.max(...values) / mean, variation: Math.sqrt(variance) / mean }
}

function keyOwnerChanges (inOrder: readonly FinishedRequest[]): number {
  const owners = new Map<string, string>()
  let changes = 0
  for (const { planned: { key }, endpoint } of inOrder) {
    if (key === undefined || endpoint === undefined) continue
    const former = owners.get(key)
    if (former !== undefined && former !== endpoint) changes++
    owners.set(key, endpoint)
  }
  return changes
}

/** Counts changes of holder. A holder that loses and regains a bucket without another one between is no move. */
function bucketMoves (records: readonly EndpointRecord[]): number {
  if (records.length === 0) return -1
  const intervals = new Map<string, Array<{ readonly endpoint: string, readonly from: number }>>()
  for (const { pool, endpoint, held } of records) {
    for (const { bucket, from } of held) {
      const id = `${pool}/${bucket}`
      intervals.set(id, [...intervals.get(id) ?? [], { endpoint, from: from.wall }])
    }
  }
  let moves = 0
  for (const ofBucket of intervals.values()) {
    ofBucket.sort((one, other) => one.from - other.from)
    for (const [index, { endpoint }] of ofBucket.entries()) if (index > 0 && ofBucket[index - 1]?.endpoint !== endpoint) moves++
  }
  return moves
}

function unavailable (inOrder: readonly FinishedRequest[]): Measures['unavailable'] {
  const since = new Map<string, number>()
  const spans: number[] = []
  let end = 0
  for (const { planned, outcome, reason } of inOrder) {
    end = planned.at
    // A pool without keys is unavailable as a whole.
    const key = planned.key ?? planned.kind.pool
    const start = since.get(key)
    if (outcome === 'answered' && start !== undefined) {
      spans.push(planned.at - start)
      since.delete(key)
    } else if (start === undefined && unavailableReasons.has(reason)) since.set(key, planned.at)
  }
  for (const start of since.values()) spans.push(end - start)
  return { spans: spans.length, totalMilliseconds: spans.reduce((sum, span) => sum + span, 0), longestMilliseconds: Math.max(0, ...spans) }
}

function windowService ({ finished, windowSeconds }: MeasureInput): Measures['windowService'] {
  const inWindow = finished.filter(({ planned }) => planned.inWindow)
  const inTime = inWindow.filter(isInTime)
  return {
    planned: inWindow.length,
    inTimeShare: inWindow.length === 0 ? 0 : inTime.length / inWindow.length,
    p99: summarize(inTime.map(({ latencyMilliseconds }) => latencyMilliseconds)).p99,
    goodputPerSecond: inTime.length / windowSeconds
  }
}

function headOfLineBlocking (finished: readonly FinishedRequest[]): Measures['headOfLineBlocking'] {
  const short = finished.filter(({ outcome, planned }) => outcome === 'answered' && planned.kind.serviceClass !== 'long')
  const p99 = (inWindow: boolean): number => summarize(short.filter(({ planned }) => planned.inWindow === inWindow).map(waitingMilliseconds)).p99
  const [p99InWindow, p99Outside] = [p99(true), p99(false)]
  return { p99InWindow, p99Outside, ratio: p99Outside > 0 ? p99InWindow / p99Outside : 0 }
}

/** Compares what callers were told with what the endpoints recorded. */
export function findViolations (finished: readonly FinishedRequest[], records: readonly EndpointRecord[]): { ranTwice: number, reportedNotRunButRan: number, recordsIncomplete: boolean } {
  const completed = new Map<string, number>()
  for (const { requests } of records) {
    for (const { testRequest, result } of requests) {
      if (testRequest !== undefined && result === 'completed') completed.set(testRequest, (completed.get(testRequest) ?? 0) + 1)
    }
  }
  return {
    ranTwice: finished.filter(({ id, planned }) => !planned.kind.idempotent && (completed.get(id) ?? 0) > 1).length,
    reportedNotRunButRan: finished.filter(({ id, outcome }) => outcome === 'not-run' && completed.has(id)).length,
    recordsIncomplete: records.some(({ dropped }) => dropped > 0)
  }
}

/** Computes which share of each pool's slot time went to requests answered in time and before the end of the run. */
export function usefulShares ({ scenario, finished, records, durationSeconds, startedAt }: Pick<MeasureInput, 'scenario' | 'finished' | 'records'> & { readonly durationSeconds: number, readonly startedAt: string }): RunResult['pools'] {
  const duration = durationSeconds * 1000
  const endsAt = Date.parse(startedAt) + duration
  const inTime = finished.filter(isInTime)
  const inTimeIds = new Set(inTime.map(({ id }) => id))
  return Object.fromEntries(scenario.pools.map(({ pool, endpoints, slots }) => {
    const available = endpoints * slots * duration
    const planned = inTime
      .filter(({ planned: { at, kind }, latencyMilliseconds }) => kind.pool === pool && at + latencyMilliseconds <= duration)
      .reduce((sum, { planned }) => sum + planned.serviceMilliseconds, 0)
    const recorded = records.filter(record => record.pool === pool).flatMap(({ requests }) => requests)
      .filter(({ testRequest, result, end }) => result === 'completed' && testRequest !== undefined && inTimeIds.has(testRequest) && end !== undefined && end.wall <= endsAt)
      .reduce((sum, { start, end }) => sum + (end?.clock ?? start.clock) - start.clock, 0)
    return [pool, {
      usefulShare: planned / available,
      recordedUsefulShare: records.length === 0 ? -1 : recorded / available,
      attemptsPerRequest: attemptsPerRequest(finished.filter(({ planned }) => planned.kind.pool === pool), records)
    }]
  }))
}

function attemptsPerRequest (finished: readonly FinishedRequest[], records: readonly EndpointRecord[]): number {
  if (records.length === 0 || finished.length === 0) return -1
  const ids = new Set(finished.map(({ id }) => id))
  const attempts = records.flatMap(({ requests }) => requests).filter(({ testRequest }) => testRequest !== undefined && ids.has(testRequest)).length
  return attempts / finished.length
}
