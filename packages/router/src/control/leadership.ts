import type { VmEntry } from '@briarsaddle/key-ranges'

/** Answer of the membership service to a VM that joins or confirms its membership. */
export interface MembershipReport {
  /** Changes whenever a VM joins, leaves or expires. */
  readonly generation: number
  /** Whether this VM is the elected leader; true for one member at a time. */
  readonly leads: boolean
}

/** Group membership of the VMs and election of their leader, provided by the platform. */
export abstract class MembershipService {
  /** Joins, or confirms the membership. Throws `log_unavailable`. */
  abstract join (self: VmEntry, signal: AbortSignal): Promise<MembershipReport>
  /** Leaves the group. Throws `log_unavailable`. */
  abstract leave (self: VmEntry, signal: AbortSignal): Promise<void>
  /** Lists the VMs of the group. Throws `log_unavailable`. */
  abstract members (signal: AbortSignal): Promise<readonly VmEntry[]>
}
