import type { IncomingHttpHeaders } from 'node:http'
import { z } from 'zod'

const offset = z.number().int().nonnegative()

/** Token of a coordinator; tokens are ordered as pairs. */
export const coordinatorTokenSchema = z.object({ offset, provisional: offset }).readonly()
/** Token of a coordinator; tokens are ordered as pairs. */
export type CoordinatorToken = z.infer<typeof coordinatorTokenSchema>

/** Body of `POST /.grants/hello`. */
export const helloSchema = z.object({ coordinator: z.string().min(1), token: coordinatorTokenSchema }).readonly()
/** Body of `POST /.grants/hello`. */
export type Hello = z.infer<typeof helloSchema>

/**
 * Body of `POST /.grants/renew`; `validUntil` is in the endpoint's clock.
 * Without `buckets` the list with the number `list`, accepted before under the same token, is renewed.
 */
export const renewSchema = z.object({
  instance: z.string(),
  coordinator: z.string().min(1),
  token: coordinatorTokenSchema,
  list: offset,
  buckets: z.array(z.object({ bucket: offset, token: offset }).readonly()).readonly().optional(),
  validUntil: z.number()
}).readonly()
/** Body of `POST /.grants/renew`; `validUntil` is in the endpoint's clock. */
export type Renew = z.infer<typeof renewSchema>

/** What the headers of a request say about its grant. */
export interface RequestGrant {
  /** Unique id given by the coordinator. */
  readonly request: string | undefined
  readonly key: string | undefined
  readonly testRequest: string | undefined
  readonly instance: string | undefined
  readonly coordinator: string | undefined
  readonly token: CoordinatorToken | undefined
  readonly bucket: number | undefined
  readonly bucketToken: number | undefined
  /** In the endpoint's clock. */
  readonly deadline: number | undefined
}

/** Why an endpoint did not run a request; sent in the header `Briarsaddle-Not-Run`. */
export type NotRunReason = 'shed' | 'wrong-instance' | 'stale-coordinator' | 'no-right' | 'not-granted' | 'deadline-past' | 'effect-refused' | 'list-unknown' | 'invalid-request'

/** Compares tokens as pairs: negative when `left` is lower. */
export function compareTokens (left: CoordinatorToken, right: CoordinatorToken): number {
  return left.offset - right.offset || left.provisional - right.provisional
}

/** Reads the grant headers of a request. A malformed value counts as absent and therefore matches no grant. */
export function readRequestGrant (headers: IncomingHttpHeaders): RequestGrant {
  const text = (name: string): string | undefined => {
    const value = headers[name]
    return typeof value === 'string' && value !== '' ? value : undefined
  }
  return {
    request: text('briarsaddle-request'),
    key: text('briarsaddle-key'),
    testRequest: text('x-test-request'),
    instance: text('briarsaddle-instance'),
    coordinator: text('briarsaddle-coordinator'),
    token: parseToken(text('briarsaddle-token')),
    // A bucket that is present but malformed must not count as absent, or it would escape the check.
    bucket: text('briarsaddle-bucket') === undefined ? undefined : parseOffset(text('briarsaddle-bucket')) ?? -1,
    bucketToken: parseOffset(text('briarsaddle-bucket-token')),
    deadline: parseNumber(text('briarsaddle-deadline'))
  }
}

function parseToken (text: string | undefined): CoordinatorToken | undefined {
  const match = /^(\d+)\.(\d+)$/.exec(text ?? '')
  return match === null ? undefined : { offset: Number(match[1]), provisional: Number(match[2]) }
}

function parseOffset (text: string | undefined): number | undefined {
  return text !== undefined && /^\d+$/.test(text) ? Number(text) : undefined
}

function parseNumber (text: string | undefined): number | undefined {
  const value = Number(text)
  return text === undefined || !Number.isFinite(value) ? undefined : value
}
