import type { ControlTiming } from './control/timing.js'
import type { RetryBudgetLimit } from './retry-budget.js'

/** An IP address and a port. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** Settings of one VM; times in milliseconds. */
export interface RangeNodeSettings {
  /** Name of the build, which other VMs and operators may compare; absent in tests. */
  readonly build?: string
  readonly vm: {
    readonly id: string
    readonly dataCentre: string
    /** Processor time, in cores; absent if it is not known. */
    readonly weight?: number
  }
  /** Addresses of the inner protocol of some VMs, which other VMs ask for the control state when they start. */
  readonly seeds: readonly ListenAddress[]
  readonly listen: {
    readonly callers: ListenAddress
    /** Address at which the platform's balancer checks whether this VM accepts new connections. */
    readonly readiness: ListenAddress
    readonly administration: ListenAddress
    readonly inner: ListenAddress
  }
  readonly limits: {
    readonly maximumCallerConnections: number
    /** Maximum memory for request bodies, in bytes. */
    readonly maximumBufferedBytes: number
    /** Maximum memory for answers that callers have not read yet, in bytes. */
    readonly maximumUnreadBytes: number
  }
  readonly timing: ControlTiming
  readonly retries: RetryBudgetLimit
  readonly stop: {
    /** Time for the balancer to notice that this VM is stopping, during which it still accepts requests. */
    readonly lameDuckMilliseconds: number
    /** Time after that for requests in flight to finish. */
    readonly finishMilliseconds: number
  }
}
