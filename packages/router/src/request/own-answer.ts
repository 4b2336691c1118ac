import type { CallerAnswer, CallerHeader } from '@briarsaddle/entry'
import type { Random } from '@briarsaddle/common'

/** An answer that the router itself creates, as opposed to the answer of an endpoint. */
export interface OwnAnswer {
  readonly status: number
  readonly reason: string
  /** Time after which a repeat is likely to succeed; undefined when no repeat will. */
  readonly retryAfterMilliseconds: number | undefined
}

const statusByReason: ReadonlyMap<string, number> = new Map([
  ['no_route', 404],
  ['key_missing', 400],
  ['bad_request', 400],
  ['invalid_key', 400],
  ['invalid_deadline', 400],
  ['request_timeout', 408],
  ['header_too_large', 431],
  ['body_too_large', 413],
  ['request_too_large', 413]
])
const defaultRetryAfterMilliseconds = 500
// Random part that is added to the advised time, so that callers that were refused together do not return together.
const retrySpread = 0.5

/** Returns the answer to a request that certainly did not run. */
export function refusalFor (reason: string, retryAfterMilliseconds = defaultRetryAfterMilliseconds): OwnAnswer {
  return { status: statusByReason.get(reason) ?? 503, reason, retryAfterMilliseconds }
}

/** Returns the answer to a request that may have run. */
export function unknownFor (reason: string): OwnAnswer {
  const timeout = reason === 'deadline_exceeded' || reason === 'cancelled'
  return { status: timeout ? 504 : 502, reason, retryAfterMilliseconds: defaultRetryAfterMilliseconds }
}

/** Returns the HTTP answer to the caller for an answer of the router. */
export function renderOwnAnswer ({ status, reason, retryAfterMilliseconds }: OwnAnswer, headers: readonly CallerHeader[], random: Random): CallerAnswer {
  const body = Buffer.from(JSON.stringify({ reason }))
  const own = [...headers, { name: 'Content-Type', value: 'application/json' }, { name: 'Content-Length', value: String(body.length) }]
  if (status >= 500 && retryAfterMilliseconds !== undefined) {
    const milliseconds = retryAfterMilliseconds * (1 + retrySpread * random.fraction())
    own.push({ name: 'Retry-After', value: (milliseconds / 1000).toFixed(3) })
  }
  return { status, headers: own, body }
}
