import type { Forward } from '@briarsaddle/protocol'

/** Bucket of a request whose pool is not partitioned by key. */
export const noBucket = -1

/** A request without what depends on the place and time of sending. */
export type RequestTemplate = Omit<Forward, 'id' | 'endpoint' | 'deadlineMilliseconds' | 'position'>

/** Progress of one request. */
export interface Attempt {
  readonly template: RequestTemplate
  readonly deadlineAt: number
  readonly signal: AbortSignal
  /** Endpoints that refused the request since the last wait. */
  readonly excluded: Set<string>
  backoffMilliseconds: number
  /** Time until which the request waits for a place that refused it. */
  relocationEndsAt: number | undefined
  /** True once the outcome of an earlier sending is unknown: the request can no longer end as not run. */
  mayHaveRun: boolean
}
