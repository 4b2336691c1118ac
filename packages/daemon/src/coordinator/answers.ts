import { BriarsaddleError, type ErrorDetails } from '@briarsaddle/common'
import { RefusalError } from '@briarsaddle/scheduling'
import { Outcome, type Answer } from '@briarsaddle/protocol'

/** Reasons for answers whose outcome is not ANSWERED. */
export type Reason =
  | 'not_coordinator' | 'not_owner' | 'endpoint_unavailable' | 'endpoint_lost' | 'endpoint_shed' | 'endpoint_refused'
  | 'effect_refused' | 'queue_full' | 'deadline_unreachable' | 'expired_in_queue' | 'cancelled_in_queue' | 'draining'
  | 'right_expired' | 'journal_unavailable' | 'journal_full' | 'idempotency_key_reused' | 'repeat_in_progress' | 'repeat_unknown' | 'journal_incomplete'
  | 'deadline_passed' | 'connection_broken' | 'answer_too_large' | 'cancelled'

/** Retry-After when nothing better is known, in milliseconds. */
export const defaultRetryAfterMilliseconds = 1000

const emptyAnswer: Answer = {
  id: 0,
  outcome: Outcome.OUTCOME_UNKNOWN,
  status: 0,
  headers: [],
  body: Buffer.alloc(0),
  reason: '',
  retryAfterMilliseconds: 0,
  outstanding: 0,
  serviceMilliseconds: 0,
  position: 0
}

/** The request did not run and will not run. */
export function notRun (reason: Reason, retryAfterMilliseconds = defaultRetryAfterMilliseconds): Answer {
  return { ...emptyAnswer, outcome: Outcome.OUTCOME_NOT_RUN, reason, retryAfterMilliseconds }
}

/** The request may have run. */
export function unknown (reason: Reason): Answer {
  return { ...emptyAnswer, outcome: Outcome.OUTCOME_UNKNOWN, reason, retryAfterMilliseconds: defaultRetryAfterMilliseconds }
}

/** The endpoint's own answer. */
export function answered (content: Pick<Answer, 'status' | 'headers' | 'body' | 'serviceMilliseconds'>): Answer {
  return { ...emptyAnswer, outcome: Outcome.OUTCOME_ANSWERED, ...content }
}

class DetailedNotRun extends BriarsaddleError {
  readonly answer: Answer

  constructor (message: string, details: ErrorDetails & { readonly answer: Answer }) {
    super(message, details)
    this.answer = details.answer
  }
}

/** Rejects a queued request that surely did not run with the answer for its caller. */
// modern-errors types the options of a custom class as optional; ours are required.
export const NotRunError = BriarsaddleError.subclass('NotRunError', { custom: DetailedNotRun as never }) as unknown as typeof DetailedNotRun

/** Creates the rejection for an answer. */
export function notRunError (answer: Answer): DetailedNotRun {
  return new NotRunError(`the request did not run: ${answer.reason}`, { code: answer.reason, step: 'run request', answer })
}

/** Turns a rejection of the queue into an answer; all of them mean that the request did not run. */
export function answerForRejection (error: unknown): Answer | undefined {
  if (error instanceof DetailedNotRun) return error.answer
  if (error instanceof RefusalError) return notRun(error.code, error.retryAfterMilliseconds)
  return undefined
}
