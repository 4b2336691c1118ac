import ModernError from 'modern-errors'

/** Details of a `BriarsaddleError`. */
export interface ErrorDetails {
  /** Stable machine-readable code, for example `log_unavailable`. */
  readonly code: string
  /** The operation that failed, for example `append record`. */
  readonly step: string
  /** The remote process or address, if there is one. */
  readonly peer?: string
  /** The place in the input, for example `rules.txt:12` or `limits.maximumBodyBytes`. */
  readonly path?: string
  /** The error that caused this one. */
  readonly cause?: unknown
}

class DetailedError extends ModernError {
  readonly code: string
  readonly step: string
  readonly peer: string | undefined
  readonly path: string | undefined

  constructor (message: string, details: ErrorDetails) {
    super(message, { ...details })
    this.code = details.code
    this.step = details.step
    this.peer = details.peer
    this.path = details.path
  }

  /** Returns the error as plain data for logs, JSON output and state dumps. */
  toData (): Readonly<Record<string, string>> {
    const data: Record<string, string> = { code: this.code, step: this.step, message: this.message }
    if (this.peer !== undefined) data['peer'] = this.peer
    if (this.path !== undefined) data['path'] = this.path
    return data
  }
}

/** Class of all expected errors. Callers may branch on its details. */
// modern-errors types the options of a custom class as optional; here they are required.
export const BriarsaddleError = ModernError.subclass('BriarsaddleError', { custom: DetailedError as never }) as unknown as typeof DetailedError

/** An expected error with code, step, peer and path. */
export type BriarsaddleError = DetailedError

/** Returns the message of any thrown value. */
export function describeError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

/** Returns the code of a briarsaddle or Node error, or `unknown`. */
export function errorCode (error: unknown): string {
  if (error !== null && typeof error === 'object' && 'code' in error && typeof error.code === 'string') return error.code
  return 'unknown'
}
