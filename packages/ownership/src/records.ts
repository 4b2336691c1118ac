import { z } from 'zod'

/** Offset of a record in the control stream. Offsets also serve as versions and as fencing tokens. */
const offset = z.number().int().nonnegative()

/** Version of a part of the control state that no record has changed yet. */
export const noVersion = -1

/**
 * Offset of the last record that changed a part of the control state, or `noVersion`. The `base` of a record is the
 * version that its writer saw: the record has no effect if the version has changed since (optimistic concurrency control).
 */
const version = z.number().int().min(noVersion)

const recordBase = { id: z.uuid() }

/** Identity and network address of an endpoint, as recorded in the control stream. */
export const endpointDescriptionSchema = z.strictObject({
  id: z.string().min(1),
  pool: z.string().min(1),
  dataCentre: z.string().min(1),
  host: z.string().min(1),
  port: z.number().int().min(1).max(65535),
  /** True when the endpoint itself verifies fencing tokens and grants. */
  checks: z.boolean()
}).readonly()

/** Replaces the rule file. `base` is the version of the rules. */
export const rulesRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('rules'), base: version, text: z.string(), author: z.string().min(1) }).readonly()

/**
 * Proposes a witness list. The first list takes effect at once, each later one with a `witnessesSettled` record.
 * `base` is the offset of the newest list, in effect or pending.
 */
export const witnessesRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('witnesses'), base: version, vms: z.array(z.string().min(1)).min(1).readonly() }).readonly()

/** Puts the pending witness list, proposed at offset `base`, into effect: a majority of the previous witnesses has read it. */
export const witnessesSettledRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('witnessesSettled'), base: offset }).readonly()

/** An operator's command to remove witnesses that are permanently lost. `base` is the version of the list in effect. */
export const witnessesReleasedRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('witnessesReleased'), base: version, lost: z.array(z.string().min(1)).min(1).readonly(), author: z.string().min(1) }).readonly()

/** Makes a VM the coordinator of an endpoint. The offset of the record is the coordinator's fencing token; `base` is the previous token. */
export const coordinatorRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('coordinator'), base: version, endpoint: endpointDescriptionSchema, vm: z.string().min(1), standby: z.string().min(1).optional() }).readonly()

/** Assigns buckets of a pool to new owners. `base` is the pool's assignment version. */
export const assignmentRecordSchema = z.strictObject({
  ...recordBase,
  kind: z.literal('assignment'),
  base: version,
  pool: z.string().min(1),
  moves: z.array(z.strictObject({ bucket: offset, to: z.string().min(1) }).readonly()).min(1).readonly()
}).readonly()

/** Confirms that the previous owners no longer hold the buckets that the record at offset `assignment` gave to new owners. */
export const releasedRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('released'), pool: z.string().min(1), assignment: offset, buckets: z.array(offset).min(1).readonly() }).readonly()

/** Marks an endpoint as leaving, so that it is assigned no more buckets. `base` is the endpoint's version. */
export const drainRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('drain'), base: version, endpoint: z.string().min(1), author: z.string().min(1) }).readonly()

/** Removes an endpoint that owns no bucket and is not the previous holder of a pending one. `base` is the endpoint's version. */
export const endpointRemovedRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('endpointRemoved'), base: version, endpoint: z.string().min(1) }).readonly()

/** A snapshot of the control state after the record at `position`, encoded by `encodeState`. */
export const checkpointRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('checkpoint'), position: offset, state: z.string() }).readonly()

/** Any record of the control stream. */
export const controlRecordSchema = z.discriminatedUnion('kind', [
  rulesRecordSchema,
  witnessesRecordSchema,
  witnessesSettledRecordSchema,
  witnessesReleasedRecordSchema,
  coordinatorRecordSchema,
  assignmentRecordSchema,
  releasedRecordSchema,
  drainRecordSchema,
  endpointRemovedRecordSchema,
  checkpointRecordSchema
])

/** Identity and network address of an endpoint, as recorded in the control stream. */
export type EndpointDescription = z.infer<typeof endpointDescriptionSchema>
/** A record of the control stream. */
export type ControlRecord = z.infer<typeof controlRecordSchema>
/** A record of one kind. */
export type RecordOfKind<Kind extends ControlRecord['kind']> = Extract<ControlRecord, { readonly kind: Kind }>
