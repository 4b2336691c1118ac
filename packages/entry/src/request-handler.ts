/** What the entry has read of a request before its body. */
export interface CallerRequest {
  readonly method: string
  /** Path and query as received, without scheme and authority. */
  readonly target: string
  /** All values of each header by lower-case name, as `headersDistinct` of `node:http` gives them. */
  readonly headers: Readonly<Record<string, readonly string[] | undefined>>
  /** Alternating names and values as received. */
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

/** What a caller gets. */
export interface CallerAnswer {
  readonly status: number
  readonly headers: readonly CallerHeader[]
  readonly body: Buffer
  /** The end of the connection ends the answer, since nobody knows whether the body is whole. */
  readonly endsWithConnection?: boolean
}

/** Decides what a caller gets. `Accepted` is what the handler keeps of a request while its body is read. */
export abstract class CallerRequestHandler<Accepted extends object> {
  /** Judges a request before its body is read. Returns the final answer when it is refused. */
  abstract accept (request: CallerRequest): Accepted | CallerAnswer
  /** Routes an accepted request. Always resolves to the final answer; an abort ends it truthfully at once. */
  abstract route (accepted: Accepted, body: Buffer, signal: AbortSignal): Promise<CallerAnswer>
  /** Creates the answer to a request that surely did not run; `accepted` is missing for one that was not read as far. */
  abstract refusal (reason: string, accepted?: Accepted): CallerAnswer
  /** Creates the answer to a request that may have run. */
  abstract unknownOutcome (reason: string, accepted?: Accepted): CallerAnswer
}

/** Removes scheme and authority of a target in absolute form, which HTTP/1.1 servers must accept. */
export function originForm (target: string): string {
  const rest = target.replace(/^https?:\/\/[^/?#]*/i, '')
  return rest === '' || rest.startsWith('?') ? `/${rest}` : rest
}
