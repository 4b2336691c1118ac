import { BriarsaddleError, type ErrorDetails } from '@briarsaddle/common'

interface LimitDetails extends Omit<ErrorDetails, 'code'> {
  readonly bytes: number
  readonly limit: number
}

class LimitError extends BriarsaddleError {
  /** Bytes that had been read. */
  readonly bytes: number
  /** The limit that they passed, in bytes. */
  readonly limit: number

  constructor (message: string, details: LimitDetails) {
    super(message, { ...details, code: 'answer_too_large' })
    this.bytes = details.bytes
    this.limit = details.limit
  }
}

/** An answer passed one of its limits, and its connection was closed; code `answer_too_large`. The request may have run. */
export const AnswerLimitError = (BriarsaddleError as unknown as { subclass: (name: string, options: { custom: unknown }) => typeof LimitError })
  .subclass('AnswerLimitError', { custom: LimitError })

/** An answer passed one of its limits, and its connection was closed; code `answer_too_large`. The request may have run. */
export type AnswerLimitError = LimitError

/** Fields of a log line about the error: `reason`, `bytes` and `limit` of an answer that passed a limit, else none. */
export function limitFields (error: unknown): { readonly reason?: string, readonly bytes?: number, readonly limit?: number } {
  return error instanceof AnswerLimitError ? { reason: error.code, bytes: error.bytes, limit: error.limit } : {}
}
