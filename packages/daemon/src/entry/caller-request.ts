import type { Rule } from '@briarsaddle/rules'

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

/** A request that matched a rule and whose own headers are valid. */
export interface AcceptedRequest {
  readonly request: CallerRequest
  readonly rule: Rule
  readonly key: string | undefined
  readonly idempotencyKey: string
  /** Monotonic time by which the caller gets an answer. */
  readonly deadlineAt: number
}

const deadlineHeader = 'briarsaddle-deadline-milliseconds'
const idempotencyKeyHeader = 'idempotency-key'
const idempotencyKeyPattern = /^[\x21-\x7e]{1,256}$/
const deadlinePattern = /^\d{1,9}(\.\d{1,6})?$/

/** Returns the deadline in milliseconds that the caller asked for, undefined without one, or `invalid`. */
export function requestedDeadline (headers: CallerRequest['headers']): number | undefined | 'invalid' {
  const [value, ...others] = headers[deadlineHeader] ?? []
  if (value === undefined) return undefined
  return others.length === 0 && deadlinePattern.test(value) && Number(value) > 0 ? Number(value) : 'invalid'
}

/** Returns the idempotency key, an empty string without one, or undefined when it is invalid. */
export function idempotencyKeyOf (headers: CallerRequest['headers']): string | undefined {
  const [value, ...others] = headers[idempotencyKeyHeader] ?? []
  if (value === undefined) return ''
  return others.length === 0 && idempotencyKeyPattern.test(value) ? value : undefined
}

/** Removes scheme and authority of a target in absolute form, which HTTP/1.1 servers must accept. */
export function originForm (target: string): string {
  const rest = target.replace(/^https?:\/\/[^/?#]*/i, '')
  return rest === '' || rest.startsWith('?') ? `/${rest}` : rest
}
