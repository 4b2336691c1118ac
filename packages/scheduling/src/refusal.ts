import { BriarsaddleError, type ErrorDetails } from '@briarsaddle/common'

/** Why a job was refused or taken out of the queue. Each code means that the job surely did not run. */
export type RefusalCode = 'queue_full' | 'deadline_unreachable' | 'expired_in_queue' | 'cancelled_in_queue' | 'draining'

/** A refusal as plain data, for callers that answer without an error object. */
export interface Refusal {
  readonly code: RefusalCode
  /** When a repeat has a fair chance; already spread at random. */
  readonly retryAfterMilliseconds: number
}

const refusalMessages: Readonly<Record<RefusalCode, string>> = {
  queue_full: 'The queue of the endpoint is full',
  deadline_unreachable: 'The endpoint cannot answer before the deadline',
  expired_in_queue: 'The request waited so long that its deadline can no longer be met',
  cancelled_in_queue: 'The request was cancelled while it waited',
  draining: 'The endpoint takes no new work'
}

class DetailedRefusal extends BriarsaddleError {
  declare readonly code: RefusalCode
  readonly retryAfterMilliseconds: number

  constructor (message: string, details: ErrorDetails & { readonly retryAfterMilliseconds: number }) {
    super(message, details)
    this.retryAfterMilliseconds = details.retryAfterMilliseconds
  }
}

/** Rejection of a job that surely did not run. */
// modern-errors types the options of a custom class as optional; ours are required.
export const RefusalError = BriarsaddleError.subclass('RefusalError', { custom: DetailedRefusal as never }) as unknown as typeof DetailedRefusal

/** Rejection of a job that surely did not run. */
export type RefusalError = DetailedRefusal

/** Turns a refusal into an error without a stack, whose capture would cost most of the time of a refusal. */
export function refusalError (refusal: Refusal): RefusalError {
  const limit = Error.stackTraceLimit
  Error.stackTraceLimit = 0
  try {
    return new RefusalError(refusalMessages[refusal.code], { ...refusal, step: 'queue request' })
  } finally {
    Error.stackTraceLimit = limit
  }
}
