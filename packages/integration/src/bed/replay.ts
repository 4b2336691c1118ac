import { readFile } from 'node:fs/promises'
import { z } from 'zod'
import { Deployment, type CallerAnswer } from './deployment.js'
import { collectRecords, longestGap } from './outcome-checks.js'
import { breachesOf, describeTraces, observeEndpoints, observeOwners, pause } from './observation.js'
import { repositoryPath } from './paths.js'
import { endpointPlans, exampleRules, vmPlans } from './plans.js'
import type { CallerTrace } from './traffic.js'

// Times in milliseconds after the start of the replay.
const time = z.int().nonnegative()

const requestSchema = z.strictObject({
  at: time,
  /** Place of the VM in the list; a caller whose VM was lost uses the next one. */
  via: z.int().nonnegative(),
  method: z.enum(['GET', 'POST']),
  path: z.string().startsWith('/'),
  key: z.string().optional()
})

const faultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ at: time, kind: z.literal('killCoordinator'), endpoint: z.string() }),
  z.strictObject({ at: time, kind: z.literal('logOutage') }),
  z.strictObject({ at: time, kind: z.literal('logReturn') })
])

const outcomeSchema = z.discriminatedUnion('kind', [
  /** Every request sent in the interval is answered. */
  z.strictObject({ kind: z.literal('allAnswered'), from: time, to: time }),
  /** The keys of every endpoint, and every pool without keys, are served again after at most this time. */
  z.strictObject({ kind: z.literal('servedAgainWithin'), after: time, milliseconds: time })
])

const traceSchema = z.strictObject({
  name: z.string(),
  firm: z.enum(['atlas', 'ostrina']),
  /** Number of endpoints by pool. */
  pools: z.record(z.string(), z.int().positive()),
  faults: z.array(faultSchema),
  /** Stated outcomes; that no promise is broken is always one. */
  outcomes: z.array(outcomeSchema),
  requests: z.array(requestSchema)
})

/** Recorded requests and faults with the outcomes that are expected of them. */
export type RecordedTrace = z.output<typeof traceSchema>

/** Result of a replay. */
export interface ReplayResult {
  readonly traces: readonly CallerTrace[]
  /** Everything that differs from the stated outcomes; empty when all hold. */
  readonly failures: readonly string[]
}

const vmCount = 3

/** Reads a trace from the traces of this package. Throws an error that names the wrong field. */
export async function readTrace (name: string): Promise<RecordedTrace> {
  return traceSchema.parse(JSON.parse(await readFile(repositoryPath(`packages/integration/traces/${name}.json`), 'utf8')))
}

/** Creates the deployment that a trace needs. */
export function deploymentFor (trace: RecordedTrace): Deployment {
  return new Deployment({
    vms: vmPlans(vmCount),
    endpoints: Object.entries(trace.pools).flatMap(([pool, count]) => endpointPlans(pool, count)),
    rules: exampleRules(trace.firm),
    logNamespaces: 'briarsaddle:*'
  })
}

/** Replays a trace against a started deployment and compares what happened with the stated outcomes. */
export async function replay (deployment: Deployment, trace: RecordedTrace): Promise<ReplayResult> {
  const vms = [...deployment.vms.keys()]
  const groups = await groupsOf(deployment, trace)
  const lost = new Set<string>()
  const startedAt = Date.now()
  const faults = trace.faults.map(async fault => {
    await pause(fault.at)
    await cause(deployment, fault, lost)
  })
  const traces = await Promise.all(trace.requests.map(async (request, index) => {
    await pause(request.at)
    const live = vms.filter(vm => !lost.has(vm))
    const preferred = vms[request.via % vms.length] ?? ''
    const vm = lost.has(preferred) ? live[request.via % live.length] ?? '' : preferred
    return await send(deployment, request, `replay-${index}`, vm)
  }))
  await Promise.all(faults)
  const failures = trace.outcomes.flatMap(outcome => findFailures(outcome, traces, groups, startedAt))
  return { traces, failures: [...failures, ...breachesOf(await collectRecords(deployment), traces)] }
}

async function cause (deployment: Deployment, fault: RecordedTrace['faults'][number], lost: Set<string>): Promise<void> {
  if (fault.kind !== 'killCoordinator') return await deployment.controlLog({ outage: fault.kind === 'logOutage' })
  const live = [...deployment.vms.keys()].find(vm => !lost.has(vm)) ?? ''
  const vm = (await observeEndpoints(deployment, live)).get(fault.endpoint)?.coordinator.vm ?? ''
  lost.add(vm)
  await deployment.vms.get(vm)?.process.kill()
}

async function send (deployment: Deployment, { method, path, key }: RecordedTrace['requests'][number], id: string, vm: string): Promise<CallerTrace> {
  const startedAt = Date.now()
  // The checks distinguish idempotent requests, requests with a key and requests without one.
  const kind = key === undefined ? 'dispatch' : method === 'GET' ? 'status' : 'order'
  let answer: CallerAnswer | undefined
  try {
    answer = await deployment.call(vm, method, path, { headers: { 'x-test-request': id }, ...(method === 'POST' && { body: id }) })
  } catch {
    answer = undefined
  }
  return { id, kind, key: key ?? '', vm, startedAt, endedAt: Date.now(), answer }
}

/** Requests that depend on the same endpoint, or on the same pool without keys: a name for each key. */
async function groupsOf (deployment: Deployment, trace: RecordedTrace): Promise<ReadonlyMap<string, string>> {
  const keys = [...new Set(trace.requests.flatMap(({ key }) => key === undefined ? [] : [key]))]
  const owners = await observeOwners(deployment, 'vm-1', keys, Object.keys(trace.pools)[0])
  return new Map([['', 'pool without keys'], ...[...owners].map(([key, { owner }]) => [key, owner] as const)])
}

function findFailures (outcome: RecordedTrace['outcomes'][number], traces: readonly CallerTrace[], groups: ReadonlyMap<string, string>, startedAt: number): readonly string[] {
  if (outcome.kind === 'allAnswered') {
    const sent = traces.filter(trace => trace.startedAt >= startedAt + outcome.from && trace.startedAt < startedAt + outcome.to)
    return describeTraces(sent.filter(({ answer }) => answer?.outcome !== 'answered'))
  }
  const from = startedAt + outcome.after
  return [...new Set(groups.values())].flatMap(group => {
    const gap = longestGap(traces, from, from + 3 * outcome.milliseconds, ({ key }) => groups.get(key) === group)
    return gap > outcome.milliseconds ? [`${group} was unavailable for ${gap} ms instead of at most ${outcome.milliseconds} ms`] : []
  })
}
