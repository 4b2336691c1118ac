import type { ServerResponse } from 'node:http'
import type { Request } from 'polka'
import { z } from 'zod'
import { delay } from '@briarsaddle/common'
import { HttpStandIn, readText, sendJson } from './http-stand-in.js'
import { LogStream } from './log-stream.js'

/** Settings of the log service stand-in. */
export interface LogServiceOptions {
  /** Most records that a stream retains. */
  readonly retainRecords: number
  /** Longest time that a record is retained. */
  readonly retainMilliseconds: number
  /** Appends beyond this rate are refused with 429. */
  readonly appendsPerSecond: number
}

/** Default settings of the log service stand-in. */
export const logServiceDefaults: LogServiceOptions = { retainRecords: 100_000, retainMilliseconds: 24 * 3600 * 1000, appendsPerSecond: 400 }

const maximumRecordBytes = 8 * 1024 * 1024
const maximumPageRecords = 1000
const maximumWaitMilliseconds = 60_000

const controlSchema = z.strictObject({
  /** While true, every stream request loses its connection without taking effect. */
  outage: z.boolean().optional(),
  /** An append takes effect after this time, even when the caller has gone; the answer to a read is sent after it. */
  delayMilliseconds: z.number().nonnegative().optional(),
  /** So many further appends take effect and lose their connection instead of being answered. */
  loseAnswers: z.number().int().nonnegative().optional(),
  /** Discards the records below this offset. */
  forgetBefore: z.number().int().nonnegative().optional(),
  /** The stream that `forgetBefore` applies to; default all. */
  stream: z.string().optional()
})

const readQuerySchema = z.object({
  from: z.coerce.number().int().nonnegative(),
  limit: z.coerce.number().int().positive().default(maximumPageRecords),
  waitMilliseconds: z.coerce.number().nonnegative().default(0)
})

/** In-memory stand-in for the platform's log service. */
export class LogService extends HttpStandIn {
  readonly #options: LogServiceOptions
  readonly #streams = new Map<string, LogStream>()
  readonly #counts = { appends: 0, reads: 0, forgotten: 0, rateLimited: 0, answersLost: 0, outageRefusals: 0 }
  #outage = false
  #delayMilliseconds = 0
  #loseAnswers = 0
  readonly #waiting = new Set<ServerResponse>()
  #rateWindow = { startedAt: 0, appends: 0 }

  constructor (options: Partial<LogServiceOptions> = {}) {
    super()
    this.#options = { ...logServiceDefaults, ...options }
    this.app.get('/_control', (_request, response) => sendJson(response, 200, this.#state()))
    this.control('/_control', controlSchema, body => this.#applyControl(body))
    this.app.post('/streams/:stream/records', async (request, response) => await this.#append(request, response))
    this.app.get('/streams/:stream/records', async (request, response) => await this.#read(request, response))
  }

  async #append (request: Request, response: ServerResponse): Promise<void> {
    if (this.#refuseInOutage(response)) return
    const body = await readText(request, maximumRecordBytes)
    if (!this.#admitAppend()) {
      this.#counts.rateLimited += 1
      return sendJson(response, 429, { error: `more than ${this.#options.appendsPerSecond} appends per second` }, { 'retry-after': '1' })
    }
    await delay(this.#delayMilliseconds)
    if (this.#refuseInOutage(response)) return
    const offset = this.#stream(request).append(body)
    this.#counts.appends += 1
    if (this.#loseAnswers > 0) {
      this.#loseAnswers -= 1
      this.#counts.answersLost += 1
      response.destroy()
      return
    }
    sendJson(response, 201, { offset })
  }

  async #read (request: Request, response: ServerResponse): Promise<void> {
    if (this.#refuseInOutage(response)) return
    const query = readQuerySchema.safeParse(request.query ?? {})
    if (!query.success) return sendJson(response, 400, { error: z.prettifyError(query.error) })
    const { from, limit, waitMilliseconds } = query.data
    const stream = this.#stream(request)
    await this.#waitForRecord(stream, from, Math.min(waitMilliseconds, maximumWaitMilliseconds), response)
    if (response.destroyed) return
    const page = stream.read(from, Math.min(limit, maximumPageRecords))
    this.#counts.reads += 1
    await delay(this.#delayMilliseconds)
    if (this.#refuseInOutage(response)) return
    if (from < page.first) {
      this.#counts.forgotten += 1
      return sendJson(response, 410, { first: page.first, next: page.next })
    }
    sendJson(response, 200, page)
  }

  async #waitForRecord (stream: LogStream, from: number, milliseconds: number, response: ServerResponse): Promise<void> {
    const closed = new AbortController()
    response.once('close', () => closed.abort())
    this.#waiting.add(response)
    await stream.waitForRecord(from, milliseconds, closed.signal)
    this.#waiting.delete(response)
  }

  #stream (request: Request): LogStream {
    const name = request.params['stream'] as string
    const existing = this.#streams.get(name)
    if (existing !== undefined) return existing
    const stream = new LogStream(this.#options)
    this.#streams.set(name, stream)
    return stream
  }

  #refuseInOutage (response: ServerResponse): boolean {
    if (!this.#outage) return false
    this.#counts.outageRefusals += 1
    response.destroy()
    return true
  }

  #admitAppend (): boolean {
    const now = performance.now()
    if (now - this.#rateWindow.startedAt >= 1000) this.#rateWindow = { startedAt: now, appends: 0 }
    if (this.#rateWindow.appends >= this.#options.appendsPerSecond) return false
    this.#rateWindow.appends += 1
    return true
  }

  #applyControl (body: z.output<typeof controlSchema>): unknown {
    if (body.outage !== undefined) this.#setOutage(body.outage)
    if (body.delayMilliseconds !== undefined) this.#delayMilliseconds = body.delayMilliseconds
    if (body.loseAnswers !== undefined) this.#loseAnswers = body.loseAnswers
    if (body.forgetBefore !== undefined) {
      for (const [name, stream] of this.#streams) {
        if (body.stream === undefined || body.stream === name) stream.forgetBefore(body.forgetBefore)
      }
    }
    return this.#state()
  }

  #setOutage (outage: boolean): void {
    this.#outage = outage
    if (!outage) return
    this.#counts.outageRefusals += this.#waiting.size
    for (const response of this.#waiting) response.destroy()
  }

  #state (): unknown {
    return {
      settings: { ...this.#options, outage: this.#outage, delayMilliseconds: this.#delayMilliseconds, loseAnswers: this.#loseAnswers },
      counts: this.#counts,
      streams: Object.fromEntries([...this.#streams].map(([name, stream]) => [name, { first: stream.first, next: stream.next }]))
    }
  }
}
