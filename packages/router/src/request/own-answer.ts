import type { CallerAnswer, CallerHeader } from '@briarsaddle/entry'
import type { Random } from '@briarsaddle/common'

/** The router's own answer to a request. */
export interface OwnAnswer {
  readonly status: number
  readonly reason: string
  /** When a repeat has a fair chance; undefined when it has none. */
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
// Callers that were refused together come back spread over this part of the advised time.
const retrySpread = 0.5

/** The answer to a request that surely did not run. */
export function refusalFor (reason: string, retryAfterMilliseconds = defaultRetryAfterMilliseconds): OwnAnswer {
  return { status: statusByReason.get(reason) ?? 503, reason, retryAfterMilliseconds }
}

/** The answer to a request that may have run. */
export function unknownFor (reason: string): OwnAnswer {
  const timeout = reason === 'deadline_exceeded' || reason === 'cancelled'
  return { status: timeout ? 504 : 502, reason, retryAfterMilliseconds: defaultRetryAfterMilliseconds }
}

/** Turns an own answer into what the caller gets. */
export function renderOwnAnswer ({ status, reason, retryAfterMilliseconds }: OwnAnswer, headers: readonly CallerHeader[], random: Random): CallerAnswer {
  const body = Buffer.from(JSON.stringify({ reason }))
  const own = [...headers, { name: 'Content-Type', value: 'application/json' }, { name: 'Content-Length', value: String(body.length) }]
  if (status >= 500 && retryAfterMilliseconds !== undefined) {
    const milliseconds = retryAfterMilliseconds * (1 + retrySpread * random.fraction())
    own.push({ name: 'Retry-After', value: (milliseconds / 1000).toFixed(3) })
  }
  return { status, headers: own, body }
}
