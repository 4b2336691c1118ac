import type { CallerHeader, CallerRequest } from '@briarsaddle/entry'

/** What the router needs of a caller's request. */
export interface CallerFields {
  readonly host: string
  readonly requestId: string
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMilliseconds: number | undefined
  readonly key: number | undefined
}

/** How callers state what they want, and what they learn from the router's own answers. */
export abstract class CallerProtocol {
  /** Returns a reason when the request is not valid. */
  abstract read (request: CallerRequest): CallerFields | { readonly invalid: string, readonly requestId: string }
  /** Headers of the router's own answers. */
  abstract ownHeaders (requestId: string): readonly CallerHeader[]
  /** Names in lower case of the headers that `read` understands; they need not travel between VMs. */
  abstract get understoodHeaders (): ReadonlySet<string>
}
