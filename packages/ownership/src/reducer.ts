import { describeError } from '@briarsaddle/common'
import { parseRules } from '@briarsaddle/rules'
import { bucketsPerPool } from './control-state.js'
import type { Applied, BucketState, ControlState, EndpointState, PoolState, VoidReason, WitnessesState } from './control-state.js'
import { controlRecordSchema, noVersion } from './records.js'
import type { ControlRecord, RecordOfKind } from './records.js'

/**
 * Number of record ids that are kept to detect duplicates. A writer retries a record within seconds, so this covers
 * every retry at several hundred appends per second over all streams; later duplicates are rejected by their base.
 */
const recentIdsLimit = 512

/** Why a record body could not be parsed as a control record. */
export interface MalformedRecord {
  readonly reason: 'not_json' | 'not_a_record'
  readonly message: string
}

/** The result of parsing one record body. */
export type ParsedRecord =
  | { readonly record: ControlRecord, readonly malformed: undefined }
  | { readonly record: undefined, readonly malformed: MalformedRecord }

/** Parses the body of a log record. Returns errors instead of throwing, because one malformed record must not stop the log reader. */
export function parseRecord (body: string): ParsedRecord {
  let value: unknown
  try {
    value = JSON.parse(body)
  } catch (error) {
    return { record: undefined, malformed: { reason: 'not_json', message: describeError(error) } }
  }
  const parsed = controlRecordSchema.safeParse(value)
  if (parsed.success) return { record: parsed.data, malformed: undefined }
  const issue = parsed.error.issues[0]
  const message = issue === undefined ? parsed.error.message : `${issue.path.join('.')}: ${issue.message}`
  return { record: undefined, malformed: { reason: 'not_a_record', message } }
}

/** Returns the control state before the first record of the stream. */
export function initialState (): ControlState {
  return {
    position: noVersion,
    rules: { version: noVersion, text: '', author: '' },
    witnesses: { version: noVersion, vms: [], pending: undefined },
    endpoints: new Map(),
    pools: new Map(),
    recentIds: []
  }
}

/** Returns the state after a record that could not be parsed: only the position advances. */
export function skipRecord (state: ControlState, offset: number): ControlState {
  return { ...state, position: offset }
}

/** The parts of the state that an accepted record replaces. */
type Change = Partial<Pick<ControlState, 'rules' | 'witnesses' | 'endpoints' | 'pools'>>

/**
 * Applies the record at `offset`. Unchanged parts are shared with the previous state.
 * A rejected record still advances the position and its id is kept, so that a duplicate of it is rejected too: a writer
 * that sees its record rejected can rely on the outcome.
 */
export function applyRecord (state: ControlState, offset: number, record: ControlRecord): Applied {
  if (offset <= state.position) return { state, voidReason: 'invalid' }
  if (record.kind === 'checkpoint') {
    return { state: { ...state, position: offset }, voidReason: record.position < offset ? undefined : 'invalid' }
  }
  if (state.recentIds.includes(record.id)) return { state: { ...state, position: offset }, voidReason: 'duplicate' }
  const change = computeChange(state, offset, record)
  const recentIds = [...state.recentIds.slice(1 - recentIdsLimit), record.id]
  if (typeof change === 'string') return { state: { ...state, position: offset, recentIds }, voidReason: change }
  return { state: { ...state, ...change, position: offset, recentIds }, voidReason: undefined }
}

function computeChange (state: ControlState, offset: number, record: Exclude<ControlRecord, { kind: 'checkpoint' }>): Change | VoidReason {
  switch (record.kind) {
    case 'rules':
      if (record.base !== state.rules.version) return 'stale_base'
      // A rule file that no VM can parse must not replace the one in force.
      if (!isRuleFile(record.text)) return 'invalid'
      return { rules: { version: offset, text: record.text, author: record.author } }
    case 'witnesses': return proposeWitnesses(state, offset, record)
    case 'witnessesSettled': return settleWitnesses(state, offset, record)
    case 'witnessesReleased': return releaseWitnesses(state, offset, record)
    case 'coordinator': return changeCoordinator(state, offset, record)
    case 'assignment': return assign(state, offset, record)
    case 'released': return release(state, offset, record)
    case 'drain': return drain(state, offset, record)
    case 'endpointRemoved': return removeEndpoint(state, record)
  }
}

function isRuleFile (text: string): boolean {
  try {
    parseRules(text, 'rules')
    return true
  } catch {
    return false
  }
}

/** Offset of the newest witness list in the state, in effect or pending; `noVersion` when there is none. */
export function newestWitnessList (witnesses: WitnessesState): number {
  return Math.max(witnesses.version, witnesses.pending?.offset ?? noVersion)
}

function proposeWitnesses (state: ControlState, offset: number, record: RecordOfKind<'witnesses'>): Change | VoidReason {
  const { witnesses } = state
  // The base is the newest list, pending or not, so that only one of two concurrent proposals is accepted.
  if (record.base !== newestWitnessList(witnesses)) return 'stale_base'
  if (hasDuplicates(record.vms)) return 'invalid'
  if (witnesses.version === noVersion) return { witnesses: { version: offset, vms: record.vms, pending: undefined } }
  return { witnesses: { ...witnesses, pending: { offset, vms: record.vms } } }
}

function settleWitnesses (state: ControlState, offset: number, record: RecordOfKind<'witnessesSettled'>): Change | VoidReason {
  const { pending } = state.witnesses
  if (pending === undefined) return 'not_pending'
  if (record.base !== pending.offset) return 'stale_base'
  return { witnesses: { version: offset, vms: pending.vms, pending: undefined } }
}

function releaseWitnesses (state: ControlState, offset: number, record: RecordOfKind<'witnessesReleased'>): Change | VoidReason {
  const { version, vms, pending } = state.witnesses
  if (record.base !== version) return 'stale_base'
  const without = (list: readonly string[]): readonly string[] => list.filter(vm => !record.lost.includes(vm))
  const remaining = without(vms)
  const remainingPending = pending === undefined ? undefined : { offset: pending.offset, vms: without(pending.vms) }
  // With an empty list no lease could be confirmed, and `LeaseExpiryTracker` would not wait for any witness.
  if (remaining.length === 0 || remainingPending?.vms.length === 0) return 'invalid'
  if (remaining.length === vms.length && remainingPending?.vms.length === pending?.vms.length) return 'invalid'
  return { witnesses: { version: offset, vms: remaining, pending: remainingPending } }
}

function changeCoordinator (state: ControlState, offset: number, record: RecordOfKind<'coordinator'>): Change | VoidReason {
  const description = record.endpoint
  const known = state.endpoints.get(description.id)
  if (record.base !== (known?.coordinator.token ?? noVersion)) return 'stale_base'
  if (record.vm === record.standby) return 'invalid'
  if (known !== undefined && known.description.pool !== description.pool && ownsOrHoldsBuckets(state, description.id)) return 'still_owner'
  const endpoint: EndpointState = {
    description,
    coordinator: { vm: record.vm, token: offset, standby: record.standby },
    leaving: known?.leaving ?? false,
    version: offset
  }
  return { endpoints: new Map(state.endpoints).set(description.id, endpoint) }
}

function assign (state: ControlState, offset: number, record: RecordOfKind<'assignment'>): Change | VoidReason {
  const pool = state.pools.get(record.pool)
  if (record.base !== (pool?.version ?? noVersion)) return 'stale_base'
  const former = pool?.buckets ?? new Array<undefined>(bucketsPerPool).fill(undefined)
  const reason = record.moves.map(move => reasonToRejectMove(state, record.pool, former, move)).find(found => found !== undefined)
  if (reason !== undefined) return reason
  if (hasDuplicates(record.moves.map(move => move.bucket))) return 'invalid'
  const buckets = [...former]
  const touched = new Set<string>()
  for (const { bucket, to } of record.moves) {
    const old = former[bucket]
    for (const endpoint of [old?.owner, old?.pendingFrom, to]) if (endpoint !== undefined) touched.add(endpoint)
    buckets[bucket] = { owner: to, token: offset, pendingFrom: pendingAfterMove(old, to), former: old?.former }
  }
  return { pools: new Map(state.pools).set(record.pool, { version: offset, buckets }), endpoints: withVersion(state, offset, touched) }
}

function reasonToRejectMove (state: ControlState, pool: string, buckets: PoolState['buckets'], move: { readonly bucket: number, readonly to: string }): VoidReason | undefined {
  const endpoint = state.endpoints.get(move.to)
  if (endpoint === undefined || endpoint.description.pool !== pool) return 'unknown_endpoint'
  if (endpoint.leaving) return 'leaving_endpoint'
  if (move.bucket >= bucketsPerPool) return 'unknown_bucket'
  return buckets[move.bucket]?.owner === move.to ? 'invalid' : undefined
}

/**
 * Returns the endpoint that may still hold a bucket after it moves to `to`.
 * The owner of a pending bucket has never been granted it: a grant requires the `released` record, which any VM reads
 * after this move. So only the holder from before the first move can hold the bucket. It stays pending over any number
 * of moves, and nothing is pending once the bucket returns to that holder.
 */
function pendingAfterMove (old: BucketState | undefined, to: string): string | undefined {
  if (old === undefined) return undefined
  const holder = old.pendingFrom ?? old.owner
  return holder === to ? undefined : holder
}

function release (state: ControlState, offset: number, record: RecordOfKind<'released'>): Change | VoidReason {
  const pool = state.pools.get(record.pool)
  if (pool === undefined || record.buckets.some(bucket => bucket >= bucketsPerPool)) return 'unknown_bucket'
  const buckets = [...pool.buckets]
  const touched = new Set<string>()
  // Buckets that have moved again since are skipped: they need a release for their newer assignment.
  for (const bucket of record.buckets) {
    const old = buckets[bucket]
    if (old === undefined || old.token !== record.assignment || old.pendingFrom === undefined) continue
    touched.add(old.owner).add(old.pendingFrom)
    buckets[bucket] = { ...old, pendingFrom: undefined, former: { endpoint: old.pendingFrom, releasedAt: offset } }
  }
  if (touched.size === 0) return 'not_pending'
  return { pools: new Map(state.pools).set(record.pool, { ...pool, buckets }), endpoints: withVersion(state, offset, touched) }
}

function drain (state: ControlState, offset: number, record: RecordOfKind<'drain'>): Change | VoidReason {
  const endpoint = state.endpoints.get(record.endpoint)
  if (endpoint === undefined) return 'unknown_endpoint'
  if (record.base !== endpoint.version) return 'stale_base'
  if (endpoint.leaving) return 'leaving_endpoint'
  return { endpoints: new Map(state.endpoints).set(record.endpoint, { ...endpoint, leaving: true, version: offset }) }
}

function removeEndpoint (state: ControlState, record: RecordOfKind<'endpointRemoved'>): Change | VoidReason {
  const endpoint = state.endpoints.get(record.endpoint)
  if (endpoint === undefined) return 'unknown_endpoint'
  if (record.base !== endpoint.version) return 'stale_base'
  if (ownsOrHoldsBuckets(state, record.endpoint)) return 'still_owner'
  const endpoints = new Map(state.endpoints)
  endpoints.delete(record.endpoint)
  return { endpoints }
}

function ownsOrHoldsBuckets (state: ControlState, endpoint: string): boolean {
  return [...state.pools.values()].some(pool => pool.buckets.some(bucket => bucket?.owner === endpoint || bucket?.pendingFrom === endpoint))
}

function withVersion (state: ControlState, offset: number, touched: ReadonlySet<string>): ControlState['endpoints'] {
  const endpoints = new Map(state.endpoints)
  for (const id of touched) {
    const endpoint = endpoints.get(id)
    if (endpoint !== undefined) endpoints.set(id, { ...endpoint, version: offset })
  }
  return endpoints
}

function hasDuplicates (values: readonly unknown[]): boolean {
  return new Set(values).size !== values.length
}
