import { BriarsaddleError, describeError, errorCode } from '@briarsaddle/common'
import type { EndpointDescription } from '@briarsaddle/ownership'
import { AnswerLimitError, BoundedClient, httpExchange, readAnswer } from '@briarsaddle/platform'
import { Pool, type Dispatcher } from 'undici'
import { z } from 'zod'

/** A coordinator's fencing token at an endpoint, ordered by offset and then by provisional number. */
export interface CoordinatorToken {
  /** Offset of the coordinator record. */
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
  /** False when `validUntil` did not advance: the renewal then only took grants away. */
  extended: z.boolean().default(true)
})

/** Answer to an offer of a coordinator token. */
export type HelloAnswer = z.infer<typeof helloAnswerSchema>
/** Answer to a renewal of grants. */
export type RenewAnswer = z.infer<typeof renewAnswerSchema>

/** A grant of one bucket. */
export interface BucketGrant {
  readonly bucket: number
  /** Offset of the assignment record. */
  readonly token: number
}

/** A renewal of all grants of an endpoint. */
export interface RenewRequest {
  readonly instance: string
  readonly coordinator: string
  readonly token: CoordinatorToken
  /** Number of the list of buckets; a new list has a new number. */
  readonly list: number
  /** Left out when the endpoint has acknowledged the list before. */
  readonly buckets?: readonly BucketGrant[]
  /** In the endpoint's clock, milliseconds. */
  readonly validUntil: number
}

/** A request to be run by an endpoint. */
export interface EndpointRequest {
  readonly method: string
  readonly target: string
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
  /** Ends the request, also while its answer is read; the only limit of its time. */
  readonly signal: AbortSignal
  /** Asked when a connection is ready, just before the write. */
  readonly mayWrite: () => boolean
}

/** What an endpoint answered. */
export interface EndpointAnswer {
  readonly status: number
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
}

/** Limits of the connections to one endpoint. */
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

/** A request may wait for a connection while the process is paused, so its right is looked at again before the write. */
class CheckedPool extends Pool {
  override dispatch (options: Dispatcher.DispatchOptions & Partial<Pick<EndpointRequest, 'mayWrite'>>, handler: Dispatcher.DispatchHandler): boolean {
    const { mayWrite } = options
    const connect = handler.onConnect?.bind(handler)
    if (mayWrite === undefined || connect === undefined) return super.dispatch(options, handler)
    handler.onConnect = abort => {
      if (mayWrite()) connect(abort)
      else abort(new BriarsaddleError('the right to send expired before the write', { code: writeDenied, step: 'send request', peer: String(options.origin) }))
    }
    return super.dispatch(options, handler)
  }
}

/** True when the error shows that no byte of the request was written. */
export function failedBeforeWrite (error: unknown): boolean {
  return errorCodesBeforeWrite.has(errorCode(error)) || (error instanceof Error && errorCodesBeforeWrite.has(errorCode(error.cause)))
}

/** HTTP client of one endpoint. Control calls and requests use separate connections, so that a long job delays no renewal. */
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
      // undici's timers beyond 1 s may fire up to 0.5 s early, which cut off requests before their deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
      signal: request.signal,
      mayWrite: request.mayWrite
    }
    const { status, rawHeaders, body } = await readAnswer(this.#requests, options)
    return { status, headers: pairs(rawHeaders), body }
  }

  /**
   * Replaces the connections. A request on an old connection is not cut off.
   * Used when a connection has gone silent, since others opened at the same time may have too.
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
      // An endpoint that has just started takes no offer yet: rights from before its start may still run.
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
