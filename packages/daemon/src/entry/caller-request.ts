import type { CallerRequest } from '@briarsaddle/entry'
import type { Rule } from '@briarsaddle/rules'

/** A request that matched a rule and whose deadline and idempotency key headers are valid. */
export interface AcceptedRequest {
  readonly request: CallerRequest
  readonly rule: Rule
  readonly key: string | undefined
  readonly idempotencyKey: string
  /** Monotonic time in milliseconds by which the caller is to get an answer. */
  readonly deadlineAt: number
}

const deadlineHeader = 'briarsaddle-deadline-milliseconds'
const idempotencyKeyHeader = 'idempotency-key'
const idempotencyKeyPattern = /^[\x21-\x7e]{1,256}$/
const deadlinePattern = /^\d{1,9}(\.\d{1,6})?$/

/** Returns the deadline in milliseconds that the caller requested, undefined without one, or `invalid`. */
export function requestedDeadline (headers: CallerRequest['headers']): number | undefined | 'invalid' {
  const [value, ...others] = headers[deadlineHeader] ?? []
  if (value === undefined) return undefined
  return others.length === 0 && deadlinePattern.test(value) && Number(value) > 0 ? Number(value) : 'invalid'
}

/** Returns the idempotency key, an empty string without one, or undefined if it is invalid. */
export function idempotencyKeyOf (headers: CallerRequest['headers']): string | undefined {
  const [value, ...others] = headers[idempotencyKeyHeader] ?? []
  if (value === undefined) return ''
  return others.length === 0 && idempotencyKeyPattern.test(value) ? value : undefined
}
