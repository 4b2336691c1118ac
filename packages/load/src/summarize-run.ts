import { summarize } from './histogram.js'
import { computeMeasures, findViolations, isInTime, usefulShares, waitingMilliseconds } from './measures.js'
import type { EndpointRecord } from './observers.js'
import type { ClassResult, RunResult } from './result.js'
import type { FinishedRequest } from './run-plan.js'
import type { Phase, Scenario } from './scenario.js'
import { slotTimes } from './slot-time.js'

/** Everything that goes into a result. */
export interface RunInput {
  readonly scenario: Scenario
  readonly phaseName: string
  readonly phase: Phase
  readonly seed: number
  readonly requestsPerSecond: number
  readonly durationSeconds: number
  readonly targets: readonly string[]
  readonly startedAt: string
  readonly finished: readonly FinishedRequest[]
  readonly records: readonly EndpointRecord[]
  readonly administration?: { readonly before: unknown, readonly after: unknown }
}

/** Computes the result of a run. */
export function summarizeRun (input: RunInput): RunResult {
  const { scenario, phase, finished, records, durationSeconds, requestsPerSecond, seed, targets, startedAt, administration } = input
  const refused = finished.filter(({ outcome }) => outcome === 'not-run')
  const unknown = finished.filter(({ outcome }) => outcome === 'unknown')
  const inWindow = finished.filter(({ planned }) => planned.inWindow)
  const windowSeconds = (phase.window.to - phase.window.from) * durationSeconds
  return {
    format: 1,
    scenario: scenario.name,
    phase: input.phaseName,
    seed,
    requestsPerSecond,
    durationSeconds,
    targets: [...targets],
    startedAt,
    planned: finished.length,
    goodputPerSecond: finished.filter(isInTime).length / durationSeconds,
    classes: perGroup(finished, ({ planned }) => planned.kind.serviceClass),
    kinds: perGroup(finished, ({ planned }) => planned.kind.name),
    window: {
      ...perGroup(inWindow, ({ planned }) => planned.kind.serviceClass),
      ...perGroup(inWindow.filter(({ planned }) => planned.kind.serviceClass !== 'long'), () => 'short')
    },
    pools: poolResults(input),
    refusals: countReasons(refused),
    refusalLatency: summarize(refused.map(({ latencyMilliseconds }) => latencyMilliseconds)),
    refusalsWithoutRetryAfter: [...refused, ...unknown].filter(({ status, retryAfter }) => (status === 503 || status === 504) && !retryAfter).length,
    unknown: countReasons(unknown),
    deadlineMisses: finished.filter(isDeadlineMiss).length,
    measures: computeMeasures({ scenario, finished, records, windowSeconds }),
    ...(records.length > 0 ? { violations: findViolations(finished, records) } : {}),
    sendDelay: summarize(finished.map(({ sendDelayMilliseconds }) => sendDelayMilliseconds)),
    waitedForConnection: finished.filter(({ waitedForConnection }) => waitedForConnection).length,
    series: series(finished, durationSeconds),
    ...(administration !== undefined ? { administration } : {})
  }
}

function poolResults (input: RunInput): RunResult['pools'] {
  const shares = usefulShares(input)
  if (input.records.length === 0) return shares
  const times = slotTimes(input)
  return Object.fromEntries(Object.entries(shares).map(([pool, share]) => [pool, { ...share, ...(times[pool] === undefined ? {} : { slotTime: times[pool] }) }]))
}

/** A miss is a final answer of any kind after the deadline; a prompt refusal is not one. */
function isDeadlineMiss ({ latencyMilliseconds, planned }: FinishedRequest): boolean {
  return latencyMilliseconds > planned.kind.deadlineMilliseconds
}

function perGroup (finished: readonly FinishedRequest[], groupOf: (request: FinishedRequest) => string): Record<string, ClassResult> {
  const groups = new Map<string, FinishedRequest[]>()
  for (const request of finished) {
    const group = groupOf(request)
    const members = groups.get(group)
    if (members === undefined) groups.set(group, [request])
    else members.push(request)
  }
  return Object.fromEntries([...groups].map(([name, requests]) => {
    const answered = requests.filter(({ outcome }) => outcome === 'answered')
    return [name, {
      planned: requests.length,
      answeredInTime: requests.filter(isInTime).length,
      deadlineMisses: requests.filter(isDeadlineMiss).length,
      acceptedNotInTime: requests.filter(request => request.outcome !== 'not-run' && !isInTime(request)).length,
      latency: summarize(answered.map(({ latencyMilliseconds }) => latencyMilliseconds)),
      waiting: summarize(answered.map(waitingMilliseconds))
    }]
  }))
}

function countReasons (requests: readonly FinishedRequest[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { reason } of requests) counts[reason] = (counts[reason] ?? 0) + 1
  return counts
}

function series (finished: readonly FinishedRequest[], durationSeconds: number): RunResult['series'] {
  const perSecond = Array.from({ length: Math.ceil(durationSeconds) }, (): FinishedRequest[] => [])
  for (const request of finished) perSecond[Math.floor(request.planned.at / 1000)]?.push(request)
  return perSecond.map(requests => {
    const inTime = requests.filter(isInTime)
    return {
      planned: requests.length,
      answeredInTime: inTime.length,
      refused: requests.filter(({ outcome }) => outcome === 'not-run').length,
      p99: summarize(inTime.map(({ latencyMilliseconds }) => latencyMilliseconds)).p99
    }
  })
}
