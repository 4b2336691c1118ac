import { setTimeout as delay } from 'node:timers/promises'
import { KeyProbe } from './key-probe.js'
import { collectRecords, findBreaches, longestGap, type Records } from './outcome-checks.js'
import { Deployment, type DeploymentPlan } from './deployment.js'
import { Traffic, type CallerTrace } from './traffic.js'
import type { EndpointRecordData } from './stand-in-data.js'

const startWarmUpMilliseconds = 1_500
const warmUpMilliseconds = 1_000
const probedKeys = 12
const probeIntervalMilliseconds = 120
const mixedRequestsPerSecond = 50
// Every VM has polled the VM list by then.
const vmsKnownMilliseconds = 500

/** How traffic runs around a failure. */
export interface FailurePlan {
  readonly seed: number
  /** Causes the failure; the measured time starts just before it. */
  readonly cause: (run: RunningFailure) => Promise<void>
  /** Traffic goes on for this long after the cause. */
  readonly afterMilliseconds?: number
  /** Mixed requests per second in addition to the probes. Default 50. */
  readonly perSecond?: number
}

/** What a failure may change while traffic runs. */
export interface RunningFailure {
  /** Callers no longer use this VM, as behind a balancer that has noticed. */
  readonly avoid: (vm: string) => void
  /** Keeps the record of an endpoint that is about to be killed. */
  readonly keepRecord: (endpoint: string) => Promise<void>
}

/** What callers and endpoints saw of a failure. */
export class FailureResult {
  constructor (readonly seed: number, readonly traces: readonly CallerTrace[], readonly probes: readonly CallerTrace[], readonly records: Records, readonly failedAt: number, readonly endedAt: number) {}

  /** Breaches of the promises, and records that are not complete enough to show them. */
  get breaches (): readonly string[] {
    const incomplete = [...this.records].filter(([, { dropped }]) => dropped > 0).map(([endpoint]) => `the record of ${endpoint} is incomplete`)
    return [...incomplete, ...findBreaches(this.records, this.traces)]
  }

  /** The key that had no answer for the longest time, in milliseconds, through the wanted VMs; 0 when no key is wanted. */
  worstKey (wanted: (key: string) => boolean = () => true, to = this.endedAt, from = this.failedAt, through: (vm: string) => boolean = () => true): { readonly key: string, readonly milliseconds: number } {
    const keys = [...new Set(this.probes.map(({ key }) => key))].filter(wanted)
    if (keys.length === 0) return { key: 'none', milliseconds: 0 }
    return keys.map(key => ({ key, milliseconds: longestGap(this.probes, from, to, trace => trace.key === key && through(trace.vm)) }))
      .reduce((worst, other) => other.milliseconds > worst.milliseconds ? other : worst)
  }

  /** Longest time without an answer to a crew dispatch, in milliseconds. */
  get dispatchGap (): number {
    return longestGap(this.traces, this.failedAt, this.endedAt, ({ kind }) => kind === 'dispatch')
  }

  /** Slowest answer to a probe in the last 500 ms before the failure, in milliseconds; shows how busy the machine was. */
  get slowestBefore (): number {
    return Math.max(0, ...this.probes.filter(({ endedAt }) => endedAt <= this.failedAt && endedAt > this.failedAt - 500).map(({ startedAt, endedAt }) => endedAt - startedAt))
  }

  /** Everything that a test prints about the run. */
  get summary (): string {
    return `seed ${this.seed}: slowest answer before ${this.slowestBefore} ms, worst key ${JSON.stringify(this.worstKey())}, dispatch gap ${this.dispatchGap} ms, ${JSON.stringify(this.outcomes)}`
  }

  /** Number of traces by outcome and reason, for the test output. */
  get outcomes (): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {}
    for (const { kind, answer } of this.traces) {
      const name = `${kind} ${answer === undefined ? 'no answer' : `${answer.outcome} ${answer.reason}`.trim()}`
      counts[name] = (counts[name] ?? 0) + 1
    }
    return counts
  }

  /** The endpoint that last answered for a key before the failure. */
  ownerBefore (key: string): string {
    const answered = this.probes.filter(trace => trace.key === key && trace.answer?.outcome === 'answered' && trace.endedAt <= this.failedAt)
    return String((JSON.parse(answered.at(-1)?.answer?.body ?? '{}') as { readonly endpoint?: string }).endpoint)
  }
}

/** Runs traffic, causes a failure, lets traffic go on, and returns what was seen. */
export async function runFailure (deployment: Deployment, plan: FailurePlan): Promise<FailureResult> {
  const avoided = new Set<string>()
  const kept = new Map<string, EndpointRecordData>()
  const vms = (): readonly string[] => [...deployment.vms.keys()].filter(vm => !avoided.has(vm))
  const traffic = new Traffic(deployment, { seed: plan.seed, vms, perSecond: plan.perSecond ?? mixedRequestsPerSecond })
  const probe = new KeyProbe(deployment, { prefix: String(plan.seed), keyCount: probedKeys, intervalMilliseconds: probeIntervalMilliseconds, vms })
  traffic.start()
  probe.start()
  let failedAt: number
  let endedAt: number
  try {
    await delay(warmUpMilliseconds)
    failedAt = Date.now()
    await plan.cause({
      avoid: vm => avoided.add(vm),
      keepRecord: async endpoint => { kept.set(endpoint, await deployment.record(endpoint)) }
    })
    await delay(plan.afterMilliseconds ?? 2_500)
  } finally {
    endedAt = Date.now()
    await Promise.all([traffic.stop(), probe.stop()])
  }
  const running = [...deployment.endpoints].filter(([, { process }]) => process.running).map(([id]) => id)
  const records = new Map([...kept, ...await collectRecords(deployment, running)])
  return new FailureResult(plan.seed, [...traffic.traces, ...probe.traces], probe.traces, records, failedAt, endedAt)
}

interface CoordinationState {
  readonly control: { readonly endpoints: ReadonlyArray<{ readonly description: { readonly id: string, readonly pool: string }, readonly coordinator: { readonly vm: string } | undefined }> }
}

/** Returns the coordinating VM of each endpoint, as one VM sees it. */
export async function coordinators (deployment: Deployment, vm = [...deployment.vms.keys()][0] as string): Promise<ReadonlyMap<string, string>> {
  const { control: { endpoints } } = await deployment.state(vm) as unknown as CoordinationState
  return new Map(endpoints.flatMap(({ description, coordinator }) => coordinator === undefined ? [] : [[description.id, coordinator.vm] as const]))
}

/** Starts the VMs before the endpoints, so that the endpoints are spread over all VMs and not coordinated by the first one. */
export async function startSpread (plan: DeploymentPlan): Promise<Deployment> {
  const deployment = new Deployment({ ...plan, endpoints: [] })
  await deployment.startProcesses()
  await deployment.publish(plan.rules)
  await delay(vmsKnownMilliseconds)
  await Promise.all(plan.endpoints.map(async endpoint => await deployment.startEndpoint(endpoint)))
  await deployment.waitUntilServing()
  await warmUp(deployment)
  return deployment
}

/** Processes that have just started answer slowly until their code is compiled, which would count as part of a failure. */
async function warmUp (deployment: Deployment): Promise<void> {
  const probe = new KeyProbe(deployment, { prefix: 'warm-up', keyCount: probedKeys, intervalMilliseconds: probeIntervalMilliseconds, vms: () => [...deployment.vms.keys()] })
  probe.start()
  await delay(startWarmUpMilliseconds)
  await probe.stop()
}

interface WitnessState {
  readonly control: { readonly witnesses: { readonly vms: readonly string[], readonly pending?: { readonly vms: readonly string[] } } }
}

/** Returns every VM that is on the witness list or on the pending one, as one VM sees it. */
export async function witnesses (deployment: Deployment, vm = [...deployment.vms.keys()][0] as string): Promise<readonly string[]> {
  const { control: { witnesses: { vms, pending } } } = await deployment.state(vm) as unknown as WitnessState
  return [...vms, ...pending?.vms ?? []]
}
