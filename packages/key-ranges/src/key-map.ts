import { z } from 'zod'

/** Lowest key. */
export const firstKey = 0
/** Highest key. Keys are numbers of 16 bits. */
export const lastKey = 65_535

const keySchema = z.int().min(firstKey).max(lastKey)

/** One process of an endpoint. An endpoint that starts again under its id is another holder and knows nothing of before. */
const holderSchema = z.object({
  endpoint: z.string(),
  /** Start of the process, in milliseconds since 1970. */
  life: z.int(),
  /** `host:port`, kept because the endpoint may leave the directory before it has released its keys. */
  address: z.string()
}).readonly()

const segmentSchema = z.object({
  from: keySchema,
  /** Included. */
  to: keySchema,
  owner: holderSchema,
  /** Fencing token of the owner's grant. */
  fence: z.int(),
  /** True while the owner may not have been granted the keys yet; nothing is sent to it. */
  moving: z.boolean(),
  /** Holders that may still hold the keys; only while moving. */
  former: z.array(holderSchema).readonly().default([]),
  /** True while a former holder may take grants of leaders before the one that began the move; only while moving. */
  open: z.boolean().optional(),
  /** What the last holder handed over for the owner; empty without one. */
  handover: z.string().default('')
}).readonly()

const vmSchema = z.object({ id: z.string(), host: z.string(), port: z.int(), dataCentre: z.string() }).readonly()

/** The control state: who owns which keys of each pool, and the VMs that are there. */
export const keyMapSchema = z.object({
  /** Highest fencing token that was ever used. */
  fence: z.int(),
  /** The VM that wrote the map. */
  author: z.string(),
  vms: z.array(vmSchema).readonly(),
  /** Segments of each pool, ordered and without gaps. */
  pools: z.record(z.string(), z.array(segmentSchema).readonly()).readonly()
}).readonly()

/** Keys from `from` to `to`, both included. */
export interface KeyRange {
  readonly from: number
  readonly to: number
}

/** One process of an endpoint. */
export type Holder = z.infer<typeof holderSchema>
/** Neighbouring keys with one owner. */
export type Segment = z.infer<typeof segmentSchema>
/** One VM of the deployment with the address of its inner protocol. */
export type VmEntry = z.infer<typeof vmSchema>
/** The control state. */
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
