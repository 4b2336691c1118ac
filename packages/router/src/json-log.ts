import { LogSink, type LogFields, type LogLevel } from '@briarsaddle/common'
import { destination, pino, type Logger as PinoLogger } from 'pino'

// Lines of one kind within a second; the rest is counted. A log that costs more than the requests that it explains is of no use.
const mostLinesPerSecond = 40
const secondMilliseconds = 1_000
const bufferBytes = 4_096
const flushMilliseconds = 500
// Some seconds of lines at the bound; more would take memory from requests while the reader of the log hangs.
const mostWaitingBytes = 1024 * 1024
// A reader that hangs must not keep a stopping VM from ending.
const closeMilliseconds = 200

interface Rate {
  second: number
  written: number
  omitted: number
}

/** Writes log lines as JSON to standard output without blocking, with a bound per kind of line. */
export class JsonLog extends LogSink {
  readonly #stream = destination({ fd: 1, sync: false, minLength: bufferBytes, maxLength: mostWaitingBytes })
  readonly #logger: PinoLogger
  readonly #rates = new Map<string, Rate>()
  readonly #timer: NodeJS.Timeout
  #unwritten = 0
  #closed = false

  constructor (vm: string) {
    super()
    // A reader that has gone must not end the process; what it does not read is lost.
    this.#stream.on('error', () => {})
    this.#stream.on('drop', () => { this.#unwritten++ })
    this.#logger = pino({ base: { vm } }, this.#stream)
    this.#timer = setInterval(() => this.#flush(), flushMilliseconds)
    this.#timer.unref()
  }

  override write (component: string, level: LogLevel, message: string, fields: LogFields): void {
    if (level === 'debug' || this.#closed) return
    const omitted = this.#admit(`${component} ${message}`)
    if (omitted === undefined) return
    const line = { component, ...fields, ...(omitted > 0 ? { omittedBefore: omitted } : {}) }
    if (level === 'error') this.#logger.error(line, message)
    else if (level === 'warning') this.#logger.warn(line, message)
    else this.#logger.info(line, message)
  }

  /** Writes what is buffered, as far as it is read in time. */
  async close (): Promise<void> {
    clearInterval(this.#timer)
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
    if (this.#unwritten === 0) return
    const lines = this.#unwritten
    this.#unwritten = 0
    this.write('log', 'warning', 'lines were not written because standard output was not read', { lines })
  }

  /** Returns how many lines of the kind were left out before this one; undefined when this one is left out too. */
  #admit (kind: string): number | undefined {
    const second = Math.floor(performance.now() / secondMilliseconds)
    let rate = this.#rates.get(kind)
    if (rate === undefined) this.#rates.set(kind, rate = { second, written: 0, omitted: 0 })
    if (rate.second !== second) {
      rate.second = second
      rate.written = 0
    }
    if (rate.written >= mostLinesPerSecond) {
      rate.omitted++
      return undefined
    }
    rate.written++
    const { omitted } = rate
    rate.omitted = 0
    return omitted
  }
}
