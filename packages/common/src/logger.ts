import createDebug from 'debug'

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Level of a log line. The level is the last part of the namespace, so `DEBUG=briarsaddle:*:error` selects errors only. */
export type LogLevel = 'debug' | 'info' | 'warning' | 'error'

/** Receives log lines instead of `debug`, for example to write them as JSON. */
export abstract class LogSink {
  abstract write (component: string, level: LogLevel, message: string, fields: LogFields): void
}

let sink: LogSink | undefined

/** Sends the lines of all loggers to the sink, or to `debug` again if it is undefined. */
export function setLogSink (newSink: LogSink | undefined): void {
  sink = newSink
}

/** Writes structured log lines: a namespace with the level, a message and `key=value` fields. */
export class Logger {
  readonly #writers: Readonly<Record<LogLevel, createDebug.Debugger>>

  readonly #component: string

  constructor (component: string) {
    this.#component = component
    const writer = (level: LogLevel): createDebug.Debugger => createDebug(`briarsaddle:${component}:${level}`)
    this.#writers = { debug: writer('debug'), info: writer('info'), warning: writer('warning'), error: writer('error') }
  }

  debug (message: string, fields?: LogFields): void { this.#write('debug', message, fields) }
  info (message: string, fields?: LogFields): void { this.#write('info', message, fields) }
  warning (message: string, fields?: LogFields): void { this.#write('warning', message, fields) }
  error (message: string, fields?: LogFields): void { this.#write('error', message, fields) }

  #write (level: LogLevel, message: string, fields: LogFields = {}): void {
    if (sink !== undefined) return sink.write(this.#component, level, message, fields)
    const writer = this.#writers[level]
    if (writer.enabled) writer('%s', formatLine(message, fields))
  }
}

/** Formats a log line. Values that are empty or contain white space, quotes or equals signs are written as JSON strings. */
export function formatLine (message: string, fields: LogFields): string {
  const parts = [`message=${JSON.stringify(message)}`]
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined) continue
    const text = String(value)
    parts.push(`${key}=${/[\s"=]/.test(text) || text === '' ? JSON.stringify(text) : text}`)
  }
  return parts.join(' ')
}

/** Enables log namespaces, as the `DEBUG` environment variable does. */
export function enableLogs (namespaces: string): void {
  createDebug.enable(namespaces)
}
