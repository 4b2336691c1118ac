import { z } from 'zod'

/** Offset of a record in the control stream; also used as a version and as a fencing token. */
const offset = z.number().int().nonnegative()

/** Version of something that no record has touched yet. */
export const noVersion = -1

const version = z.number().int().min(noVersion)

const recordBase = { id: z.uuid() }

/** What the VMs need to know to reach an endpoint. */
export const endpointDescriptionSchema = z.strictObject({
  id: z.string().min(1),
  pool: z.string().min(1),
  dataCentre: z.string().min(1),
  host: z.string().min(1),
  port: z.number().int().min(1).max(65535),
  /** True when the endpoint checks tokens and grants itself. */
  checks: z.boolean()
}).readonly()

/** Replaces the rule file. */
export const rulesRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('rules'), base: version, text: z.string(), author: z.string().min(1) }).readonly()

/** Proposes a witness list; the first one takes effect at once. */
export const witnessesRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('witnesses'), base: version, vms: z.array(z.string().min(1)).min(1).readonly() }).readonly()

/** States that a majority of the former witnesses has read the pending list at offset `base`. */
export const witnessesSettledRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('witnessesSettled'), base: offset }).readonly()

/** Operator's command that removes witnesses that are lost for good. */
export const witnessesReleasedRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('witnessesReleased'), base: version, lost: z.array(z.string().min(1)).min(1).readonly(), author: z.string().min(1) }).readonly()

/** Makes a VM the coordinator of an endpoint; the token is this record's offset. `base` is the former token. */
export const coordinatorRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('coordinator'), base: version, endpoint: endpointDescriptionSchema, vm: z.string().min(1), standby: z.string().min(1).optional() }).readonly()

/** Gives buckets of a pool to new owners. `base` is the pool's assignment version. */
export const assignmentRecordSchema = z.strictObject({
  ...recordBase,
  kind: z.literal('assignment'),
  base: version,
  pool: z.string().min(1),
  moves: z.array(z.strictObject({ bucket: offset, to: z.string().min(1) }).readonly()).min(1).readonly()
}).readonly()

/** States that the former owners no longer hold the buckets, which were assigned at offset `assignment`. */
export const releasedRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('released'), pool: z.string().min(1), assignment: offset, buckets: z.array(offset).min(1).readonly() }).readonly()

/** Marks an endpoint as leaving. `base` is the endpoint's version. */
export const drainRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('drain'), base: version, endpoint: z.string().min(1), author: z.string().min(1) }).readonly()

/** Forgets an endpoint that owns no bucket and holds none that is pending. */
export const endpointRemovedRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('endpointRemoved'), base: version, endpoint: z.string().min(1) }).readonly()

/** The control state after the record at `position`, encoded by `encodeState`. */
export const checkpointRecordSchema = z.strictObject({ ...recordBase, kind: z.literal('checkpoint'), position: offset, state: z.string() }).readonly()

/** Every record of the control stream. */
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

/** What an entry VM or operator needs to know to reach an endpoint. */
export type EndpointDescription = z.infer<typeof endpointDescriptionSchema>
/** A record of the control stream. */
export type ControlRecord = z.infer<typeof controlRecordSchema>
/** A record of one kind. */
export type RecordOfKind<Kind extends ControlRecord['kind']> = Extract<ControlRecord, { readonly kind: Kind }>
