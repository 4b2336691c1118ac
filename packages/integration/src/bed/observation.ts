import { randomInt } from 'node:crypto'
import { ControlReader, type ControlState, type ReadRecord } from '@briarsaddle/ownership'
import { request } from 'undici'
import { administrationToken, type Deployment } from './deployment.js'
import { findBreaches, type Records } from './outcome-checks.js'
import type { EndpointRecordData } from './stand-in-data.js'
import type { CallerTrace } from './traffic.js'

/** Keys that `Traffic` uses. */
export const trafficKeys: readonly string[] = Array.from({ length: 40 }, (_, index) => `pond-${index + 1}`)

/** An endpoint as a VM's state dump shows it. */
export interface ObservedEndpoint {
  readonly description: { readonly id: string, readonly pool: string }
  readonly coordinator: { readonly vm: string, readonly standby: string | undefined, readonly token: number }
  readonly leaving: boolean
  readonly buckets: number
}

/** Owner of a key as a VM knows it. */
export interface ObservedOwner {
  readonly bucket: number
  readonly owner: string
  readonly token: number
  readonly pendingFrom: string | null
}

/** Rule file as a VM knows it. */
export interface ObservedRules {
  readonly version: number
  readonly author: string
  readonly text: string
}

/** Returns the seed from the environment variable `SEED`, or a new one, and prints it. */
export function printedSeed (test: string): number {
  const seed = process.env['SEED'] === undefined ? randomInt(2 ** 31) : Number(process.env['SEED'])
  console.log(`      seed of ${test}: ${seed}`)
  return seed
}

/** Waits for the given time. */
export async function pause (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Asks the administration of a VM. */
export async function administration (deployment: Deployment, vm: string, path: string): Promise<unknown> {
  const { host, port } = deployment.vms.get(vm)?.administration ?? { host: '', port: 0 }
  const response = await request(`http://${host}:${port}${path}`, { headers: { authorization: `Bearer ${administrationToken}` }, signal: AbortSignal.timeout(5000) })
  return await response.body.json()
}

/** Endpoints as a VM knows them, by id. */
export async function observeEndpoints (deployment: Deployment, vm: string): Promise<ReadonlyMap<string, ObservedEndpoint>> {
  const { control } = await deployment.state(vm) as unknown as { readonly control: { readonly endpoints: readonly ObservedEndpoint[] } }
  return new Map(control.endpoints.map(endpoint => [endpoint.description.id, endpoint]))
}

/** Owners of keys as a VM knows them, by key. */
export async function observeOwners (deployment: Deployment, vm: string, keys: readonly string[] = trafficKeys, pool = 'ponds'): Promise<ReadonlyMap<string, ObservedOwner>> {
  return new Map(await Promise.all(keys.map(async key => {
    const { bucket, owner, token, pendingFrom } = await administration(deployment, vm, `/owner?pool=${pool}&key=${key}`) as ObservedOwner
    return [key, { bucket, owner, token, pendingFrom }] as const
  })))
}

/** Rules as a VM knows them. */
export async function observeRules (deployment: Deployment, vm: string): Promise<ObservedRules> {
  return await administration(deployment, vm, '/rules') as ObservedRules
}

/** Reads the whole control stream. */
export async function readControlStream (deployment: Deployment): Promise<{ readonly state: ControlState | undefined, readonly read: readonly ReadRecord[] }> {
  const reader = new ControlReader()
  const read: ReadRecord[] = []
  for (;;) {
    const response = await request(`${deployment.logUrl}/streams/control/records?from=${reader.nextOffset}&limit=1000`, { signal: AbortSignal.timeout(10_000) })
    if (response.statusCode !== 200) throw new Error(`reading the control stream was answered with ${response.statusCode}: ${await response.body.text()}`)
    const report = reader.feed(await response.body.json() as Parameters<ControlReader['feed']>[0])
    read.push(...report.read)
    if (report.reachedEnd) return { state: reader.state, read }
  }
}

/** Joins records of the same endpoints, for example of processes before and after a restart. */
export function joinRecords (...parts: readonly Records[]): Records {
  const joined = new Map<string, EndpointRecordData>()
  for (const part of parts) {
    for (const [id, { dropped, requests, held }] of part) {
      const entry = joined.get(id) ?? { dropped: 0, requests: [], held: [] }
      joined.set(id, { dropped: entry.dropped + dropped, requests: [...entry.requests, ...requests], held: [...entry.held, ...held] })
    }
  }
  return joined
}

/** Describes traces that did not have the wanted outcome, for a readable failure. */
export function describeTraces (traces: readonly CallerTrace[]): readonly string[] {
  return traces.map(({ id, key, vm, startedAt, endedAt, answer }) => `${id} for ${key} through ${vm}: ${answer === undefined ? 'connection broken' : `${answer.status} ${answer.outcome} ${answer.reason}`} after ${endedAt - startedAt} ms`)
}

/** Counts traces by outcome and reason. */
export function summarizeTraces (traces: readonly CallerTrace[]): string {
  return countTexts(traces.map(({ answer }) => answer === undefined ? 'connection broken' : answer.outcome === 'answered' ? 'answered' : `${answer.outcome} ${answer.reason}`))
}

/** Lists different texts with their number. */
export function countTexts (texts: readonly string[]): string {
  const counts = new Map<string, number>()
  for (const text of texts) counts.set(text, (counts.get(text) ?? 0) + 1)
  return [...counts].map(([text, count]) => `${text} ${count}`).join(', ')
}

/** Returns breaches, and fails over a record that dropped entries, which could hide one. */
export function breachesOf (records: Records, traces: readonly CallerTrace[]): readonly string[] {
  const incomplete = [...records].filter(([, { dropped }]) => dropped > 0).map(([id, { dropped }]) => `${id} dropped ${dropped} entries of its record`)
  return [...incomplete, ...findBreaches(records, traces)]
}
