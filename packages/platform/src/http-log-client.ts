import { z } from 'zod'
import { BriarsaddleError, delay, describeError, MonotonicClock } from '@briarsaddle/common'
import { AppendRateLimit } from './append-rate-limit.js'
import { HttpChannel, parseAnswer, type HttpAnswer, type HttpFailure } from './http-channel.js'
import { LogClient, type LogPage, type ReadOptions } from './log-client.js'
import { LogForgottenError } from './log-forgotten-error.js'

const offset = z.number().int().nonnegative()
const appendAnswerSchema = z.object({ offset })
const forgottenAnswerSchema = z.object({ first: offset })
const pageSchema = z.object({
  first: offset,
  next: offset,
  records: z.array(z.object({ offset, body: z.string() }).readonly()).readonly()
}).readonly()

/** Options of an HTTP log client; times in milliseconds. */
export interface HttpLogClientOptions {
  /** Address of the log service, for example `http://127.0.0.1:7000`. */
  readonly origin: string
  readonly stream: string
  /** Limit of the time for an append, including the wait for the rate limit. Default 2000. */
  readonly appendTimeoutMilliseconds?: number
  /** Limit of the time for a read, in addition to its `waitMilliseconds`. Default 1000. */
  readonly readTimeoutMilliseconds?: number
  /** Limit of the time to open a connection. Default 500. */
  readonly connectTimeoutMilliseconds?: number
  /** Idle connections are closed after this time. Default 4000. */
  readonly keepAliveMilliseconds?: number
  /** Maximum number of connections for appends. Default 4. */
  readonly appendConnections?: number
  /** Maximum number of connections for reads; a waiting read occupies a connection. Default 8. */
  readonly readConnections?: number
  /** Maximum size of the body of an answer, in bytes. Default 64 MiB. */
  readonly maximumAnswerBytes?: number
  /** Rate limit to share between the clients of this VM. Default: a separate limit of 50 records per second with bursts of 100. */
  readonly appendRateLimit?: AppendRateLimit
}

const defaults = {
  appendTimeoutMilliseconds: 2000,
  readTimeoutMilliseconds: 1000,
  connectTimeoutMilliseconds: 500,
  keepAliveMilliseconds: 4000,
  appendConnections: 4,
  readConnections: 8,
  maximumAnswerBytes: 64 * 1024 * 1024
}

const statusCreated = 201
const statusGone = 410

/**
 * Client of the log service over HTTP. Appends and reads use separate connections, so that neither blocks the other.
 * A failure of an append or read also replaces the connections of the other kind, because the same network fault may have
 * broken them.
 */
export class HttpLogClient extends LogClient {
  readonly #options: HttpLogClientOptions & typeof defaults
  readonly #path: string
  readonly #appends: HttpChannel
  readonly #reads: HttpChannel
  readonly #rateLimit: AppendRateLimit

  constructor (options: HttpLogClientOptions) {
    super()
    this.#options = { ...defaults, ...options }
    this.#path = `/streams/${encodeURIComponent(options.stream)}/records`
    this.#appends = new HttpChannel(options.origin, { ...this.#options, connections: this.#options.appendConnections })
    this.#reads = new HttpChannel(options.origin, { ...this.#options, connections: this.#options.readConnections })
    this.#rateLimit = options.appendRateLimit ?? new AppendRateLimit(new MonotonicClock())
  }

  async append (body: string, signal?: AbortSignal): Promise<number> {
    const wait = await this.#waitForRateLimit(signal)
    const timeoutMilliseconds = Math.max(1, this.#options.appendTimeoutMilliseconds - wait)
    const result = await this.#appends.call({ method: 'POST', path: this.#path, body, timeoutMilliseconds, signal })
    if ('failure' in result) {
      this.#reads.refresh()
      throw this.#appendFailure(result.failure)
    }
    return this.#parseAppend(result.answer)
  }

  async read (options: ReadOptions): Promise<LogPage> {
    const query = new URLSearchParams({ from: String(options.from) })
    if (options.limit !== undefined) query.set('limit', String(options.limit))
    if (options.waitMilliseconds !== undefined) query.set('waitMilliseconds', String(Math.ceil(options.waitMilliseconds)))
    const timeoutMilliseconds = this.#options.readTimeoutMilliseconds + (options.waitMilliseconds ?? 0)
    const result = await this.#reads.call({ method: 'GET', path: `${this.#path}?${query}`, timeoutMilliseconds, signal: options.signal })
    if ('failure' in result) {
      this.#appends.refresh()
      throw this.#error('log_unavailable', 'read records', `could not read the log: ${result.failure.reason}`)
    }
    return this.#parsePage(result.answer, options.from)
  }

  /** Closes all connections; calls in progress fail. */
  async close (): Promise<void> {
    await Promise.all([this.#appends.close(), this.#reads.close()])
  }

  /** Waits until the rate limit allows an append. Returns the wait in milliseconds. */
  async #waitForRateLimit (signal: AbortSignal | undefined): Promise<number> {
    const wait = this.#rateLimit.reserve(this.#options.appendTimeoutMilliseconds / 2)
    if (wait === undefined) throw this.#error('log_unavailable', 'append record', 'this VM exceeds its append rate limit')
    if (wait > 0) await delay(wait, signal)
    if (signal?.aborted === true) throw this.#error('log_unavailable', 'append record', 'the append was cancelled before it was written')
    return wait
  }

  #appendFailure ({ mayHaveBeenWritten, reason }: HttpFailure): Error {
    return mayHaveBeenWritten
      ? this.#error('log_unknown', 'append record', `the answer to an append was lost: ${reason}`)
      : this.#error('log_unavailable', 'append record', `could not reach the log: ${reason}`)
  }

  #parseAppend (answer: HttpAnswer): number {
    if (answer.status === statusCreated) return this.#parseOffset(answer)
    // A client error, including 429, means that the record was refused. Any other status, and 408, may come from a gateway after the write.
    const refused = answer.status >= 400 && answer.status < 500 && answer.status !== 408
    throw this.#error(refused ? 'log_unavailable' : 'log_unknown', 'append record', `the log service answered an append with status ${answer.status}`)
  }

  #parseOffset (answer: HttpAnswer): number {
    try {
      return parseAnswer(appendAnswerSchema, answer, 'append record', this.#options.origin).offset
    } catch (error) {
      throw this.#error('log_unknown', 'append record', describeError(error))
    }
  }

  #parsePage (answer: HttpAnswer, from: number): LogPage {
    const step = 'read records'
    const peer = this.#options.origin
    try {
      if (answer.status === 200) return parseAnswer(pageSchema, answer, step, peer)
      if (answer.status === statusGone) {
        const { first } = parseAnswer(forgottenAnswerSchema, answer, step, peer)
        throw new LogForgottenError(`offset ${from} of stream ${this.#options.stream} is no longer retained; the oldest is ${first}`, { step, peer, first })
      }
    } catch (error) {
      if (error instanceof LogForgottenError) throw error
      throw this.#error('log_unavailable', step, describeError(error))
    }
    throw this.#error('log_unavailable', step, `the log service answered a read with status ${answer.status}`)
  }

  #error (code: 'log_unavailable' | 'log_unknown', step: string, message: string): BriarsaddleError {
    return new BriarsaddleError(message, { code, step, peer: this.#options.origin })
  }
}
