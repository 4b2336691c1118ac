import { z } from 'zod'

/** Lowest key. */
export const firstKey = 0
/** Highest key. Keys are numbers of 16 bits. */
export const lastKey = 65_535

/** A key. */
export const keySchema = z.int().min(firstKey).max(lastKey)

/** One VM. */
export const vmSchema = z.object({
  id: z.string(),
  host: z.string(),
  port: z.int(),
  dataCentre: z.string(),
  /** Processor time of the VM, in cores; absent if it is not known. */
  weight: z.number().positive().optional(),
  /** Feature level of the build of the VM; absent for builds without levels. */
  level: z.int().optional(),
  /** Ids of endpoints that the leader has given to the VM to queue their requests; absent if there are none. */
  coordinates: z.array(z.string()).readonly().optional(),
  /** Names of the pools whose endpoints the VM does not reach although other VMs do; absent if there are none. */
  cutFrom: z.array(z.string()).readonly().optional()
}).readonly()

/** One VM of the deployment, with the address of its protocol between VMs. */
export type VmEntry = z.infer<typeof vmSchema>

/** Keys from `from` to `to`, both inclusive. */
export interface KeyRange {
  readonly from: number
  readonly to: number
}

/** One process of an endpoint. A restarted endpoint keeps its id but is another holder, without the state of the former process. */
export interface Holder {
  readonly endpoint: string
  /** Start time of the process in milliseconds since 1970; tells the processes of one endpoint apart. */
  readonly life: number
  /** `host:port`; kept here because the endpoint may leave the directory before it has released its keys. */
  readonly address: string
}

/** A contiguous range of keys with one owner. */
export interface Segment extends KeyRange {
  readonly owner: Holder
  /** Fencing token of the owner's grant. */
  readonly fence: number
  /** True until the owner has acknowledged its grant of the keys; until then no requests are sent to it. */
  readonly moving: boolean
  /** Former holders that may still hold the keys; empty unless the segment is moving. */
  readonly former: readonly Holder[]
  /**
   * True if, when the move began, a former holder might still have accepted grants from leaders before the one that began it,
   * because it had not acknowledged a fencing token of that leader. Set only on moving segments.
   */
  readonly open?: boolean
  /** Data that the last holder handed over for the new owner; empty if there is none. */
  readonly handover: string
}

/** The control state: the owner of every key of each pool, and the list of VMs. */
export interface KeyMap {
  /** Highest fencing token that has been used. */
  readonly fence: number
  /** Id of the VM that wrote the map. */
  readonly author: string
  readonly vms: readonly VmEntry[]
  /** Segments of each pool, in the order of their keys and without gaps. */
  readonly pools: Readonly<Record<string, readonly Segment[]>>
  /** What was wrong with the layout of the map as it was read, see `repairLayout`; absent if it was valid. Never written. */
  readonly repairs?: readonly string[]
}

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
