import type { Forward } from '@briarsaddle/protocol'

/** Bucket of a request whose pool is not partitioned by key. */
export const noBucket = -1

/** The fields of a forwarded request that are the same for every attempt. */
export type RequestTemplate = Omit<Forward, 'id' | 'endpoint' | 'deadlineMilliseconds' | 'position'>

/** State of one request over all attempts to run it. */
export interface RequestProgress {
  readonly template: RequestTemplate
  /** Monotonic time in milliseconds. */
  readonly deadlineAt: number
  readonly signal: AbortSignal
  /** Endpoints that failed to run the request since the last wait; only for requests without a bucket. */
  readonly excluded: Set<string>
  /** Back-off before the next retry to an unchanged destination, before jitter. */
  backoffMilliseconds: number
  /** Monotonic time until which the request may wait for its destination to change; undefined until it first waits. */
  destinationWaitEndsAt: number | undefined
  /** True once the outcome of an attempt is unknown, so that the request can no longer be answered as not run. */
  mayHaveRun: boolean
}
