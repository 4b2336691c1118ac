import { BriarsaddleError, type ErrorDetails } from '@briarsaddle/common'

interface ForgottenDetails extends Omit<ErrorDetails, 'code'> {
  readonly first: number
}

class ForgottenError extends BriarsaddleError {
  /** Oldest offset that is still retained. */
  readonly first: number

  constructor (message: string, details: ForgottenDetails) {
    super(message, { ...details, code: 'log_forgotten' })
    this.first = details.first
  }
}

/** Thrown by a read whose `from` is older than the oldest retained record; code `log_forgotten`. */
export const LogForgottenError = (BriarsaddleError as unknown as { subclass: (name: string, options: { custom: unknown }) => typeof ForgottenError })
  .subclass('LogForgottenError', { custom: ForgottenError })

/** Thrown by a read whose `from` is older than the oldest retained record; code `log_forgotten`. */
export type LogForgottenError = ForgottenError
