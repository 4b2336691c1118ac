import { randomUUID } from 'node:crypto'
import { request } from 'undici'
import { Deployment, type DeploymentPlan, type RunningProxy, endpointPlans, exampleRules, vmPlans } from '../bed/index.js'
import type { ListeningAddress } from '@briarsaddle/standins'
import { ByteCounter } from './byte-counter.js'

/** What one daemon has used since its start. */
export interface ProcessUse {
  readonly processorMilliseconds: number
  readonly residentBytes: number
}

/** Counts at the log stand-in since its start. */
export interface LogCounts {
  readonly appends: number
  readonly reads: number
  readonly next: number
}

/** Bytes relayed since the start, by kind of connection. */
export interface RelayedBytes {
  readonly log: number
  readonly inner: number
  readonly endpoints: number
}

/** A deployment that counts bytes in this process, instead of one fault proxy process per connection point. */
export class MeasuredDeployment extends Deployment {
  readonly #counters: Array<{ readonly name: string, readonly counter: ByteCounter }> = []

  override async startProxy (name: string, target: ListeningAddress): Promise<RunningProxy> {
    const counter = new ByteCounter(target)
    const address = await counter.listen()
    this.#counters.push({ name, counter })
    return { address }
  }

  override async stop (): Promise<void> {
    for (const { counter } of this.#counters) counter.close()
    await super.stop()
  }

  /** Bytes relayed so far. */
  get bytes (): RelayedBytes {
    const total = (wanted: (name: string) => boolean): number => this.#counters.filter(({ name }) => wanted(name)).reduce((sum, { counter }) => sum + counter.bytes, 0)
    const isLog = (name: string): boolean => name.endsWith(' log proxy')
    const isInner = (name: string): boolean => name.endsWith(' inner proxy')
    return { log: total(isLog), inner: total(isInner), endpoints: total(name => !isLog(name) && !isInner(name)) }
  }

  /** Reads what every VM has used. */
  async uses (): Promise<readonly ProcessUse[]> {
    return await Promise.all([...this.vms.keys()].map(async vm => (await this.state(vm))['process'] as ProcessUse))
  }

  /** Appends a record without an effect; returns its offset and when the append began. */
  async appendVoidRecord (): Promise<{ readonly offset: number, readonly startedAt: number }> {
    const startedAt = performance.now()
    const body = JSON.stringify({ id: randomUUID(), kind: 'drain', base: 0, endpoint: 'no-such-endpoint', author: 'capacity' })
    const response = await request(`${this.logUrl}/streams/control/records`, { method: 'POST', body })
    const { offset } = await response.body.json() as { readonly offset: number }
    return { offset, startedAt }
  }

  /** Counts the records of the control stream from an offset on, by kind. */
  async recordKinds (from: number): Promise<Readonly<Record<string, number>>> {
    const response = await request(`${this.logUrl}/streams/control/records?from=${from}`)
    const { records } = await response.body.json() as { readonly records: ReadonlyArray<{ readonly body: string }> }
    const counts: Record<string, number> = {}
    for (const { body } of records) {
      const { kind } = JSON.parse(body) as { readonly kind: string }
      counts[kind] = (counts[kind] ?? 0) + 1
    }
    return counts
  }

  /** Reads the counts of the log stand-in. */
  async logCounts (): Promise<LogCounts> {
    const response = await request(`${this.logUrl}/_control`)
    const { counts, streams } = await response.body.json() as { readonly counts: Omit<LogCounts, 'next'>, readonly streams: Readonly<Record<string, { readonly next: number } | undefined>> }
    return { appends: counts.appends, reads: counts.reads, next: streams['control']?.next ?? 0 }
  }
}

/** Atlas with the given numbers of VMs and endpoints: three quarters of the endpoints in the keyed pool. */
export function atlasPlan (vms: number, endpoints: number, overrides: Partial<DeploymentPlan> = {}): DeploymentPlan {
  const keyed = Math.round(endpoints * 0.75)
  return { vms: vmPlans(vms), endpoints: [...endpointPlans('ponds', keyed), ...endpointPlans('dispatch', endpoints - keyed)], rules: exampleRules('atlas'), ...overrides }
}

/** Runs a measurement on a deployment and ends the deployment in any case. */
export async function withDeployment (plan: DeploymentPlan, measure: (deployment: MeasuredDeployment) => Promise<void>): Promise<void> {
  const deployment = new MeasuredDeployment(plan)
  try {
    await deployment.startProcesses()
    await deployment.publish(plan.rules)
    if (plan.endpoints.length > 0) await waitUntilServing(deployment)
    await measure(deployment)
  } finally {
    await deployment.stop()
  }
}

/** Waits; an error states the records of the control stream, which show a deployment that does not settle. */
async function waitUntilServing (deployment: MeasuredDeployment): Promise<void> {
  try {
    await deployment.waitUntilServing(servingTimeoutMilliseconds)
  } catch (cause) {
    throw new Error(`the deployment did not settle; records: ${JSON.stringify(await deployment.recordKinds(0))}`, { cause })
  }
}

// 40 s were too short for 8 VMs and 60 endpoints on a machine with four times as many runnable processes as cores.
const servingTimeoutMilliseconds = 90_000
