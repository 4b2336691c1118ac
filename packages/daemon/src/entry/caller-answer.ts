import type { Random } from '@briarsaddle/common'
import { headerValue, type CallerAnswer } from '@briarsaddle/entry'
import { lengthUnknown, Outcome, type Answer, type Header } from '@briarsaddle/protocol'
import { callerHeaders } from './headers.js'

/** The answer to a caller, with its outcome and reason as plain fields. */
export interface OutcomeAnswer extends CallerAnswer {
  readonly outcome: 'answered' | 'not-run' | 'unknown'
  /** Empty when the endpoint answered. */
  readonly reason: string
}

const defaultRetryAfterMilliseconds = 1_000
// Retry-After values are spread up to this multiple of the advised time, so that callers refused together do not retry together.
const retrySpread = 3
const millisecondsPerSecond = 1_000

// Errors of the request itself, which a retry would not change. Any other refusal has status 503.
const statusByReason: ReadonlyMap<string, number> = new Map([
  ['no_rule', 404],
  ['bad_path', 400],
  ['key_missing', 400],
  ['key_ambiguous', 400],
  ['invalid_deadline', 400],
  ['invalid_idempotency_key', 400],
  ['idempotency_key_reused', 400],
  ['bad_request', 400],
  ['request_timeout', 408],
  ['header_too_large', 431],
  ['body_too_large', 413],
  ['request_too_large', 413]
])

/** Creates the answer to a request that did not run. */
export function refusal (reason: string, random: Random, retryAfterMilliseconds = defaultRetryAfterMilliseconds): OutcomeAnswer {
  return ownAnswer(statusByReason.get(reason) ?? 503, 'not-run', reason, random, retryAfterMilliseconds)
}

/** Creates the answer to a request that may have run. */
export function unknownOutcome (reason: string, random: Random, retryAfterMilliseconds = defaultRetryAfterMilliseconds): OutcomeAnswer {
  return ownAnswer(504, 'unknown', reason, random, retryAfterMilliseconds)
}

/**
 * Converts the answer of a coordinator to the answer for the caller. One without a length ends the caller's connection if
 * `mayEndConnection` says so; otherwise its outcome is not known.
 */
export function callerAnswer (answer: Answer, method: string, random: Random, mayEndConnection: () => boolean): OutcomeAnswer {
  const retryAfter = answer.retryAfterMilliseconds > 0 ? answer.retryAfterMilliseconds : defaultRetryAfterMilliseconds
  if (answer.outcome === Outcome.OUTCOME_NOT_RUN) return refusal(answer.reason, random, retryAfter)
  if (answer.outcome === Outcome.OUTCOME_UNKNOWN) return unknownOutcome(answer.reason, random, retryAfter)
  if (answer.status < 200 || answer.status > 999) return unknownOutcome('invalid_status', random, retryAfter)
  const endsWithConnection = answer.reason === lengthUnknown
  if (endsWithConnection && !mayEndConnection()) return unknownOutcome(lengthUnknown, random, retryAfter)
  return {
    status: answer.status,
    outcome: 'answered',
    reason: '',
    endsWithConnection,
    headers: [...callerHeaders(answer.headers), ...(endsWithConnection ? [] : lengthHeader(answer, method)), { name: 'Briarsaddle-Outcome', value: 'answered' }],
    body: answer.body
  }
}

function lengthHeader (answer: Answer, method: string): Header[] {
  if (answer.status === 204) return []
  const bodyless = method === 'HEAD' || answer.status === 304
  const length = bodyless ? headerValue(answer.headers, 'content-length') : String(answer.body.length)
  return length === undefined ? [] : [{ name: 'Content-Length', value: length }]
}

function ownAnswer (status: number, outcome: 'not-run' | 'unknown', reason: string, random: Random, retryAfterMilliseconds: number): OutcomeAnswer {
  const body = Buffer.from(JSON.stringify({ outcome, reason }))
  const headers = [
    { name: 'Content-Type', value: 'application/json' },
    { name: 'Content-Length', value: String(body.length) },
    { name: 'Briarsaddle-Outcome', value: outcome },
    { name: 'Briarsaddle-Reason', value: reason === '' ? 'unspecified' : reason }
  ]
  if (status >= 500) headers.push({ name: 'Retry-After', value: String(retryAfterSeconds(retryAfterMilliseconds, random)) })
  return { status, outcome, reason, headers, body }
}

function retryAfterSeconds (milliseconds: number, random: Random): number {
  const shortest = Math.max(1, Math.ceil(milliseconds / millisecondsPerSecond))
  return random.integer(shortest, shortest * retrySpread)
}
