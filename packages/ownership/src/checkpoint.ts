import { BriarsaddleError, describeError } from '@briarsaddle/common'
import { z } from 'zod'
import { bucketsPerPool } from './control-state.js'
import type { BucketState, ControlState } from './control-state.js'
import { endpointDescriptionSchema, noVersion } from './records.js'

const version = z.number().int().min(noVersion)
const names = z.array(z.string().min(1))
const count = z.number().int().nonnegative()
/** Index into `names`; -1 for no name. */
const nameIndex = z.number().int().min(-1)

/** A run of consecutive equal buckets: [length, owner, token, pendingFrom, former endpoint, releasedAt]. Owner -1 means never assigned. */
const runSchema = z.tuple([count.min(1), nameIndex, version, nameIndex, nameIndex, version])

const encodedStateSchema = z.strictObject({
  format: z.literal(2),
  position: version,
  rules: z.strictObject({ version, text: z.string(), author: z.string() }),
  witnesses: z.strictObject({ version, vms: names, pending: z.strictObject({ offset: version, vms: names }).optional() }),
  endpoints: z.array(z.strictObject({
    description: endpointDescriptionSchema,
    vm: z.string().min(1),
    token: version,
    standby: z.string().min(1).optional(),
    leaving: z.boolean(),
    version
  })),
  names,
  pools: z.array(z.strictObject({ id: z.string().min(1), version, runs: z.array(runSchema) })),
  recentIds: z.array(z.uuid())
})

type EncodedState = z.infer<typeof encodedStateSchema>
type Run = z.infer<typeof runSchema>

/** Encodes the control state as compact JSON. Equal states have equal encodings. */
export function encodeState (state: ControlState): string {
  const indexes = new Map<string, number>()
  const indexOf = (name: string | undefined): number => {
    if (name === undefined) return -1
    const index = indexes.get(name) ?? indexes.size
    indexes.set(name, index)
    return index
  }
  const pools = [...state.pools].map(([id, pool]) => ({ id, version: pool.version, runs: encodeRuns(pool.buckets, indexOf) }))
  const { rules, witnesses } = state
  const encoded: EncodedState = {
    format: 2,
    position: state.position,
    rules: { version: rules.version, text: rules.text, author: rules.author },
    witnesses: {
      version: witnesses.version,
      vms: [...witnesses.vms],
      pending: witnesses.pending === undefined ? undefined : { offset: witnesses.pending.offset, vms: [...witnesses.pending.vms] }
    },
    endpoints: [...state.endpoints.values()].map(({ description, coordinator, leaving, version }) => ({ description: endpointDescriptionSchema.parse(description), ...coordinator, leaving, version })),
    names: [...indexes.keys()],
    pools,
    recentIds: [...state.recentIds]
  }
  return JSON.stringify(encoded)
}

function encodeRuns (buckets: ReadonlyArray<BucketState | undefined>, indexOf: (name: string | undefined) => number): Run[] {
  const runs: Run[] = []
  let previous: BucketState | undefined
  for (const bucket of buckets) {
    const last = runs.at(-1)
    if (last !== undefined && bucket === previous) {
      last[0]++
      continue
    }
    previous = bucket
    const run: Run = [1, indexOf(bucket?.owner), bucket?.token ?? noVersion, indexOf(bucket?.pendingFrom), indexOf(bucket?.former?.endpoint), bucket?.former?.releasedAt ?? noVersion]
    if (last !== undefined && last.every((value, index) => index === 0 || value === run[index])) last[0]++
    else runs.push(run)
  }
  return runs
}

/** Decodes the output of `encodeState`. Throws a `BriarsaddleError` with code `checkpoint_invalid` when the text is not valid. */
export function decodeState (text: string): ControlState {
  const encoded = parseEncoded(text)
  return {
    position: encoded.position,
    rules: encoded.rules,
    witnesses: { version: encoded.witnesses.version, vms: encoded.witnesses.vms, pending: encoded.witnesses.pending },
    endpoints: new Map(encoded.endpoints.map(({ description, vm, token, standby, leaving, version }) =>
      [description.id, { description, coordinator: { vm, token, standby }, leaving, version }])),
    pools: new Map(encoded.pools.map(({ id, version, runs }) => [id, { version, buckets: decodeRuns(runs, encoded.names) }])),
    recentIds: encoded.recentIds
  }
}

function parseEncoded (text: string): EncodedState {
  try {
    return encodedStateSchema.parse(JSON.parse(text))
  } catch (error) {
    throw invalid(describeError(error), error)
  }
}

function decodeRuns (runs: readonly Run[], names: readonly string[]): Array<BucketState | undefined> {
  // Checked before allocating buckets, because an invalid run length may be arbitrarily large.
  if (runs.reduce((total, [length]) => total + length, 0) !== bucketsPerPool) throw invalid(`the runs of a pool do not cover exactly ${bucketsPerPool} buckets`)
  const nameAt = (index: number): string => {
    const name = names[index]
    if (name === undefined) throw invalid(`name index ${index} is out of range`)
    return name
  }
  const buckets: Array<BucketState | undefined> = []
  for (const [length, owner, token, pendingFrom, formerEndpoint, releasedAt] of runs) {
    const former = formerEndpoint === -1 ? undefined : { endpoint: nameAt(formerEndpoint), releasedAt }
    const bucket = owner === -1 ? undefined : { owner: nameAt(owner), token, pendingFrom: pendingFrom === -1 ? undefined : nameAt(pendingFrom), former }
    for (let index = 0; index < length; index++) buckets.push(bucket)
  }
  return buckets
}

function invalid (message: string, cause?: unknown): BriarsaddleError {
  return new BriarsaddleError(`the checkpoint is invalid: ${message}`, { code: 'checkpoint_invalid', step: 'decode checkpoint', cause })
}
