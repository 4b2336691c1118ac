import { BriarsaddleError, type ErrorDetails } from '@briarsaddle/common'
import { RefusalError } from '@briarsaddle/scheduling'
import { Outcome, type Answer } from '@briarsaddle/protocol'

/** Reason codes of answers whose outcome is not ANSWERED. */
export type Reason =
  | 'not_coordinator' | 'not_owner' | 'endpoint_unavailable' | 'endpoint_lost' | 'endpoint_shed' | 'endpoint_refused'
  | 'effect_refused' | 'queue_full' | 'deadline_unreachable' | 'expired_in_queue' | 'cancelled_in_queue' | 'draining' | 'start_rate_exceeded'
  | 'right_expired' | 'journal_unavailable' | 'journal_full' | 'idempotency_key_reused' | 'repeat_in_progress' | 'repeat_unknown' | 'journal_incomplete'
  | 'deadline_passed' | 'connection_broken' | 'answer_too_large' | 'cancelled'

/** Retry-After in milliseconds when no better estimate is available. */
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

/** Creates the answer to a request that did not run and will not run. */
export function notRun (reason: Reason, retryAfterMilliseconds = defaultRetryAfterMilliseconds): Answer {
  return { ...emptyAnswer, outcome: Outcome.OUTCOME_NOT_RUN, reason, retryAfterMilliseconds }
}

/** Creates the answer to a request that may have run. */
export function unknown (reason: Reason): Answer {
  return { ...emptyAnswer, outcome: Outcome.OUTCOME_UNKNOWN, reason, retryAfterMilliseconds: defaultRetryAfterMilliseconds }
}

/** Creates the answer that carries the endpoint's response. The reason is `lengthUnknown` or empty. */
export function answered (content: Pick<Answer, 'status' | 'headers' | 'body' | 'serviceMilliseconds' | 'reason'>): Answer {
  return { ...emptyAnswer, outcome: Outcome.OUTCOME_ANSWERED, ...content }
}

class NotRunErrorBase extends BriarsaddleError {
  readonly answer: Answer

  constructor (message: string, details: ErrorDetails & { readonly answer: Answer }) {
    super(message, details)
    this.answer = details.answer
  }
}

/** Rejects a queued request that did not run; carries the answer for its caller. */
// modern-errors types the options of a custom class as optional; ours are required.
export const NotRunError = BriarsaddleError.subclass('NotRunError', { custom: NotRunErrorBase as never }) as unknown as typeof NotRunErrorBase

/** Creates the error that rejects a queued request with an answer. */
export function notRunError (answer: Answer): NotRunErrorBase {
  return new NotRunError(`the request did not run: ${answer.reason}`, { code: answer.reason, step: 'run request', answer })
}

/** Converts a rejection by the queue, which always means that the request did not run, to an answer; undefined for any other error. */
export function answerForRejection (error: unknown): Answer | undefined {
  if (error instanceof NotRunErrorBase) return error.answer
  if (error instanceof RefusalError) return notRun(error.code, error.retryAfterMilliseconds)
  return undefined
}
