import type { ControlTiming } from './control/timing.js'
import type { RetryLimit } from './retry-share.js'

/** An IP address and a port. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** Settings of one VM; times in milliseconds. */
export interface RangeNodeSettings {
  readonly vm: { readonly id: string, readonly dataCentre: string }
  readonly listen: {
    readonly callers: ListenAddress
    /** Where the platform's balancer asks whether this VM takes new connections. */
    readonly readiness: ListenAddress
    readonly administration: ListenAddress
    readonly inner: ListenAddress
  }
  readonly limits: {
    readonly maximumCallerConnections: number
    readonly maximumBufferedBytes: number
  }
  readonly timing: ControlTiming
  readonly retries: RetryLimit
  readonly stop: {
    /** Time for the balancer to notice that this VM stops. */
    readonly lameDuckMilliseconds: number
    /** Time for requests in flight after that. */
    readonly finishMilliseconds: number
  }
}
