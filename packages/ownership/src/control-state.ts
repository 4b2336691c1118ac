import type { EndpointDescription } from './records.js'

/** Number of buckets of every pool that is partitioned by key. */
export const bucketsPerPool = 1024

/** The rule file in force. */
export interface RulesState {
  /** Offset of the record, or `noVersion` before the first one. */
  readonly version: number
  readonly text: string
  readonly author: string
}

/** The witnesses: the VMs of which a majority must confirm a coordinator's lease while the log cannot be read. */
export interface WitnessesState {
  /** Offset of the record that put `vms` into effect, or `noVersion`. */
  readonly version: number
  readonly vms: readonly string[]
  /** A proposed list that is not in effect yet, and the offset of its record. */
  readonly pending: { readonly offset: number, readonly vms: readonly string[] } | undefined
}

/** An endpoint and the VM that coordinates it. */
export interface EndpointState {
  readonly description: EndpointDescription
  /** The coordinating VM, its fencing token (the offset of the `coordinator` record) and its standby. */
  readonly coordinator: { readonly vm: string, readonly token: number, readonly standby: string | undefined }
  /** True once a `drain` record was read: the endpoint is assigned no more buckets. */
  readonly leaving: boolean
  /** Offset of the last record that changed the endpoint, its coordinator, or a bucket that it owns or has not released yet. */
  readonly version: number
}

/** Owner of one bucket, and the endpoint that may still hold it after a move. */
export interface BucketState {
  readonly owner: string
  /** Fencing token of the bucket: the offset of the `assignment` record. */
  readonly token: number
  /** The endpoint that may still hold the bucket; the owner must not be granted it until a `released` record for this token clears the field. */
  readonly pendingFrom: string | undefined
  /** The previous holder; undefined while the bucket has had only one. */
  readonly former: FormerHolder | undefined
}

/** The previous holder of a bucket. */
export interface FormerHolder {
  readonly endpoint: string
  /** Offset of the `released` record that confirmed that the endpoint no longer holds the bucket. */
  readonly releasedAt: number
}

/** Bucket assignments of one pool. */
export interface PoolState {
  /** Offset of the last `assignment` record that took effect, or `noVersion`. */
  readonly version: number
  /** Indexed by bucket number; undefined for a bucket that was never assigned. */
  readonly buckets: ReadonlyArray<BucketState | undefined>
}

/** The result of applying the records of the control stream in order up to `position`. Equal on every VM that has read so far. */
export interface ControlState {
  /** Offset of the last record that was applied, or `noVersion`. */
  readonly position: number
  readonly rules: RulesState
  readonly witnesses: WitnessesState
  readonly endpoints: ReadonlyMap<string, EndpointState>
  readonly pools: ReadonlyMap<string, PoolState>
  /** Ids of recent records, newest last, so that a record that was appended twice takes effect once. */
  readonly recentIds: readonly string[]
}

/** Why a record was rejected and had no effect. */
export type VoidReason = 'stale_base' | 'duplicate' | 'unknown_endpoint' | 'leaving_endpoint' | 'unknown_bucket' | 'still_owner' | 'not_pending' | 'invalid'

/** The result of applying one record. */
export interface Applied {
  readonly state: ControlState
  /** Undefined when the record took effect. */
  readonly voidReason: VoidReason | undefined
}
