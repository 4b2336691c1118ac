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

/** The VMs that answer witness questions. */
export interface WitnessesState {
  /** Offset of the record that made `vms` effective, or `noVersion`. */
  readonly version: number
  readonly vms: readonly string[]
  /** A list that is not yet in effect. */
  readonly pending: { readonly offset: number, readonly vms: readonly string[] } | undefined
}

/** An endpoint and the VM that coordinates it. */
export interface EndpointState {
  readonly description: EndpointDescription
  /** Coordinating VM, its token (offset of the record) and its standby. */
  readonly coordinator: { readonly vm: string, readonly token: number, readonly standby: string | undefined }
  readonly leaving: boolean
  /** Offset of the last record that touched the endpoint, its coordinator or the buckets that it owns or owned. */
  readonly version: number
}

/** Owner of one bucket. */
export interface BucketState {
  readonly owner: string
  /** Offset of the assignment record: the fencing token of the bucket. */
  readonly token: number
  /** The former owner, until a `released` record for this token is read. The owner may not be granted the bucket before. */
  readonly pendingFrom: string | undefined
  /** Who held the bucket before the owner; undefined while it has had one holder only. */
  readonly former: FormerHolder | undefined
}

/** The holder of a bucket before its present one. */
export interface FormerHolder {
  readonly endpoint: string
  /** Offset of the `released` record by which it ceased to hold the bucket. */
  readonly releasedAt: number
}

/** Buckets of one pool. */
export interface PoolState {
  /** Offset of the last valid assignment record, or `noVersion`. */
  readonly version: number
  /** Indexed by bucket; a bucket that was never assigned is undefined. */
  readonly buckets: ReadonlyArray<BucketState | undefined>
}

/** The deterministic reading of the control stream up to `position`. */
export interface ControlState {
  /** Offset of the last record that was applied, or `noVersion`. */
  readonly position: number
  readonly rules: RulesState
  readonly witnesses: WitnessesState
  readonly endpoints: ReadonlyMap<string, EndpointState>
  readonly pools: ReadonlyMap<string, PoolState>
  /** Ids of recent records, newest last, so that a record that was appended twice counts once. */
  readonly recentIds: readonly string[]
}

/** Why a record had no effect. */
export type VoidReason = 'stale_base' | 'duplicate' | 'unknown_endpoint' | 'leaving_endpoint' | 'unknown_bucket' | 'still_owner' | 'not_pending' | 'invalid'

/** Result of applying one record. */
export interface Applied {
  readonly state: ControlState
  /** Undefined when the record took effect. */
  readonly voidReason: VoidReason | undefined
}
