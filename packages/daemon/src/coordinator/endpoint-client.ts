import { BriarsaddleError, describeError, errorCode } from '@briarsaddle/common'
import type { EndpointDescription } from '@briarsaddle/ownership'
import { AnswerLimitError, BoundedClient, httpExchange, readAnswer, statesLength } from '@briarsaddle/platform'
import { Pool, type Dispatcher } from 'undici'
import { z } from 'zod'

/** Fencing token of a coordinator. Tokens are ordered by offset, then by provisional number. */
export interface CoordinatorToken {
  /** Log offset of the coordinator's record. */
  readonly offset: number
  /** 0 for a coordinator named by the log; higher for one that took over while the log was down. */
  readonly provisional: number
}

const helloAnswerSchema = z.object({
  instance: z.string(),
  clock: z.number(),
  slots: z.number().int().positive(),
  checks: z.boolean(),
  draining: z.boolean(),
  ready: z.boolean().default(true),
  running: z.number().int().nonnegative(),
  granted: z.array(z.object({ bucket: z.number().int(), token: z.number().int() })).default([])
})

const renewAnswerSchema = z.object({
  instance: z.string(),
  clock: z.number(),
  load: z.unknown(),
  draining: z.boolean(),
  ready: z.boolean().default(true),
  running: z.number().int().nonnegative().default(0),
  stillHeld: z.array(z.number().int()).default([]),
  /** False when `validUntil` did not advance, so that the renewal only revoked grants. */
  extended: z.boolean().default(true)
})

/** Answer to an offer of a coordinator token. */
export type HelloAnswer = z.infer<typeof helloAnswerSchema>
/** Answer to a renewal of grants. */
export type RenewAnswer = z.infer<typeof renewAnswerSchema>

/** A bucket granted to an endpoint. */
export interface BucketGrant {
  readonly bucket: number
  /** Log offset of the bucket's assignment record. */
  readonly token: number
}

/** A renewal of all grants of an endpoint. */
export interface RenewRequest {
  readonly instance: string
  readonly coordinator: string
  readonly token: CoordinatorToken
  /** Number that identifies the list of buckets; a changed list has a new number. */
  readonly list: number
  /** Omitted when the endpoint has already acknowledged the list. */
  readonly buckets?: readonly BucketGrant[]
  /** Time in milliseconds of the endpoint's clock. */
  readonly validUntil: number
}

/** A request for an endpoint to run. */
export interface EndpointRequest {
  readonly method: string
  readonly target: string
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
  /** Aborts the request, also while its answer is being read. The request has no other time limit. */
  readonly signal: AbortSignal
  /** Called when a connection is ready, right before the request is written; false prevents the write. */
  readonly mayWrite: () => boolean
}

/** An endpoint's answer to a request. */
export interface EndpointAnswer {
  readonly status: number
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
  /** False when the answer ended with its connection. */
  readonly lengthKnown: boolean
}

/** Settings of the connections to one endpoint. */
export interface EndpointClientOptions {
  /** Name of this process, sent with every control call. */
  readonly coordinatorName: string
  readonly maximumConnections: number
  readonly maximumAnswerBytes: number
}

const connectTimeoutMilliseconds = 1000
const keepAliveMilliseconds = 30_000
// An answer to an offer lists up to 1,024 buckets of each pool, of about 40 bytes each.
const maximumControlAnswerBytes = 1024 * 1024
const errorCodesBeforeWrite: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Code of the error for a request that `mayWrite` denied. */
export const writeDenied = 'write_denied'

/** Calls `mayWrite` right before a request is written: the lease may have expired while the request waited for a connection and the process was paused. */
class CheckedPool extends Pool {
  override dispatch (options: Dispatcher.DispatchOptions & Partial<Pick<EndpointRequest, 'mayWrite'>>, handler: Dispatcher.DispatchHandler): boolean {
    const { mayWrite } = options
    const connect = handler.onConnect?.bind(handler)
    if (mayWrite === undefined || connect === undefined) return super.dispatch(options, handler)
    handler.onConnect = abort => {
      if (mayWrite()) connect(abort)
      else abort(new BriarsaddleError('the lease expired before the request was written', { code: writeDenied, step: 'send request', peer: String(options.origin) }))
    }
    return super.dispatch(options, handler)
  }
}

/** True when the error shows that no byte of the request was written. */
export function failedBeforeWrite (error: unknown): boolean {
  return errorCodesBeforeWrite.has(errorCode(error)) || (error instanceof Error && errorCodesBeforeWrite.has(errorCode(error.cause)))
}

/** HTTP client of one endpoint. Control calls and requests use separate connections, so that long requests do not delay renewals. */
export class EndpointClient {
  readonly #description: EndpointDescription
  readonly #options: EndpointClientOptions
  #control: Pool
  #requests: CheckedPool

  constructor (description: EndpointDescription, options: EndpointClientOptions) {
    this.#description = description
    this.#options = options
    this.#control = this.#createPool(2, maximumControlAnswerBytes)
    this.#requests = this.#createPool(options.maximumConnections, options.maximumAnswerBytes)
  }

  /** Offers a token. Throws `token_refused` when the endpoint knows a higher one, else `endpoint_unreachable`. */
  async hello (token: CoordinatorToken, timeoutMilliseconds: number): Promise<HelloAnswer> {
    return helloAnswerSchema.parse(await this.#call('hello', { coordinator: this.#options.coordinatorName, token }, timeoutMilliseconds))
  }

  /** Renews the grants. Throws `list_unknown` when the endpoint needs the buckets, `token_refused` or `endpoint_unreachable`. */
  async renew (request: RenewRequest, timeoutMilliseconds: number): Promise<RenewAnswer> {
    return renewAnswerSchema.parse(await this.#call('renew', request, timeoutMilliseconds))
  }

  /** Runs a request. Errors are those of undici, see `failedBeforeWrite`, `write_denied` and `answer_too_large`. */
  async send (request: EndpointRequest): Promise<EndpointAnswer> {
    const options: Dispatcher.DispatchOptions & Pick<EndpointRequest, 'mayWrite' | 'signal'> = {
      method: request.method as 'GET',
      path: request.target,
      headers: request.headers.flat(),
      body: request.body.length === 0 ? null : request.body,
      // undici's timers of more than 1 s may fire up to 0.5 s early, which aborted requests before their deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
      signal: request.signal,
      mayWrite: request.mayWrite
    }
    const { status, rawHeaders, body } = await readAnswer(this.#requests, options)
    return { status, headers: pairs(rawHeaders), body, lengthKnown: statesLength(request.method, status, rawHeaders) }
  }

  /**
   * Replaces all connections. Requests on the old connections continue.
   * Used when a connection no longer carries answers, because others opened at the same time may be broken too.
   */
  async reconnect (): Promise<void> {
    const former = [this.#control, this.#requests]
    this.#control = this.#createPool(2, maximumControlAnswerBytes)
    this.#requests = this.#createPool(this.#options.maximumConnections, this.#options.maximumAnswerBytes)
    await former[0]?.destroy()
    former[1]?.close().catch(() => {})
  }

  /** Replaces the connections for control calls only. */
  async reconnectControl (): Promise<void> {
    const former = this.#control
    this.#control = this.#createPool(2, maximumControlAnswerBytes)
    await former.destroy()
  }

  /** Closes all connections at once. */
  async destroy (): Promise<void> {
    await Promise.all([this.#control.destroy(), this.#requests.destroy()])
  }

  #createPool (connections: number, maximumAnswerBytes: number): CheckedPool {
    return new CheckedPool(`http://${this.#description.host}:${this.#description.port}`, {
      connections,
      pipelining: 1,
      connect: { timeout: connectTimeoutMilliseconds },
      keepAliveTimeout: keepAliveMilliseconds,
      factory: (origin, options) => new BoundedClient(origin, { ...options, maxResponseSize: maximumAnswerBytes })
    })
  }

  async #call (step: 'hello' | 'renew', body: unknown, timeoutMilliseconds: number): Promise<unknown> {
    const peer = this.#description.id
    try {
      const { status, headers, body: text } = await httpExchange(this.#control, {
        method: 'POST',
        path: `/.grants/${step}`,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        timeoutMilliseconds
      })
      if (status === 200) return JSON.parse(text)
      // An endpoint that has just started accepts no offer yet, because leases from before its start may still be valid.
      if (status === 503) throw new BriarsaddleError(`endpoint ${peer} is not ready for ${step}`, { code: 'endpoint_unreachable', step, peer })
      const code = headers['briarsaddle-not-run'] === 'list-unknown' ? 'list_unknown' : 'token_refused'
      throw new BriarsaddleError(`endpoint ${peer} refused ${step}: ${text.slice(0, 200)}`, { code, step, peer })
    } catch (error) {
      if (error instanceof BriarsaddleError && !(error instanceof AnswerLimitError)) throw error
      throw new BriarsaddleError(`endpoint ${peer} did not answer ${step}: ${describeError(error)}`, { code: 'endpoint_unreachable', step, peer })
    }
  }
}

function pairs (raw: readonly Buffer[]): ReadonlyArray<readonly [string, string]> {
  const result: Array<readonly [string, string]> = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    result.push([String(raw[index]).toLowerCase(), String(raw[index + 1])])
  }
  return result
}
