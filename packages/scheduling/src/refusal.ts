import { BriarsaddleError, type ErrorDetails } from '@briarsaddle/common'

/** Why a job was refused or removed from the queue. With each of these codes the job has not run. */
export type RefusalCode = 'queue_full' | 'deadline_unreachable' | 'expired_in_queue' | 'cancelled_in_queue' | 'draining' | 'start_rate_exceeded'

/** A refusal as plain data, for callers that respond without creating an error. */
export interface Refusal {
  readonly code: RefusalCode
  /** Time after which a retry is likely to be admitted, with random jitter already applied. */
  readonly retryAfterMilliseconds: number
}

const refusalMessages: Readonly<Record<RefusalCode, string>> = {
  queue_full: 'The queue of the endpoint is full',
  deadline_unreachable: 'The endpoint cannot answer before the deadline of the request',
  expired_in_queue: 'The request expired in the queue: too little time is left before its deadline',
  cancelled_in_queue: 'The request was cancelled in the queue',
  draining: 'The endpoint is draining and accepts no new requests',
  start_rate_exceeded: 'The endpoint takes no further request now, and another endpoint can run this one'
}

class DetailedRefusal extends BriarsaddleError {
  declare readonly code: RefusalCode
  readonly retryAfterMilliseconds: number

  constructor (message: string, details: ErrorDetails & { readonly retryAfterMilliseconds: number }) {
    super(message, details)
    this.retryAfterMilliseconds = details.retryAfterMilliseconds
  }
}

/** Error for a job that was refused or removed from the queue and has not run. */
// modern-errors types the options of a custom class as optional; here they are required.
export const RefusalError = BriarsaddleError.subclass('RefusalError', { custom: DetailedRefusal as never }) as unknown as typeof DetailedRefusal

/** Error for a job that was refused or removed from the queue and has not run. */
export type RefusalError = DetailedRefusal

/** Creates the error for a refusal, without a stack trace: capturing it would take most of the time of a refusal. */
export function refusalError (refusal: Refusal): RefusalError {
  const limit = Error.stackTraceLimit
  Error.stackTraceLimit = 0
  try {
    return new RefusalError(refusalMessages[refusal.code], { ...refusal, step: 'queue request' })
  } finally {
    Error.stackTraceLimit = limit
  }
}
