import { LogSink, type LogFields, type LogLevel } from '@briarsaddle/common'
import { destination, pino, type Logger as PinoLogger } from 'pino'
import type { RouterMetrics } from './router-metrics.js'

// Limit on the lines of one kind per second; further lines are only counted. Logging must not cost more than the requests that it explains.
const mostLinesPerSecond = 40
// Limit on the lines about single requests, of all kinds together. At about 10 microseconds each they take less than half a percent
// of half a core.
const mostRequestLinesPerSecond = 200
// Longer texts are truncated: callers choose request ids and targets, which may be as long as their headers.
const longestText = 2_000
const secondMilliseconds = 1_000
const bufferBytes = 4_096
const flushMilliseconds = 500
// Holds some seconds of lines at the limits above; more would take memory from requests while the reader of the log hangs.
const mostWaitingBytes = 1024 * 1024
// A reader that hangs must not prevent a VM from stopping.
const closeMilliseconds = 200

/** Counters of one kind of line in the current second. */
interface LineCounters {
  readonly component: string
  readonly message: string
  readonly reason: string | undefined
  second: number
  written: number
  omitted: number
}

/** Writes log lines as JSON to standard output without blocking, and limits the rate of each kind of line. */
export class JsonLog extends LogSink {
  readonly #stream = destination({ fd: 1, sync: false, minLength: bufferBytes, maxLength: mostWaitingBytes })
  readonly #logger: PinoLogger
  readonly #rates = new Map<string, LineCounters>()
  readonly #metrics: RouterMetrics
  #requestSecond = 0
  #requestLines = 0
  readonly #timer: NodeJS.Timeout
  #unwritten = 0
  #closed = false

  constructor (vm: string, metrics: RouterMetrics) {
    super()
    this.#metrics = metrics
    // Closing the read end of the pipe must not end the process; lines that are not read are lost.
    this.#stream.on('error', () => {})
    this.#stream.on('drop', () => {
      this.#unwritten++
      metrics.logLine('dropped')
    })
    this.#logger = pino({ base: { vm } }, this.#stream)
    this.#timer = setInterval(() => this.#flush(), flushMilliseconds)
    this.#timer.unref()
  }

  override write (component: string, level: LogLevel, message: string, fields: LogFields): void {
    if (level === 'debug' || this.#closed) return
    const omitted = this.#admit(component, message, fields)
    this.#metrics.logLine(omitted === undefined ? 'omitted' : 'written')
    if (omitted === undefined) return
    const line: Record<string, unknown> = { component, ...fields, ...(omitted > 0 ? { omittedBefore: omitted } : {}) }
    for (const [name, value] of Object.entries(line)) if (typeof value === 'string' && value.length > longestText) line[name] = value.slice(0, longestText)
    if (level === 'error') this.#logger.error(line, message)
    else if (level === 'warning') this.#logger.warn(line, message)
    else this.#logger.info(line, message)
  }

  /** Writes the buffered lines, as far as they are read within `closeMilliseconds`, and closes the log. */
  async close (): Promise<void> {
    clearInterval(this.#timer)
    this.#reportOmitted(Infinity)
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, closeMilliseconds)
      this.#stream.flush(() => {
        clearTimeout(timer)
        resolve()
      })
    })
    this.#closed = true
    // Otherwise pino would write the rest at the end of the process, however long that takes.
    this.#stream.destroy()
  }

  #flush (): void {
    this.#stream.flush()
    this.#reportOmitted(currentSecond())
    if (this.#unwritten === 0) return
    const lines = this.#unwritten
    this.#unwritten = 0
    this.write('log', 'warning', 'lines were not written because standard output was not read', { lines })
  }

  /** Reports the omitted lines of kinds that have had no line since; `before` limits it to kinds last seen before that second. */
  #reportOmitted (before: number): void {
    for (const rate of this.#rates.values()) {
      if (rate.omitted === 0 || rate.second >= before) continue
      const { component, message, reason, omitted } = rate
      rate.omitted = 0
      this.write('log', 'info', 'lines were left out', { of: component, line: message, lineReason: reason, lines: omitted })
    }
  }

  /**
   * Returns how many lines of the kind were omitted before this line; undefined when this line is omitted too. Each reason is a
   * kind of its own, so that the many refusals at peak load do not hide the few lines with another cause.
   */
  #admit (component: string, message: string, { reason, request }: LogFields): number | undefined {
    const second = currentSecond()
    const kind = typeof reason === 'string' ? `${component} ${message} ${reason}` : `${component} ${message}`
    let rate = this.#rates.get(kind)
    if (rate === undefined) this.#rates.set(kind, rate = { component, message, reason: typeof reason === 'string' ? reason : undefined, second, written: 0, omitted: 0 })
    if (rate.second !== second) {
      rate.second = second
      rate.written = 0
    }
    if (rate.written >= mostLinesPerSecond || (request !== undefined && !this.#admitRequestLine(second))) {
      rate.omitted++
      return undefined
    }
    rate.written++
    const { omitted } = rate
    rate.omitted = 0
    return omitted
  }

  #admitRequestLine (second: number): boolean {
    if (this.#requestSecond !== second) {
      this.#requestSecond = second
      this.#requestLines = 0
    }
    return ++this.#requestLines <= mostRequestLinesPerSecond
  }
}

function currentSecond (): number {
  return Math.floor(performance.now() / secondMilliseconds)
}
