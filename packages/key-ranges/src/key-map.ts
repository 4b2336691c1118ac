import { z } from 'zod'

/** Lowest key. */
export const firstKey = 0
/** Highest key. Keys are numbers of 16 bits. */
export const lastKey = 65_535

const keySchema = z.int().min(firstKey).max(lastKey)

/** One process of an endpoint. A restarted endpoint keeps its id but is another holder, without the state of the former process. */
const holderSchema = z.object({
  endpoint: z.string(),
  /** Start time of the process in milliseconds since 1970; tells the processes of one endpoint apart. */
  life: z.int(),
  /** `host:port`; kept here because the endpoint may leave the directory before it has released its keys. */
  address: z.string()
}).readonly()

const segmentSchema = z.object({
  from: keySchema,
  /** Inclusive. */
  to: keySchema,
  owner: holderSchema,
  /** Fencing token of the owner's grant. */
  fence: z.int(),
  /** True until the owner has acknowledged its grant of the keys; until then no requests are sent to it. */
  moving: z.boolean(),
  /** Former holders that may still hold the keys; empty unless the segment is moving. */
  former: z.array(holderSchema).readonly().default([]),
  /**
   * True if, when the move began, a former holder might still have accepted grants from leaders before the one that began it,
   * because it had not acknowledged a fencing token of that leader. Set only on moving segments.
   */
  open: z.boolean().optional(),
  /** Data that the last holder handed over for the new owner; empty if there is none. */
  handover: z.string().default('')
}).readonly()

const vmSchema = z.object({ id: z.string(), host: z.string(), port: z.int(), dataCentre: z.string() }).readonly()

/** The control state: the owner of every key of each pool, and the list of VMs. */
export const keyMapSchema = z.object({
  /** Highest fencing token that has been used. */
  fence: z.int(),
  /** Id of the VM that wrote the map. */
  author: z.string(),
  vms: z.array(vmSchema).readonly(),
  /** Segments of each pool, in the order of their keys and without gaps. */
  pools: z.record(z.string(), z.array(segmentSchema).readonly()).readonly(),
  /** What was wrong with the layout of the map as it was read, see `repairLayout`; absent if it was valid. Never written. */
  repairs: z.array(z.string()).readonly().optional()
}).readonly()

/** Keys from `from` to `to`, both inclusive. */
export interface KeyRange {
  readonly from: number
  readonly to: number
}

/** One process of an endpoint. */
export type Holder = z.infer<typeof holderSchema>
/** A contiguous range of keys with one owner. */
export type Segment = z.infer<typeof segmentSchema>
/** One VM of the deployment, with the address of its protocol between VMs. */
export type VmEntry = z.infer<typeof vmSchema>
/** The control state, as described by `keyMapSchema`. */
export type KeyMap = z.infer<typeof keyMapSchema>

/** The map before the first assignment. */
export const emptyKeyMap: KeyMap = { fence: 0, author: '', vms: [], pools: {} }

/** Number of keys in a range. */
export function sizeOf ({ from, to }: KeyRange): number {
  return to - from + 1
}

/** Formats a range for logs. */
export function rangeText ({ from, to }: KeyRange): string {
  return `${from}-${to}`
}
