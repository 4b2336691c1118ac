import { Pool } from 'undici'
import { BriarsaddleError, describeError } from '@briarsaddle/common'
import { BoundedClient } from './bounded-client.js'
import { httpExchange } from './http-exchange.js'

/** Options of the connections to one service. */
export interface HttpChannelOptions {
  /** Maximum number of open connections. */
  readonly connections: number
  /** Limit of the time to open a connection, in milliseconds. */
  readonly connectTimeoutMilliseconds: number
  /** An idle connection is closed after this time, in milliseconds. */
  readonly keepAliveMilliseconds: number
  /** Maximum size of the body of an answer, in bytes. */
  readonly maximumAnswerBytes: number
}

/** One HTTP call. */
export interface HttpCall {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: string
  /** Limit of the time for the whole call, in milliseconds. */
  readonly timeoutMilliseconds: number
  readonly signal?: AbortSignal | undefined
}

/** A complete answer to a call. */
export interface HttpAnswer {
  readonly status: number
  readonly body: string
}

/** The failure of a call that got no complete answer. */
export interface HttpFailure {
  /** False when it is certain that no byte of the request reached the service. */
  readonly mayHaveBeenWritten: boolean
  readonly reason: string
}

/** Result of a call: an answer with any status, or a failure when there is no complete answer. */
export type HttpResult = { readonly answer: HttpAnswer } | { readonly failure: HttpFailure }

/**
 * Connections to one service. A call that fails, times out or is cancelled closes its connection. After a failure or timeout,
 * later calls use new connections, because connections that were opened at the same time may have broken together.
 */
export class HttpChannel {
  readonly #origin: string
  readonly #options: HttpChannelOptions
  #pool: Pool
  /** Previous pools that still have calls in progress. */
  readonly #retiring = new Set<Pool>()

  constructor (origin: string, options: HttpChannelOptions) {
    this.#origin = origin
    this.#options = options
    this.#pool = this.#createPool()
  }

  /** Makes one call. Never rejects; a failure is returned in the result. */
  async call (call: HttpCall): Promise<HttpResult> {
    const pool = this.#pool
    let written = false
    try {
      const headers = call.body === undefined ? {} : { 'content-type': 'application/json' }
      return { answer: await httpExchange(pool, { ...call, headers, onWrite: () => { written = true } }) }
    } catch (error) {
      if (call.signal?.aborted !== true) this.#replace(pool)
      return { failure: { mayHaveBeenWritten: written, reason: describeError(error) } }
    }
  }

  /** Makes later calls use new connections. Calls in progress keep their connections. */
  refresh (): void {
    this.#replace(this.#pool)
  }

  /** Closes all connections immediately; calls in progress fail. */
  async close (): Promise<void> {
    await Promise.all([this.#pool, ...this.#retiring].map(async pool => await pool.destroy()))
  }

  #createPool (): Pool {
    const { connections, connectTimeoutMilliseconds, keepAliveMilliseconds, maximumAnswerBytes } = this.#options
    return new Pool(this.#origin, {
      connections,
      pipelining: 1,
      connect: { timeout: connectTimeoutMilliseconds },
      keepAliveTimeout: keepAliveMilliseconds,
      keepAliveMaxTimeout: keepAliveMilliseconds,
      factory: (origin, options) => new BoundedClient(origin, { ...options, maxResponseSize: maximumAnswerBytes }),
      // The timeout of each call includes these phases.
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  #replace (failed: Pool): void {
    if (failed !== this.#pool || failed.destroyed) return
    this.#pool = this.#createPool()
    this.#retiring.add(failed)
    failed.close().catch(() => {}).finally(() => this.#retiring.delete(failed))
  }
}

/** Parses the JSON body of an answer with a schema. Throws `invalid_answer`. */
export function parseAnswer<Value> (schema: { parse: (value: unknown) => Value }, answer: HttpAnswer, step: string, peer: string): Value {
  try {
    return schema.parse(JSON.parse(answer.body))
  } catch (error) {
    throw new BriarsaddleError(`${peer} sent an invalid answer with status ${answer.status}: ${describeError(error)}`, { code: 'invalid_answer', step, peer })
  }
}
