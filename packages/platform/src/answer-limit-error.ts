import { BriarsaddleError, type ErrorDetails } from '@briarsaddle/common'

interface LimitDetails extends Omit<ErrorDetails, 'code'> {
  readonly bytes: number
  readonly limit: number
}

class LimitError extends BriarsaddleError {
  /** Bytes read when the limit was exceeded. */
  readonly bytes: number
  /** The limit that was exceeded, in bytes. */
  readonly limit: number

  constructor (message: string, details: LimitDetails) {
    super(message, { ...details, code: 'answer_too_large' })
    this.bytes = details.bytes
    this.limit = details.limit
  }
}

/** An answer exceeded a size limit and its connection was closed; code `answer_too_large`. The service may have processed the request. */
export const AnswerLimitError = (BriarsaddleError as unknown as { subclass: (name: string, options: { custom: unknown }) => typeof LimitError })
  .subclass('AnswerLimitError', { custom: LimitError })

/** An answer exceeded a size limit and its connection was closed; code `answer_too_large`. The service may have processed the request. */
export type AnswerLimitError = LimitError

/** Returns log fields for an error: `reason`, `bytes` and `limit` of an `AnswerLimitError`, none for other errors. */
export function answerLimitLogFields (error: unknown): { readonly reason?: string, readonly bytes?: number, readonly limit?: number } {
  return error instanceof AnswerLimitError ? { reason: error.code, bytes: error.bytes, limit: error.limit } : {}
}
