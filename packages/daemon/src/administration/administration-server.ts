import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka from 'polka'
import { z } from 'zod'
import { BriarsaddleError, Logger, describeError, errorCode } from '@briarsaddle/common'
import type { KeyHasher } from '@briarsaddle/ownership'
import type { ControlView } from '../contracts.js'
import { readBody } from '@briarsaddle/entry'
import { Lookup } from './lookup.js'
import type { AdministrationOperations, StateDump } from './operations.js'
import { TokenCheck } from './token.js'

const logger = new Logger('administration')

/** Settings and dependencies of the administration server. */
export interface AdministrationServerOptions {
  readonly host: string
  /** 0 lets the operating system choose a port. */
  readonly port: number
  /** Bearer token of operators. */
  readonly token: string
  /** Longest request body in bytes. Default 64 KiB. */
  readonly maximumBodyBytes?: number
  readonly control: ControlView
  readonly hasher: KeyHasher
  readonly dump: StateDump
  readonly operations: AdministrationOperations
  /** True while the VM serves callers. */
  readonly isServing: () => boolean
}

const defaultMaximumBodyBytes = 64 * 1024
const maximumConnections = 100
const requestMilliseconds = 10_000
const connectionCheckMilliseconds = 1_000

const name = z.string().min(1).max(256)
const ownerQuerySchema = z.object({ pool: name, key: z.string().min(1).max(4096) })
const matchQuerySchema = z.object({ method: name, path: z.string().startsWith('/').max(8192) })
const drainSchema = z.strictObject({ endpoint: name, author: name })
const releaseSchema = z.strictObject({ lost: z.array(name).min(1).max(100), author: name })

const statusByCode: ReadonlyMap<string, number> = new Map([
  ['invalid_request', 400],
  ['unauthorized', 401],
  ['not_found', 404],
  ['unknown_pool', 404],
  ['unknown_endpoint', 404],
  ['unknown_witness', 404],
  ['conflict', 409],
  ['body_too_large', 413],
  ['log_unavailable', 503],
  ['log_unknown', 504]
])

type Answer = () => Promise<unknown>

/** HTTP server for operators. Every route except the health check requires the bearer token. */
export class AdministrationServer {
  readonly #options: AdministrationServerOptions
  readonly #token: TokenCheck
  readonly #lookup: Lookup
  readonly #server: Server

  constructor (options: AdministrationServerOptions) {
    this.#options = options
    this.#token = new TokenCheck(options.token)
    this.#lookup = new Lookup(options.control, options.hasher)
    this.#server = createServer({ requestTimeout: requestMilliseconds, headersTimeout: requestMilliseconds, connectionsCheckingInterval: connectionCheckMilliseconds })
    this.#server.maxConnections = maximumConnections
    this.#createRoutes()
  }

  /** Starts to listen and resolves to the port. Throws `listen_failed`. */
  async listen (): Promise<number> {
    const { host, port } = this.#options
    return await new Promise((resolve, reject) => {
      this.#server.once('error', error => reject(new BriarsaddleError(`cannot listen for operators on ${host}:${port}: ${error.message}`, {
        code: 'listen_failed', step: 'listen for operators', cause: error
      })))
      this.#server.listen(port, host, () => resolve((this.#server.address() as AddressInfo).port))
    })
  }

  /** Stops listening and closes all connections. */
  async close (): Promise<void> {
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    this.#server.closeAllConnections()
    await closed
  }

  #createRoutes (): void {
    const { dump, operations } = this.#options
    const application = polka({
      server: this.#server,
      onNoMatch: async (request, response) => await this.#withToken(request, response, async () => { throw requestError('not_found', 'there is no such route') })
    })
    application.get('/healthz', (_request, response) => this.#health(response))
    application.get('/state', async (request, response) => await this.#withToken(request, response, async () => await dump.dump()))
    application.get('/rules', async (request, response) => await this.#withToken(request, response, async () => this.#lookup.rules()))
    application.get('/owner', async (request, response) => await this.#withToken(request, response, async () => {
      const { pool, key } = parse(ownerQuerySchema, queryOf(request))
      return this.#lookup.owner(pool, key)
    }))
    application.get('/match', async (request, response) => await this.#withToken(request, response, async () => {
      const { method, path } = parse(matchQuerySchema, queryOf(request))
      return this.#lookup.match(method, path)
    }))
    application.post('/drain', async (request, response) => await this.#withToken(request, response, async () => {
      const { endpoint, author } = parse(drainSchema, await this.#readJson(request))
      return await operations.drain(endpoint, author)
    }))
    application.post('/witnesses/release', async (request, response) => await this.#withToken(request, response, async () => {
      const { lost, author } = parse(releaseSchema, await this.#readJson(request))
      return await operations.releaseWitnesses(lost, author)
    }))
    const handler = application.handler as unknown as (request: IncomingMessage, response: ServerResponse) => void
    this.#server.on('request', handler)
  }

  #health (response: ServerResponse): void {
    const serving = this.#options.isServing()
    send(response, serving ? 200 : 503, { serving })
  }

  async #withToken (request: IncomingMessage, response: ServerResponse, answer: Answer): Promise<void> {
    try {
      if (!this.#token.allows(request.headers.authorization)) throw requestError('unauthorized', 'a bearer token is required')
      send(response, 200, await answer())
    } catch (error) {
      sendError(response, error)
    }
  }

  async #readJson (request: IncomingMessage): Promise<unknown> {
    const result = await readBody(request, this.#options.maximumBodyBytes ?? defaultMaximumBodyBytes)
    if (result.kind === 'too_large') throw requestError('body_too_large', 'the body is too large')
    if (result.kind === 'aborted') throw requestError('invalid_request', 'the body is incomplete')
    try {
      return JSON.parse(result.body.toString('utf8'))
    } catch (error) {
      throw requestError('invalid_request', `the body is not JSON: ${describeError(error)}`)
    }
  }
}

function queryOf (request: IncomingMessage): Record<string, string> {
  return Object.fromEntries(new URL(request.url ?? '/', 'http://localhost').searchParams)
}

function parse<Output> (schema: z.ZodType<Output>, value: unknown): Output {
  const result = schema.safeParse(value)
  if (result.success) return result.data
  const issue = result.error.issues[0]
  const path = issue?.path.join('.') ?? ''
  const message = issue?.message ?? 'the request is invalid'
  throw requestError('invalid_request', path === '' ? message : `${path}: ${message}`, path)
}

function requestError (code: string, message: string, path?: string): BriarsaddleError {
  return new BriarsaddleError(message, { code, step: 'read administration request', ...(path === undefined ? {} : { path }) })
}

function sendError (response: ServerResponse, error: unknown): void {
  const status = statusByCode.get(errorCode(error))
  if (status === undefined) logger.error('administration request failed', { error: describeError(error) })
  const data = error instanceof BriarsaddleError ? error.toData() : { code: 'internal_error', step: 'answer administration request', message: 'internal error' }
  if (status === 401) response.setHeader('WWW-Authenticate', 'Bearer')
  // The unread rest of a request body is discarded with the connection.
  if (!response.req.complete) response.setHeader('Connection', 'close')
  send(response, status ?? 500, { error: data })
}

function send (response: ServerResponse, status: number, data: unknown): void {
  const body = Buffer.from(JSON.stringify(data ?? null))
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': body.length, 'Cache-Control': 'no-store' })
  response.end(body)
}
