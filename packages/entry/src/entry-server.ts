import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import polka from 'polka'
import { BriarsaddleError, delay, processTurns, Logger, describeError, errorCode, type Clock, type LoopDelay } from '@briarsaddle/common'
import { hasBody, readBody } from './body.js'
import { originForm, type CallerAnswer, type CallerRequest, type CallerRequestHandler } from './request-handler.js'

const logger = new Logger('entry')

/** Settings of the server for callers. */
export interface EntryServerOptions {
  readonly host: string
  /** 0 lets the system choose a port. */
  readonly port: number
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  readonly maximumCallerConnections: number
  /** Most bytes of request bodies in memory. Default 256 MiB. */
  readonly maximumBufferedBytes?: number
  /** Longest time to receive the headers of a request. Default 10 s. */
  readonly headersMilliseconds?: number
  /** Longest time to receive a whole request. Default 30 s. */
  readonly requestMilliseconds?: number
  /** Time that an idle connection stays open. Default 65 s, more than usual balancers keep theirs. */
  readonly keepAliveMilliseconds?: number
  readonly clock: Clock
  /** Bounds how long a request may have waited before it was read. */
  readonly loopDelay?: LoopDelay
}

/** Limits that may change while the server listens. */
export interface CallerLimits {
  readonly maximumBodyBytes: number
  /** Longest time to receive the headers of a request, in milliseconds. */
  readonly headersMilliseconds: number
  /** Time that an idle connection stays open, in milliseconds. */
  readonly keepAliveMilliseconds: number
}

const defaultMaximumBufferedBytes = 256 * 1024 * 1024
const defaultHeadersMilliseconds = 10_000
const defaultRequestMilliseconds = 30_000
const defaultKeepAliveMilliseconds = 65_000
const connectionCheckMilliseconds = 1_000
// After a refusal before the end of the body, the connection is read for this long, because closing it at once
// could reset it before the caller has seen the answer.
const lingerMilliseconds = 1_000
// Time to write the last answers after the limit of a stop.
const lastAnswersMilliseconds = 200

/** One request whose answer is not yet finished. */
interface Exchange<Accepted> {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly controller: AbortController
  readonly arrivedAt: number
  /** Undefined until the request has been accepted. */
  accepted: Accepted | undefined
  reading: boolean
  /** The body is too long; the connection ends with the refusal, whether or not all of it has arrived meanwhile. */
  bodyRefused: boolean
}

/** Accepts the requests of callers over HTTP/1.1 and answers them by a router. */
export class EntryServer<Accepted extends object> {
  readonly #options: EntryServerOptions
  readonly #handler: CallerRequestHandler<Accepted>
  readonly #server: Server
  readonly #exchanges = new Set<Exchange<Accepted>>()
  #maximumBodyBytes: number
  #bufferedBytes = 0
  #stopping: Promise<void> | undefined
  #onIdle: (() => void) | undefined
  #refusedConnections = 0

  constructor (options: EntryServerOptions, handler: CallerRequestHandler<Accepted>) {
    this.#options = options
    this.#handler = handler
    this.#maximumBodyBytes = options.maximumBodyBytes
    this.#server = createServer({
      maxHeaderSize: options.maximumHeaderBytes,
      headersTimeout: options.headersMilliseconds ?? defaultHeadersMilliseconds,
      requestTimeout: options.requestMilliseconds ?? defaultRequestMilliseconds,
      keepAliveTimeout: options.keepAliveMilliseconds ?? defaultKeepAliveMilliseconds,
      connectionsCheckingInterval: connectionCheckMilliseconds,
      noDelay: true
    })
    this.#server.maxConnections = options.maximumCallerConnections
    this.#server.on('drop', () => this.#connectionRefused())
    this.#server.on('clientError', (error, socket) => this.#clientFailed(error, socket as Socket))
    const application = polka({ server: this.#server, onNoMatch: (request, response) => this.#handle(request, response) })
    // polka completes the request object itself and creates `next` when it is missing.
    const onRequest = application.handler as unknown as (request: IncomingMessage, response: ServerResponse) => void
    // Without a listener, node sends `100 Continue` before the request has been matched.
    this.#server.on('checkContinue', onRequest)
    this.#server.on('request', onRequest)
  }

  /** Requests that have no final answer yet. */
  get inFlight (): number {
    return this.#exchanges.size
  }

  /** Connections that were closed at once because too many were open. */
  get refusedConnections (): number {
    return this.#refusedConnections
  }

  /** True until the stop begins. */
  get serving (): boolean {
    return this.#server.listening && this.#stopping === undefined
  }

  /** Applies new limits to requests and connections from now on. */
  setLimits ({ maximumBodyBytes, headersMilliseconds, keepAliveMilliseconds }: CallerLimits): void {
    this.#maximumBodyBytes = maximumBodyBytes
    this.#server.headersTimeout = headersMilliseconds
    this.#server.keepAliveTimeout = keepAliveMilliseconds
  }

  /** Starts to listen and resolves to the port. Throws `listen_failed`. */
  async listen (): Promise<number> {
    const { host, port } = this.#options
    return await new Promise((resolve, reject) => {
      this.#server.once('error', error => reject(new BriarsaddleError(`cannot listen for callers on ${host}:${port}: ${error.message}`, {
        code: 'listen_failed', step: 'listen for callers', cause: error
      })))
      this.#server.listen(port, host, () => resolve((this.#server.address() as AddressInfo).port))
    })
  }

  /**
   * Reports that the VM stops for `lameDuckMilliseconds`, in which requests are still accepted and connections end with
   * their next answer; then stops accepting connections and finishes requests in flight for up to `graceMilliseconds`.
   * What is left then gets a truthful final answer.
   */
  async stop (graceMilliseconds: number, lameDuckMilliseconds = 0): Promise<void> {
    this.#stopping ??= this.#stop(graceMilliseconds, lameDuckMilliseconds)
    return await this.#stopping
  }

  async #stop (graceMilliseconds: number, lameDuckMilliseconds: number): Promise<void> {
    // A request that is on its way on an idle connection would be cut off if the connection were closed at once.
    await delay(lameDuckMilliseconds)
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    this.#server.closeIdleConnections()
    await this.#idleWithin(graceMilliseconds)
    for (const exchange of this.#exchanges) exchange.controller.abort()
    await this.#idleWithin(lastAnswersMilliseconds)
    this.#server.closeAllConnections()
    await closed
  }

  async #idleWithin (milliseconds: number): Promise<void> {
    if (this.#exchanges.size === 0) return
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, milliseconds)
      this.#onIdle = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const exchange: Exchange<Accepted> = { request, response, controller: new AbortController(), arrivedAt: this.#options.clock.now() - (this.#options.loopDelay?.milliseconds ?? 0), accepted: undefined, reading: false, bodyRefused: false }
    this.#exchanges.add(exchange)
    const leave = (): void => exchange.controller.abort()
    request.socket.on('end', leave)
    response.on('close', () => {
      request.socket.off('end', leave)
      if (!response.writableFinished) exchange.controller.abort()
      this.#exchanges.delete(exchange)
      if (this.#exchanges.size === 0) this.#onIdle?.()
    })
    response.on('error', () => {})
    try {
      // The caller may have left while the request waited to be read.
      await processTurns.turn()
      if (exchange.controller.signal.aborted) {
        response.destroy()
        return
      }
      const answer = await this.#answer(exchange)
      if (answer !== undefined) this.#write(exchange, answer)
    } catch (error) {
      logger.error('request failed unexpectedly', { step: 'answer request', error: describeError(error) })
      if (response.headersSent) response.destroy()
      else this.#write(exchange, this.#handler.unknownOutcome('internal_error', exchange.accepted))
    }
  }

  /** Returns the final answer, or undefined when the caller is gone. */
  async #answer (exchange: Exchange<Accepted>): Promise<CallerAnswer | undefined> {
    const { request, response, controller } = exchange
    const accepted = this.#handler.accept(this.#describe(exchange))
    if (isAnswer(accepted)) return accepted
    exchange.accepted = accepted
    if (!hasBody(request)) return await this.#route(exchange, accepted, Buffer.alloc(0))
    const { maximumBufferedBytes = defaultMaximumBufferedBytes } = this.#options
    const maximumBodyBytes = this.#maximumBodyBytes
    // A body of unknown length counts as the longest one.
    const reserved = Math.min(maximumBodyBytes, Number(request.headers['content-length'] ?? maximumBodyBytes))
    if (this.#bufferedBytes + reserved > maximumBufferedBytes) return this.#handler.refusal('memory_limit', accepted)
    this.#bufferedBytes += reserved
    try {
      if (request.headers.expect !== undefined && Number(request.headers['content-length'] ?? 0) <= maximumBodyBytes) response.writeContinue()
      exchange.reading = true
      const result = await readBody(request, maximumBodyBytes)
      exchange.reading = false
      exchange.bodyRefused = result.kind === 'too_large'
      if (result.kind !== 'body') return result.kind === 'too_large' ? this.#handler.refusal('body_too_large', accepted) : undefined
      if (controller.signal.aborted) return this.#handler.refusal('stopping', accepted)
      return await this.#route(exchange, accepted, result.body)
    } finally {
      this.#bufferedBytes -= reserved
    }
  }

  async #route (exchange: Exchange<Accepted>, accepted: Accepted, body: Buffer): Promise<CallerAnswer | undefined> {
    const answer = await this.#handler.route(accepted, body, exchange.controller.signal)
    return exchange.response.closed ? undefined : answer
  }

  #describe ({ request, arrivedAt }: Exchange<Accepted>): CallerRequest {
    return {
      method: request.method ?? '',
      target: originForm(request.url ?? '/'),
      headers: request.headersDistinct as CallerRequest['headers'],
      rawHeaders: request.rawHeaders,
      remoteAddress: request.socket.remoteAddress ?? 'unknown',
      arrivedAt
    }
  }

  #write ({ request, response, bodyRefused }: Exchange<Accepted>, answer: CallerAnswer): void {
    const headers = answer.headers.flatMap(({ name, value }) => [name, value])
    const unread = hasBody(request) && (bodyRefused || !request.complete)
    if (unread || (this.#stopping !== undefined && this.#isLastOnConnection(request))) headers.push('Connection', 'close')
    if (answer.endsWithConnection === true) {
      headers.push('Connection', 'close')
      response.useChunkedEncodingByDefault = false
    }
    response.writeHead(answer.status, headers)
    if (unread) {
      response.write(answer.body)
      this.#linger(request, response)
    } else {
      response.end(answer.body)
    }
  }

  // Node drops the answers of pipelined requests that follow an answer which closes the connection.
  #isLastOnConnection (request: IncomingMessage): boolean {
    const open = [...this.#exchanges].filter(exchange => exchange.request.socket === request.socket)
    return open.at(-1)?.request === request
  }

  /** Ends the answer after the rest of the body was dropped or the time for that is over. */
  #linger (request: IncomingMessage, response: ServerResponse): void {
    const timer = setTimeout(() => response.end(), lingerMilliseconds)
    request.once('close', () => {
      clearTimeout(timer)
      response.end()
    })
    request.resume()
  }

  #connectionRefused (): void {
    this.#refusedConnections++
    logger.warning('connection of a caller refused, because too many are open', { limit: this.#options.maximumCallerConnections, refused: this.#refusedConnections, inFlight: this.#exchanges.size })
  }

  /** Answers what is not valid HTTP or did not arrive in time. */
  #clientFailed (error: Error, socket: Socket): void {
    const open = [...this.#exchanges].filter(exchange => exchange.request.socket === socket)
    // An answer written here would be taken for that of a request before it on the same connection.
    const answerable = open.length === 0 || (open.length === 1 && open[0]?.reading === true && !open[0].response.headersSent)
    if (!socket.writable || !answerable || errorCode(error) === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const answer = this.#handler.refusal(clientErrorReasons.get(errorCode(error)) ?? 'bad_request', open[0]?.accepted)
    const head = answer.headers.map(({ name, value }) => `${name}: ${value}\r\n`).join('')
    socket.end(`HTTP/1.1 ${answer.status} Refused\r\n${head}Connection: close\r\n\r\n${answer.body.toString()}`)
  }
}

function isAnswer (accepted: object): accepted is CallerAnswer {
  return 'status' in accepted
}

const clientErrorReasons: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', 'header_too_large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', 'request_timeout']
])
