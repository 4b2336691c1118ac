import { errorCode, type LifeCycle } from '@briarsaddle/common'
import { Pool } from 'undici'
import { z } from 'zod'
import type { PlannedRequest } from './plan.js'

/** How one request ended, as its caller saw it. */
export interface Outcome {
  readonly outcome: 'answered' | 'not-run' | 'unknown'
  /** `Briarsaddle-Reason`, or what the tool itself saw; empty for answers. */
  readonly reason: string
  readonly status: number
  readonly retryAfter: boolean
  /** Endpoint that answered, when it is a stand-in. */
  readonly endpoint: string | undefined
}

const answerSchema = z.object({ endpoint: z.string() })
const outcomeSchema = z.enum(['answered', 'not-run', 'unknown'])
// Beyond the deadline the router must have answered; the rest is time for the answer to arrive.
const graceMilliseconds = 5_000
const largestParsedBody = 4096

// The request cannot have been written when no connection was made.
const connectErrors: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])

/** Sends planned requests to the entry addresses in turn, over a bounded number of connections. */
export class Sender {
  readonly #pools: readonly Pool[]
  #next = 0

  constructor (targets: readonly string[], connectionsPerTarget: number, lifeCycle: LifeCycle) {
    this.#pools = targets.map(target => new Pool(target, { connections: connectionsPerTarget, pipelining: 1 }))
    for (const [index, pool] of this.#pools.entries()) lifeCycle.own(`connections to ${targets[index]}`, async () => await pool.destroy())
  }

  /** Sends one request and never rejects: failures are outcomes. `id` marks the request at the endpoint. */
  async send (planned: PlannedRequest, id: string): Promise<Outcome> {
    const { kind, path, serviceMilliseconds } = planned
    const pool = this.#pools[this.#next++ % this.#pools.length] as Pool
    const headers: Record<string, string> = {
      'x-service-milliseconds': String(serviceMilliseconds),
      'x-test-request': id,
      'briarsaddle-deadline-milliseconds': String(kind.deadlineMilliseconds)
    }
    if (kind.method === 'POST') headers['content-type'] = 'application/json'
    const timeout = kind.deadlineMilliseconds + graceMilliseconds
    try {
      const response = await pool.request({ method: kind.method, path, headers, body: kind.method === 'POST' ? '{"load":true}' : null, headersTimeout: timeout, bodyTimeout: timeout })
      return readOutcome(response.statusCode, response.headers, await response.body.text())
    } catch (error) {
      const code = errorCode(error)
      return { outcome: connectErrors.has(code) ? 'not-run' : 'unknown', reason: `client:${code}`, status: 0, retryAfter: false, endpoint: undefined }
    }
  }
}

/** Reads the outcome headers; an answer without them counts as unknown, because nothing says whether the request ran. */
export function readOutcome (status: number, headers: Readonly<Record<string, string | string[] | undefined>>, body: string): Outcome {
  const stated = outcomeSchema.safeParse(headers['briarsaddle-outcome']).data
  const reason = headers['briarsaddle-reason']
  return {
    outcome: stated ?? 'unknown',
    reason: stated === 'answered' ? '' : typeof reason === 'string' ? reason : stated === undefined ? 'no_outcome_header' : 'no_reason_header',
    status,
    retryAfter: headers['retry-after'] !== undefined,
    endpoint: stated === 'answered' && body.length <= largestParsedBody ? readEndpoint(body) : undefined
  }
}

function readEndpoint (body: string): string | undefined {
  try {
    return answerSchema.safeParse(JSON.parse(body)).data?.endpoint
  } catch {
    return undefined
  }
}
