import { LogSink, type LogFields, type LogLevel } from '@briarsaddle/common'
import { destination, pino, type Logger as PinoLogger } from 'pino'
import type { RouterMetrics } from './router-metrics.js'

// Lines of one kind within a second; the rest is counted. A log that costs more than the requests that it explains is of no use.
const mostLinesPerSecond = 40
// Lines about single requests, of all kinds together; at about 10 microseconds each they take less than half a percent of half a core.
const mostRequestLinesPerSecond = 200
// Callers choose their request ids and targets, which may be as long as their headers.
const longestText = 2_000
const secondMilliseconds = 1_000
const bufferBytes = 4_096
const flushMilliseconds = 500
// Some seconds of lines at the bound; more would take memory from requests while the reader of the log hangs.
const mostWaitingBytes = 1024 * 1024
// A reader that hangs must not keep a stopping VM from ending.
const closeMilliseconds = 200

interface Rate {
  readonly component: string
  readonly message: string
  readonly reason: string | undefined
  second: number
  written: number
  omitted: number
}

/** Writes log lines as JSON to standard output without blocking, with a bound per kind of line. */
export class JsonLog extends LogSink {
  readonly #stream = destination({ fd: 1, sync: false, minLength: bufferBytes, maxLength: mostWaitingBytes })
  readonly #logger: PinoLogger
  readonly #rates = new Map<string, Rate>()
  readonly #metrics: RouterMetrics
  #requestSecond = 0
  #requestLines = 0
  readonly #timer: NodeJS.Timeout
  #unwritten = 0
  #closed = false

  constructor (vm: string, metrics: RouterMetrics) {
    super()
    this.#metrics = metrics
    // A reader that has gone must not end the process; what it does not read is lost.
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

  /** Writes what is buffered, as far as it is read in time. */
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
    // Otherwise pino writes the rest when the process ends, however long that takes.
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

  /** Says what was left out of kinds that had no line since. */
  #reportOmitted (before: number): void {
    for (const rate of this.#rates.values()) {
      if (rate.omitted === 0 || rate.second >= before) continue
      const { component, message, reason, omitted } = rate
      rate.omitted = 0
      this.write('log', 'info', 'lines were left out', { of: component, line: message, lineReason: reason, lines: omitted })
    }
  }

  /**
   * Returns how many lines of the kind were left out before this one; undefined when this one is left out too. Each reason
   * is a kind of its own, so that the many refusals of a crest do not hide the few lines with another cause.
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
