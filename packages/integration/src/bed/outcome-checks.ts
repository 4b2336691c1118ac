import { compareTokens } from '@briarsaddle/ownership'
import type { HeldInterval, RecordedRequest } from '@briarsaddle/standins'
import type { Deployment } from './deployment.js'
import type { EndpointRecordData } from './stand-in-data.js'
import type { CallerTrace } from './traffic.js'

/** What the endpoints recorded, by endpoint id. */
export type Records = ReadonlyMap<string, EndpointRecordData>

/** Collects the records of endpoints that still run. */
export async function collectRecords (deployment: Deployment, endpoints: Iterable<string> = deployment.endpoints.keys()): Promise<Records> {
  return new Map(await Promise.all([...endpoints].map(async id => [id, await deployment.record(id)] as const)))
}

/** Returns every breach of the promises that the records and traces show; empty when all hold. */
export function findBreaches (records: Records, traces: readonly CallerTrace[]): readonly string[] {
  return [...findDoubleOwners(records), ...findRepeats(records, traces), ...findFalseNotRun(records, traces), ...findForeignAnswers(traces), ...findUnansweredKinds(traces)]
}

/** A bucket may be held by one endpoint at a time. Intervals are compared in the wall clock of the one machine. */
export function findDoubleOwners (records: Records): readonly string[] {
  const byBucket = new Map<string, Array<HeldInterval & { readonly endpoint: string }>>()
  for (const [endpoint, { held }] of records) {
    for (const interval of held) {
      const pool = endpoint.replace(/-\d+$/, '')
      const key = `${pool} ${interval.bucket}`
      byBucket.set(key, [...byBucket.get(key) ?? [], { ...interval, endpoint }])
    }
  }
  const breaches: string[] = []
  for (const [bucket, intervals] of byBucket) {
    intervals.sort((one, other) => one.from.wall - other.from.wall)
    let latest: (typeof intervals)[number] | undefined
    for (const interval of intervals) {
      if (latest !== undefined && latest.endpoint !== interval.endpoint && interval.from.wall < latest.until.wall) {
        breaches.push(`bucket ${bucket} was held by ${latest.endpoint} until ${latest.until.wall} and by ${interval.endpoint} from ${interval.from.wall}`)
      }
      if (latest === undefined || interval.until.wall >= latest.until.wall) latest = interval
    }
  }
  return breaches
}

/** A request that must run at most once has at most one effect. */
export function findRepeats (records: Records, traces: readonly CallerTrace[]): readonly string[] {
  const effects = countEffects(records)
  return traces.filter(({ id, kind }) => kind !== 'status' && (effects.get(id) ?? 0) > 1).map(({ id }) => `${id} had ${effects.get(id)} effects`)
}

/** "Not run" is said only of requests without an effect. */
export function findFalseNotRun (records: Records, traces: readonly CallerTrace[]): readonly string[] {
  const effects = countEffects(records)
  return traces.filter(({ id, answer }) => answer?.outcome === 'not-run' && (effects.get(id) ?? 0) > 0).map(({ id, answer }) => `${id} was answered "not run" (${answer?.reason}) but had an effect`)
}

/** Every answer is whole and belongs to its request. */
export function findForeignAnswers (traces: readonly CallerTrace[]): readonly string[] {
  const breaches: string[] = []
  for (const { id, key, kind, answer } of traces) {
    if (answer?.outcome !== 'answered') continue
    const body = parse(answer.body)
    if (body === undefined) breaches.push(`${id} got a body that is not whole: ${answer.body.slice(0, 80)}`)
    else if (body['testRequest'] !== id) breaches.push(`${id} got the answer of ${String(body['testRequest'])}`)
    else if (kind !== 'dispatch' && body['key'] !== key) breaches.push(`${id} asked for ${key} and got an answer for ${String(body['key'])}`)
  }
  return breaches
}

/**
 * An endpoint that does not check depends on one VM at a time: no request of a coordinator may start while one of another
 * runs, or after one with a higher token. Refused requests count too, since another such server might run them.
 * Looks at requests that started or ended after `since`, in the wall clock.
 */
export function findTwoSenders (records: Records, since = -Infinity): readonly string[] {
  return [...records].flatMap(([endpoint, { requests }]) => {
    const latest = new Map<string | undefined, RecordedRequest>()
    const breaches: string[] = []
    for (const request of requests.filter(({ end }) => (end?.wall ?? Infinity) >= since).sort((one, other) => one.start.clock - other.start.clock)) {
      const { coordinator, token, start, testRequest } = request
      for (const [name, other] of latest) {
        if (name === coordinator) continue
        const overlaps = (other.end?.clock ?? Infinity) > start.clock
        const outdated = token === undefined || other.token === undefined || compareTokens(token, other.token) < 0
        if (overlaps || outdated) breaches.push(`${endpoint}: ${testRequest} of ${coordinator} started ${overlaps ? 'during' : 'after'} ${other.testRequest} of ${name}`)
      }
      const known = latest.get(coordinator)
      if (known === undefined || (request.end?.clock ?? Infinity) >= (known.end?.clock ?? Infinity)) latest.set(coordinator, request)
    }
    return breaches
  })
}

/** Every answer of a VM states its outcome. */
function findUnansweredKinds (traces: readonly CallerTrace[]): readonly string[] {
  return traces.filter(({ answer }) => answer !== undefined && !['answered', 'not-run', 'unknown'].includes(answer.outcome)).map(({ id, answer }) => `${id} was answered ${answer?.status} without an outcome`)
}

/** Longest time within [from, to] during which no request of the kind was answered, in milliseconds. */
export function longestGap (traces: readonly CallerTrace[], from: number, to: number, wanted: (trace: CallerTrace) => boolean = () => true): number {
  const times = traces.filter(trace => trace.answer?.outcome === 'answered' && wanted(trace)).map(({ endedAt }) => endedAt).filter(time => time >= from && time <= to).sort((one, other) => one - other)
  let longest = 0
  let last = from
  for (const time of [...times, to]) {
    longest = Math.max(longest, time - last)
    last = time
  }
  return longest
}

function countEffects (records: Records): ReadonlyMap<string, number> {
  const effects = new Map<string, number>()
  for (const { requests } of records.values()) {
    for (const { testRequest, result } of requests) {
      if (testRequest !== undefined && result === 'completed') effects.set(testRequest, (effects.get(testRequest) ?? 0) + 1)
    }
  }
  return effects
}

function parse (text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return value !== null && typeof value === 'object' ? value as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}
