import { Server, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import polka from 'polka'
import { BriarsaddleError, delay, overloadedReason, processTurnQueue, Logger, describeError, errorCode, type Clock, type LoopDelay } from '@briarsaddle/common'
import type { Turn } from './answer-sequence.js'
import { hasBody, readBody } from './body.js'
import { CallerConnection } from './caller-connection.js'
import { StaleBacklog } from './stale-backlog.js'
import { UnreadAnswers } from './unread-answers.js'
import { originForm, type CallerAnswer, type CallerRequest, type CallerRequestHandler } from './request-handler.js'

const logger = new Logger('entry')

/** Settings of `EntryServer`. */
export interface EntryServerOptions {
  readonly host: string
  /** Port to listen on; 0 selects a free port. */
  readonly port: number
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  readonly maximumCallerConnections: number
  /** Maximum memory for request bodies, in bytes. Default 256 MiB. */
  readonly maximumBufferedBytes?: number
  /** Maximum memory for answers that callers have not read yet, in bytes. Default 256 MiB. */
  readonly maximumUnreadBytes?: number
  /** A connection whose caller reads nothing of an answer for this long is closed. Default 10 s. */
  readonly unreadMilliseconds?: number
  /** Timeout for receiving the headers of a request. Default 10 s. */
  readonly headersMilliseconds?: number
  /** Timeout for receiving a complete request. Default 30 s. */
  readonly requestMilliseconds?: number
  /** Idle timeout of a connection. Default 65 s, which is longer than that of common load balancers. */
  readonly keepAliveMilliseconds?: number
  readonly clock: Clock
  /** Upper bound of the time that a request may have waited in the socket before the event loop read it. */
  readonly loopDelay?: LoopDelay
}

/** Limits that can change while the server is listening. */
export interface CallerLimits {
  readonly maximumBodyBytes: number
  /** Timeout for receiving the headers of a request, in milliseconds. */
  readonly headersMilliseconds: number
  /** Idle timeout of a connection, in milliseconds. */
  readonly keepAliveMilliseconds: number
}

const defaultMaximumBufferedBytes = 256 * 1024 * 1024
const defaultMaximumUnreadBytes = 256 * 1024 * 1024
const defaultUnreadMilliseconds = 10_000
const defaultHeadersMilliseconds = 10_000
const defaultRequestMilliseconds = 30_000
const defaultKeepAliveMilliseconds = 65_000
const connectionCheckMilliseconds = 1_000
// Time to write the last answers after the grace period of a shutdown.
const lastAnswersMilliseconds = 200

/** One request whose answer is not yet finished. */
interface Exchange<Accepted> {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly connection: CallerConnection<Exchange<Accepted>>
  readonly turn: Turn
  readonly controller: AbortController
  readonly arrivedAt: number
  /** Whether it is the first request of its connection. */
  readonly isFirst: boolean
  /** Undefined until the request has been accepted. */
  accepted: Accepted | undefined
  readingBody: boolean
  /** The body exceeds the limit. The connection is closed after the refusal, even if the whole body has arrived meanwhile. */
  bodyTooLarge: boolean
  /** Reason of the refusal of a request whose body is not valid HTTP or did not arrive in time. */
  invalidReason: string | undefined
  answered: boolean
  /** Ends the count of the bytes of the answer. */
  releaseAnswer: () => void
}

/** Its `close` does not close connections: Node.js takes one for idle whose answer is ended and not yet sent. */
class ListeningServer extends Server {
  override closeIdleConnections (): void {}
}

/** HTTP/1.1 server for callers. A `CallerRequestHandler` routes the requests. */
export class EntryServer<Accepted extends object> {
  readonly #options: EntryServerOptions
  readonly #handler: CallerRequestHandler<Accepted>
  readonly #server: Server
  readonly #exchanges = new Set<Exchange<Accepted>>()
  readonly #connections = new Map<Socket, CallerConnection<Exchange<Accepted>>>()
  readonly #unread: UnreadAnswers
  readonly #backlog: StaleBacklog
  #unreadCheck: NodeJS.Timeout | undefined
  #maximumBodyBytes: number
  #bufferedBytes = 0
  #stopping: Promise<void> | undefined
  /** True once requests that have not been passed on are refused, because there may be no time to finish them. */
  #refusing = false
  #onIdle: (() => void) | undefined
  #requests = 0
  #abandonedRequests = 0
  #acceptedConnections = 0
  #refusedConnections = 0

  constructor (options: EntryServerOptions, handler: CallerRequestHandler<Accepted>) {
    this.#options = options
    this.#handler = handler
    this.#maximumBodyBytes = options.maximumBodyBytes
    const { maximumUnreadBytes = defaultMaximumUnreadBytes, unreadMilliseconds = defaultUnreadMilliseconds, clock } = options
    this.#unread = new UnreadAnswers({ maximumBytes: maximumUnreadBytes, silenceMilliseconds: unreadMilliseconds }, clock)
    this.#server = new ListeningServer({
      // Node.js would answer by itself and close the connection.
      requireHostHeader: false,
      maxHeaderSize: options.maximumHeaderBytes,
      headersTimeout: options.headersMilliseconds ?? defaultHeadersMilliseconds,
      requestTimeout: options.requestMilliseconds ?? defaultRequestMilliseconds,
      keepAliveTimeout: options.keepAliveMilliseconds ?? defaultKeepAliveMilliseconds,
      connectionsCheckingInterval: connectionCheckMilliseconds,
      noDelay: true
    })
    this.#server.maxConnections = options.maximumCallerConnections
    // With a negative limit, Node.js closes all connections as soon as it accepts them.
    this.#backlog = new StaleBacklog(clock, { setClosing: closing => { this.#server.maxConnections = closing ? -1 : options.maximumCallerConnections } })
    this.#server.on('connection', socket => this.#onConnection(socket))
    this.#server.on('drop', () => this.#onConnectionDropped())
    this.#server.on('clientError', (error, socket) => this.#onClientError(error, socket as Socket))
    // Without this listener, Node.js would close the connection at once.
    this.#server.on('connect', (_request, socket) => this.#refuseUnreadable(socket.resume() as Socket, 'bad_request'))
    const application = polka({ server: this.#server, onNoMatch: (request, response) => this.#handle(request, response) })
    // polka adds its properties to the request itself and creates `next` when it is missing.
    const onRequest = application.handler as unknown as (request: IncomingMessage, response: ServerResponse) => void
    // Without this listener, Node.js would send `100 Continue` before the request is checked.
    this.#server.on('checkContinue', onRequest)
    this.#server.on('request', onRequest)
  }

  /** Number of requests without a final answer. */
  get inFlight (): number {
    return this.#exchanges.size
  }

  /** Number of requests that were read since the start. */
  get requests (): number {
    return this.#requests
  }

  /** Number of requests whose caller disconnected before the answer since the start. */
  get abandonedRequests (): number {
    return this.#abandonedRequests
  }

  /** Number of connections that were accepted since the start. */
  get acceptedConnections (): number {
    return this.#acceptedConnections
  }

  /** Number of connections that were closed on arrival because too many were open. */
  get refusedConnections (): number {
    return this.#refusedConnections
  }

  /** Total length of the answers that callers have not read completely, in bytes. */
  get unreadBytes (): number {
    return this.#unread.bytes
  }

  /** True while the server is listening and its shutdown has not begun. */
  get serving (): boolean {
    return this.#server.listening && this.#stopping === undefined
  }

  /** Applies new limits to subsequent requests and connections. */
  setLimits ({ maximumBodyBytes, headersMilliseconds, keepAliveMilliseconds }: CallerLimits): void {
    this.#maximumBodyBytes = maximumBodyBytes
    this.#server.headersTimeout = headersMilliseconds
    this.#server.keepAliveTimeout = keepAliveMilliseconds
  }

  /** Starts to listen and returns the port. Throws `listen_failed`. */
  async listen (): Promise<number> {
    const { host, port } = this.#options
    return await new Promise((resolve, reject) => {
      this.#server.once('error', error => reject(new BriarsaddleError(`cannot listen for callers on ${host}:${port}: ${error.message}`, {
        code: 'listen_failed', step: 'listen for callers', cause: error
      })))
      this.#unreadCheck = setInterval(() => this.#unread.closeSilent(), connectionCheckMilliseconds)
      this.#server.listen(port, host, () => resolve((this.#server.address() as AddressInfo).port))
    })
  }

  /**
   * Shuts the server down. For `lameDuckMilliseconds`, `serving` is false while requests are still accepted and each connection
   * is closed after its next answer. Then no connections are accepted, further requests on open ones are refused, and requests in
   * flight have up to `graceMilliseconds` to finish. The remaining ones are aborted and get the final answer that the handler gives for an abort.
   */
  async stop (graceMilliseconds: number, lameDuckMilliseconds = 0): Promise<void> {
    this.#stopping ??= this.#stop(graceMilliseconds, lameDuckMilliseconds)
    return await this.#stopping
  }

  async #stop (graceMilliseconds: number, lameDuckMilliseconds: number): Promise<void> {
    // Closing idle connections at once would cut off requests that are already on their way.
    await delay(lameDuckMilliseconds)
    this.#refusing = true
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    for (const connection of this.#connections.values()) if (connection.exchanges.size === 0) connection.close()
    await this.#waitUntilIdle(graceMilliseconds)
    for (const exchange of this.#exchanges) exchange.controller.abort()
    await this.#waitUntilIdle(lastAnswersMilliseconds)
    clearInterval(this.#unreadCheck)
    for (const connection of this.#connections.values()) connection.close()
    await Promise.race([closed, delay(lastAnswersMilliseconds)])
    for (const socket of this.#connections.keys()) socket.destroy()
    await closed
  }

  async #waitUntilIdle (milliseconds: number): Promise<void> {
    if (this.#exchanges.size === 0) return
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, milliseconds)
      this.#onIdle = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  #onConnection (socket: Socket): void {
    this.#acceptedConnections++
    processTurnQueue.connectionAccepted()
    const connection = new CallerConnection<Exchange<Accepted>>(socket)
    this.#connections.set(socket, connection)
    socket.once('close', () => {
      this.#connections.delete(socket)
      // Node.js reports the end of the connection only to the answer that is being sent, not to those that wait behind it.
      connection.abort()
      for (const exchange of connection.exchanges) this.#remove(exchange)
    })
  }

  #remove (exchange: Exchange<Accepted>): void {
    const { connection } = exchange
    exchange.releaseAnswer()
    connection.remove(exchange)
    this.#exchanges.delete(exchange)
    if (this.#exchanges.size === 0) this.#onIdle?.()
    if (this.#refusing && connection.exchanges.size === 0) connection.close()
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const connection = this.#connections.get(request.socket)
    const turn = connection?.sequence.add()
    if (connection === undefined || turn === undefined) {
      // An earlier answer closes the connection, so this request counts as not read.
      request.resume()
      return
    }
    this.#requests++
    if (!response.shouldKeepAlive) connection.sequence.closeAfter(turn)
    const exchange: Exchange<Accepted> = {
      request,
      response,
      connection,
      turn,
      controller: new AbortController(),
      arrivedAt: this.#options.clock.now() - (this.#options.loopDelay?.milliseconds ?? 0),
      isFirst: connection.isNew,
      accepted: undefined,
      readingBody: false,
      bodyTooLarge: false,
      invalidReason: undefined,
      answered: false,
      releaseAnswer: () => {}
    }
    this.#exchanges.add(exchange)
    connection.add(exchange)
    response.on('close', () => {
      if (!response.writableFinished) exchange.controller.abort()
      if (!exchange.answered) this.#abandonedRequests++
      this.#remove(exchange)
    })
    response.on('error', () => {})
    try {
      const answer = await this.#answer(exchange)
      if (answer !== undefined) this.#write(exchange, answer)
      else if (!exchange.answered) this.#remove(exchange)
    } catch (error) {
      logger.error('unexpected error while answering a request', { step: 'answer request', error: describeError(error) })
      this.#write(exchange, this.#handler.unknownOutcome('internal_error', exchange.accepted))
    }
  }

  /** Returns the final answer, or undefined when the caller has disconnected. */
  async #answer (exchange: Exchange<Accepted>): Promise<CallerAnswer | undefined> {
    const { request, response, controller } = exchange
    if (exchange.invalidReason !== undefined) return this.#handler.refusal(exchange.invalidReason)
    if (request.headers.host === undefined && request.httpVersion === '1.1') return this.#handler.refusal('bad_request')
    const accepted = this.#handler.accept(this.#toCallerRequest(exchange))
    if (isAnswer(accepted)) return accepted
    exchange.accepted = accepted
    const mayRun = await processTurnQueue.turn(this.#handler.turnOf(accepted))
    // The caller may have disconnected before the request was read; its disconnect is handled before the turn.
    if (exchange.isFirst) this.#backlog.observe(controller.signal.aborted)
    if (controller.signal.aborted) return undefined
    if (!mayRun) return this.#handler.refusal(overloadedReason, accepted)
    if (exchange.invalidReason !== undefined) return this.#handler.refusal(exchange.invalidReason)
    if (this.#refusing) return this.#handler.refusal('stopping', accepted)
    if (!hasBody(request)) return await this.#route(exchange, accepted, Buffer.alloc(0))
    const { maximumBufferedBytes = defaultMaximumBufferedBytes } = this.#options
    const maximumBodyBytes = this.#maximumBodyBytes
    // A body without a stated length reserves the maximum length.
    const reserved = Math.min(maximumBodyBytes, Number(request.headers['content-length'] ?? maximumBodyBytes))
    if (this.#bufferedBytes + reserved > maximumBufferedBytes) return this.#handler.refusal('memory_limit', accepted)
    this.#bufferedBytes += reserved
    try {
      if (request.headers.expect !== undefined && Number(request.headers['content-length'] ?? 0) <= maximumBodyBytes) response.writeContinue()
      exchange.readingBody = true
      const result = await readBody(request, maximumBodyBytes)
      exchange.readingBody = false
      exchange.bodyTooLarge = result.kind === 'too_large'
      if (result.kind !== 'body') return result.kind === 'too_large' ? this.#handler.refusal('body_too_large', accepted) : undefined
      if (controller.signal.aborted || this.#refusing) return this.#handler.refusal('stopping', accepted)
      return await this.#route(exchange, accepted, result.body)
    } finally {
      this.#bufferedBytes -= reserved
    }
  }

  /** Returns undefined when the request counts as not read, or when the caller has disconnected. */
  async #route ({ connection, turn, response, controller }: Exchange<Accepted>, accepted: Accepted, body: Buffer): Promise<CallerAnswer | undefined> {
    if (!connection.sequence.passOn(turn)) return undefined
    const answer = await this.#handler.route(accepted, body, controller.signal, () => connection.sequence.closeAfter(turn))
    return response.closed ? undefined : answer
  }

  #toCallerRequest ({ request, arrivedAt }: Exchange<Accepted>): CallerRequest {
    return {
      method: request.method ?? '',
      target: originForm(request.url ?? '/'),
      headers: request.headersDistinct as CallerRequest['headers'],
      rawHeaders: request.rawHeaders,
      // A system call, which most handlers do not need.
      get remoteAddress () { return request.socket.remoteAddress ?? 'unknown' },
      arrivedAt
    }
  }

  /** Writes the answer to a request as soon as the answers before it on its connection have been written. */
  #write (exchange: Exchange<Accepted>, answer: CallerAnswer): void {
    const { request, response, connection, turn, bodyTooLarge } = exchange
    if (exchange.answered || !connection.exchanges.has(exchange)) return
    exchange.answered = true
    if (hasBody(request) && (bodyTooLarge || !request.complete)) connection.sequence.closeAfter(turn)
    const mustStayOpen = answer.endsWithConnection === true && !connection.sequence.closeAfter(turn)
    const final = mustStayOpen ? this.#handler.unknownOutcome('length_unknown', exchange.accepted) : answer
    const bytes = final.body.length
    exchange.releaseAnswer = this.#unread.add(response, request.socket, bytes)
    connection.answer(turn, bytes, closes => this.#send(exchange, final, closes), this.#stopping !== undefined)
  }

  #send (exchange: Exchange<Accepted>, answer: CallerAnswer, closes: boolean): void {
    const { request, response } = exchange
    const headers = answer.headers.flatMap(({ name, value }) => [name, value])
    if (closes) headers.push('Connection', 'close')
    if (answer.endsWithConnection === true) response.useChunkedEncodingByDefault = false
    try {
      response.writeHead(answer.status, headers)
      response.end(answer.body)
    } catch (error) {
      logger.error('an answer could not be written', { step: 'write answer', status: answer.status, error: describeError(error) })
      if (response.headersSent) request.socket.destroy()
      else this.#send(exchange, this.#handler.unknownOutcome('internal_error', exchange.accepted), closes)
    }
    // Drops what is left of a body that is not read.
    request.resume()
  }

  #onConnectionDropped (): void {
    if (this.#backlog.discarding) return this.#backlog.discarded()
    this.#refusedConnections++
    logger.warning('connection of a caller refused: the limit of open connections is reached', { limit: this.#options.maximumCallerConnections, refused: this.#refusedConnections, inFlight: this.#exchanges.size })
  }

  /** Refuses a request that is not valid HTTP or did not arrive in time, after the answers to the requests before it. */
  #onClientError (error: Error, socket: Socket): void {
    const code = errorCode(error)
    if (code === 'ECONNRESET') socket.destroy()
    if (!socket.writable) return
    const reason = clientErrorReasons.get(code) ?? 'bad_request'
    const newest = [...this.#connections.get(socket)?.exchanges ?? []].at(-1)
    if (newest === undefined || newest.request.complete) {
      this.#refuseUnreadable(socket, reason)
      return
    }
    newest.invalidReason = reason
    if (newest.readingBody) this.#write(newest, this.#handler.refusal(reason, newest.accepted))
  }

  /** Refuses a request whose head could not be read, and closes the connection. */
  #refuseUnreadable (socket: Socket, reason: string): void {
    const connection = this.#connections.get(socket)
    const turn = connection?.sequence.add()
    if (connection === undefined || turn === undefined) return
    connection.sequence.closeAfter(turn)
    const answer = this.#handler.refusal(reason)
    const head = answer.headers.map(({ name, value }) => `${name}: ${value}\r\n`).join('')
    connection.closeAfterAnswers(`HTTP/1.1 ${answer.status} Refused\r\n${head}Connection: close\r\n\r\n${answer.body.toString()}`)
  }
}

function isAnswer (accepted: object): accepted is CallerAnswer {
  return 'status' in accepted
}

const clientErrorReasons: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', 'header_too_large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', 'request_timeout']
])
