import type { CallerHeader, CallerRequest } from '@briarsaddle/entry'

/** What the router reads from a caller's request. */
export interface CallerFields {
  readonly host: string
  readonly requestId: string
  /** How long the caller waits from the arrival of the request, in milliseconds; undefined without a deadline. */
  readonly deadlineMilliseconds: number | undefined
  /** Key of the request; undefined without one. */
  readonly key: number | undefined
}

/** The platform's headers in the requests of callers and in the answers that the router itself creates. */
export abstract class CallerProtocol {
  /** Returns the fields of a request, or a reason when it is not valid. */
  abstract read (request: CallerRequest): CallerFields | { readonly invalid: string, readonly requestId: string }
  /** Returns the headers of an answer that the router itself creates. */
  abstract ownHeaders (requestId: string): readonly CallerHeader[]
  /** Names in lower case of the headers that `read` understands; they are not forwarded. */
  abstract get understoodHeaders (): ReadonlySet<string>
}
