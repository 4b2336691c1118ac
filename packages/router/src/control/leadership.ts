import type { VmEntry } from '@briarsaddle/key-ranges'

/** What a VM learned when it confirmed its membership. */
export interface MembershipReport {
  /** Changes whenever a VM joins or leaves. */
  readonly generation: number
  /** True for exactly one member. */
  readonly leads: boolean
}

/** Membership of the VMs and election of one leader, kept by the platform. */
export abstract class MembershipService {
  /** Joins, or confirms the membership. Throws `log_unavailable`. */
  abstract join (self: VmEntry, signal: AbortSignal): Promise<MembershipReport>
  /** Throws `log_unavailable`. */
  abstract leave (self: VmEntry, signal: AbortSignal): Promise<void>
  /** Lists the members. Throws `log_unavailable`. */
  abstract members (signal: AbortSignal): Promise<readonly VmEntry[]>
}
