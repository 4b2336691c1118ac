import { randomInt, randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { z } from 'zod'
import { delay, MonotonicClock, Random } from '@briarsaddle/common'
import { EndpointClock } from './endpoint-clock.js'
import { helloSchema, readRequestGrant, renewSchema, type Hello, type NotRunReason, type Renew } from './endpoint-protocol.js'
import { EndpointRecord, type RecordedRequest, type RequestResult } from './endpoint-record.js'
import { GrantTable, type RunningRight } from './grant-table.js'
import { HttpStandIn, readJson, readText, sendJson } from './http-stand-in.js'

/** Settings of the endpoint stand-in; times in milliseconds. */
export interface EndpointOptions {
  readonly id: string
  readonly pool: string
  readonly dataCentre: string
  readonly slots: number
  /** Whether the endpoint checks tokens and grants. */
  readonly checks: boolean
  /** Time after the start during which every request is shed. */
  readonly coldStartMilliseconds: number
  /**
   * Time after the start during which no offer is taken. A new process has forgotten higher tokens, so grants could
   * come from a former coordinator whose lease from before the start still runs.
   */
  readonly offerDelayMilliseconds: number
  readonly serviceMilliseconds: number
  /** Service time of requests whose first path segment is `long`. */
  readonly longServiceMilliseconds: number
  readonly maximumConnections: number
  /** Seed of failures and of the clock's zero point. */
  readonly seed: number
}

/** Default settings of the endpoint stand-in. */
export const endpointDefaults: Omit<EndpointOptions, 'seed'> = {
  id: 'endpoint',
  pool: 'pool',
  dataCentre: 'data-centre-1',
  slots: 2,
  checks: true,
  coldStartMilliseconds: 0,
  offerDelayMilliseconds: 0,
  serviceMilliseconds: 5,
  longServiceMilliseconds: 1000,
  maximumConnections: 100
}

const controlSchema = z.strictObject({
  drain: z.boolean().optional(),
  /** Stops the whole process for this time, as a paused VM does. */
  freezeMilliseconds: z.number().nonnegative().optional(),
  /** Sheds every request for this time from now on, as during a cold start. */
  shedMilliseconds: z.number().nonnegative().optional(),
  serviceMilliseconds: z.number().nonnegative().optional(),
  longServiceMilliseconds: z.number().nonnegative().optional(),
  /** Multiplies every service time, also those that requests ask for. */
  serviceFactor: z.number().positive().optional(),
  /** Share of requests that end with 500 and no effect. */
  failRate: z.number().min(0).max(1).optional(),
  /** Load to report instead of the true one; null reports the true one again. */
  reportedLoad: z.number().nullable().optional()
})

const maximumRequestBytes = 16 * 1024 * 1024
const maximumResponseBytes = 64 * 1024 * 1024

/** Stand-in for a server that owns keys. */
export class Endpoint extends HttpStandIn {
  /** Random for each start. */
  readonly instance = randomUUID()
  readonly #options: EndpointOptions
  readonly #clock: EndpointClock
  readonly #record: EndpointRecord
  readonly #grants: GrantTable
  readonly #random: Random
  readonly #effects = new Map<string, number>()
  #readyAt: number
  readonly #offersFrom: number
  #running = 0
  #draining = false
  #serviceMilliseconds: number
  #longServiceMilliseconds: number
  #serviceFactor = 1
  #failRate = 0
  #reportedLoad: number | null = null

  constructor (options: Partial<EndpointOptions> = {}) {
    super(async (request, response) => await this.#serve(request, response))
    this.#options = { ...endpointDefaults, seed: randomInt(2 ** 31), ...options }
    this.#random = new Random(this.#options.seed)
    this.#clock = new EndpointClock(new MonotonicClock(), this.#options.seed)
    this.#record = new EndpointRecord(this.#clock)
    this.#grants = new GrantTable({ clock: this.#clock, record: this.#record, instance: this.instance, checks: this.#options.checks })
    this.#readyAt = this.#clock.now() + this.#options.coldStartMilliseconds
    this.#offersFrom = this.#clock.now() + this.#options.offerDelayMilliseconds
    this.#serviceMilliseconds = this.#options.serviceMilliseconds
    this.#longServiceMilliseconds = this.#options.longServiceMilliseconds
    this.server.maxConnections = this.#options.maximumConnections
    this.#registerRoutes()
  }

  #registerRoutes (): void {
    this.app.post('/.grants/hello', async (request, response) => this.#hello(await readJson(request, helloSchema), response))
    this.app.post('/.grants/renew', async (request, response) => this.#renew(await readJson(request, renewSchema), response))
    this.app.get('/_record', (_request, response) => sendJson(response, 200, { ...this.#describe(), ...this.#record.toData() }))
    this.app.get('/_control', (_request, response) => sendJson(response, 200, this.#describe()))
    this.app.post('/_control', async (request, response) => {
      const body = await readJson(request, controlSchema)
      this.#applyControl(body)
      if (body.freezeMilliseconds !== undefined) response.once('finish', () => freeze(body.freezeMilliseconds as number))
      sendJson(response, 200, this.#describe())
    })
  }

  #hello (hello: Hello, response: ServerResponse): void {
    if (this.#clock.now() < this.#offersFrom) {
      sendJson(response, 503, { error: 'starting' })
      return
    }
    const refusal = this.#grants.hello(hello)
    if (refusal !== undefined) return this.#refuseControl(response, refusal)
    const { slots, checks } = this.#options
    sendJson(response, 200, {
      instance: this.instance,
      clock: this.#clock.now(),
      slots,
      checks,
      draining: this.#draining,
      ready: this.#ready,
      running: this.#running,
      granted: this.#grants.granted
    })
  }

  #renew (renew: Renew, response: ServerResponse): void {
    const result = this.#grants.renew(renew)
    if (result !== 'extended' && result !== 'overtaken') return this.#refuseControl(response, result)
    sendJson(response, 200, {
      instance: this.instance,
      clock: this.#clock.now(),
      load: this.#reportedLoad ?? this.#running / this.#options.slots,
      draining: this.#draining,
      ready: this.#ready,
      running: this.#running,
      extended: result === 'extended',
      stillHeld: this.#grants.stillHeld
    })
  }

  #refuseControl (response: ServerResponse, reason: NotRunReason): void {
    sendJson(response, 409, { error: reason, instance: this.instance, clock: this.#clock.now(), current: this.#grants.coordinator }, { 'briarsaddle-not-run': reason })
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const recorded = this.#record.start(readRequestGrant(request.headers), request.method ?? '', request.url ?? '')
    const right = this.#admit(recorded)
    if (typeof right === 'string') {
      request.resume()
      return this.#refuse(response, recorded, right)
    }
    const closed = new AbortController()
    response.once('close', () => closed.abort())
    this.#running += 1
    try {
      await this.#run(request, response, recorded, right, closed.signal)
    } catch (error) {
      this.#record.finish(recorded, closed.signal.aborted ? 'cancelled' : 'failed')
      throw error
    } finally {
      this.#running -= 1
      right.release()
    }
  }

  #admit (recorded: RecordedRequest): RunningRight | NotRunReason {
    if (!this.#ready) return 'shed'
    if (this.#deadlinePassed(recorded)) return 'deadline-past'
    // Slots are checked first, because an admission must be released.
    if (this.#running >= this.#options.slots) return 'shed'
    return this.#grants.admit(recorded)
  }

  async #run (request: IncomingMessage, response: ServerResponse, recorded: RecordedRequest, right: RunningRight, closed: AbortSignal): Promise<void> {
    const body = await readText(request, maximumRequestBytes)
    const serviceMilliseconds = this.#serviceTime(request) * this.#serviceFactor
    const untilDeadline = recorded.deadline === undefined ? Infinity : recorded.deadline - this.#clock.now()
    const runningMilliseconds = Math.min(serviceMilliseconds, untilDeadline)
    // A timer of 0 ms takes 1 ms in Node.
    if (runningMilliseconds > 0) await delay(runningMilliseconds, closed)
    if (closed.aborted) return this.#record.finish(recorded, 'cancelled')
    if (untilDeadline <= serviceMilliseconds || this.#deadlinePassed(recorded)) return this.#refuse(response, recorded, 'deadline-past')
    if (!right.stillValid()) return this.#refuse(response, recorded, 'effect-refused')
    if (this.#random.fraction() < this.#failRate) {
      this.#record.finish(recorded, 'failed')
      return sendJson(response, 500, { error: 'failure requested by the test' })
    }
    this.#complete(request, response, recorded, body)
  }

  #complete (request: IncomingMessage, response: ServerResponse, recorded: RecordedRequest, body: string): void {
    const key = recorded.key ?? ''
    const count = (this.#effects.get(key) ?? 0) + 1
    this.#effects.set(key, count)
    this.#record.finish(recorded, 'completed')
    // Lets a test compare the whole answer with what it sent.
    if (request.headers['x-echo-body'] !== undefined) {
      response.writeHead(200, { 'content-type': 'text/plain' }).end(body)
      return
    }
    const answer = { endpoint: this.#options.id, key, request: recorded.request, testRequest: recorded.testRequest, count }
    const missing = Math.min(maximumResponseBytes, Number(request.headers['x-response-bytes']) || 0) - JSON.stringify({ ...answer, padding: '' }).length
    sendJson(response, 200, missing > 0 ? { ...answer, padding: '.'.repeat(missing) } : answer)
  }

  #refuse (response: ServerResponse, recorded: RecordedRequest, reason: NotRunReason): void {
    this.#record.finish(recorded, `refused:${reason}` satisfies RequestResult)
    sendJson(response, reason === 'shed' ? 503 : 409, { error: reason, endpoint: this.#options.id }, { 'briarsaddle-not-run': reason })
  }

  #serviceTime (request: IncomingMessage): number {
    const requested = Number(request.headers['x-service-milliseconds'] ?? NaN)
    if (Number.isFinite(requested) && requested >= 0) return requested
    return /^\/long(\/|\?|$)/.test(request.url ?? '') ? this.#longServiceMilliseconds : this.#serviceMilliseconds
  }

  #deadlinePassed (recorded: RecordedRequest): boolean {
    return recorded.deadline !== undefined && recorded.deadline <= this.#clock.now()
  }

  get #ready (): boolean {
    return this.#clock.now() >= this.#readyAt
  }

  #applyControl (body: z.output<typeof controlSchema>): void {
    this.#draining = body.drain ?? this.#draining
    if (body.shedMilliseconds !== undefined) this.#readyAt = this.#clock.now() + body.shedMilliseconds
    this.#serviceMilliseconds = body.serviceMilliseconds ?? this.#serviceMilliseconds
    this.#longServiceMilliseconds = body.longServiceMilliseconds ?? this.#longServiceMilliseconds
    this.#serviceFactor = body.serviceFactor ?? this.#serviceFactor
    this.#failRate = body.failRate ?? this.#failRate
    if (body.reportedLoad !== undefined) this.#reportedLoad = body.reportedLoad
  }

  #describe (): Readonly<Record<string, unknown>> {
    const { id, pool, dataCentre, slots, checks } = this.#options
    return {
      endpoint: id,
      pool,
      dataCentre,
      slots,
      checks,
      instance: this.instance,
      now: this.#clock.recorded(),
      ready: this.#ready,
      draining: this.#draining,
      running: this.#running,
      coordinator: this.#grants.coordinator,
      granted: this.#grants.granted,
      stillHeld: this.#grants.stillHeld,
      serviceMilliseconds: this.#serviceMilliseconds,
      longServiceMilliseconds: this.#longServiceMilliseconds,
      serviceFactor: this.#serviceFactor,
      failRate: this.#failRate,
      reportedLoad: this.#reportedLoad
    }
  }
}

/** Blocks the event loop. Nothing else in Node does so without using the processor. */
function freeze (milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds)
}
