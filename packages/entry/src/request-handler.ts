import type { TurnOptions } from '@briarsaddle/common'

/** A caller's request without its body. */
export interface CallerRequest {
  readonly method: string
  /** Path and query as received, without scheme and authority (origin form). */
  readonly target: string
  /** All values of each header by lower-case name, like `headersDistinct` of `node:http`. */
  readonly headers: Readonly<Record<string, readonly string[] | undefined>>
  /** Alternating header names and values as received. */
  readonly rawHeaders: readonly string[]
  readonly remoteAddress: string
  /** Monotonic time of arrival in milliseconds. */
  readonly arrivedAt: number
}

/** One header of an answer. */
export interface CallerHeader {
  readonly name: string
  readonly value: string
}

/** Complete answer to a caller. */
export interface CallerAnswer {
  readonly status: number
  readonly headers: readonly CallerHeader[]
  readonly body: Buffer
  /** True when closing the connection marks the end of the answer, because it is not known whether the body is complete. */
  readonly endsWithConnection?: boolean
}

/** Creates the answers to callers. `Accepted` is the handler's state of a request that it has accepted. */
export abstract class CallerRequestHandler<Accepted extends object> {
  /** Checks a request before its body is read. Returns the final answer when the request is refused. */
  abstract accept (request: CallerRequest): Accepted | CallerAnswer
  /** How urgent an accepted request is, and how long it may wait for its turn on a process that is short of processor time. Default: no limit. */
  turnOf (_accepted: Accepted): TurnOptions { return {} }
  /**
   * Routes an accepted request. Always resolves to the final answer; after an abort at once, with the outcome known by then. An answer
   * that ends with the connection may be returned only after `mayEndConnection` has returned true, which makes it the last answer.
   */
  abstract route (accepted: Accepted, body: Buffer, signal: AbortSignal, mayEndConnection: () => boolean): Promise<CallerAnswer>
  /** Creates the answer to a request that certainly did not run. `accepted` is missing when the request was not accepted yet. */
  abstract refusal (reason: string, accepted?: Accepted): CallerAnswer
  /** Creates the answer to a request that may have run. */
  abstract unknownOutcome (reason: string, accepted?: Accepted): CallerAnswer
}

/** Removes scheme and authority from a target in absolute form, which HTTP/1.1 servers must accept. */
export function originForm (target: string): string {
  const rest = target.replace(/^https?:\/\/[^/?#]*/i, '')
  return rest === '' || rest.startsWith('?') ? `/${rest}` : rest
}
