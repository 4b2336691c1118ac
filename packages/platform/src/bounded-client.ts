import type { Socket } from 'node:net'
import { BriarsaddleError, errorCode } from '@briarsaddle/common'
import { buildConnector, Client, type Dispatcher } from 'undici'
import { AnswerLimitError } from './answer-limit-error.js'
import { statesLength } from './answer-length.js'
import { WireMeter } from './wire-meter.js'

/** Options of undici's client. `maxResponseSize`, the limit of the content of an answer in bytes, is required. */
export interface BoundedClientOptions extends Client.Options {
  readonly maxResponseSize: number
  /** Called when the peer has reset a connection. */
  readonly onReset?: () => void
}

// More than one socket read plus the longest head or trailers that WireMeter allows, so that its limit applies first. undici
// creates an error for each header beyond its own limit in the same read; with the default of 16 KiB this blocked the event
// loop for 90 to 180 ms.
const maximumHeadersBytes = 128 * 1024

/**
 * Client with one connection, which is closed as soon as an answer exceeds a size limit. An answer without a length fails when its
 * connection is reset: undici takes what arrived until then for the whole. Handlers must have the callbacks
 * that a `Pool` passes to its clients (`onConnect`, `onData`, `onError`) and must not pause reading.
 */
export class BoundedClient extends Client {
  readonly #meter: WireMeter
  readonly #peer: string
  readonly #maximumContentBytes: number

  #wasReset = false

  constructor (origin: string | URL, { onReset, ...options }: BoundedClientOptions) {
    const peer = new URL(origin).host
    const meter = new WireMeter(peer)
    const connect = typeof options.connect === 'function' ? options.connect : buildConnector({ ...options.connect })
    let socket: Socket | undefined
    super(origin, {
      ...options,
      maxHeaderSize: maximumHeadersBytes,
      connect: (connectOptions, callback) => connect(connectOptions, (...result) => {
        socket = result[1] ?? undefined
        if (socket !== undefined) {
          this.#wasReset = false
          watchForReset(socket, () => {
            this.#wasReset = true
            onReset?.()
          })
        }
        callback(...result)
      })
    })
    this.#meter = meter
    this.#peer = peer
    this.#maximumContentBytes = options.maxResponseSize
    this.on('connect', () => { if (socket !== undefined) meter.watch(socket) })
  }

  override dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    const meter = this.#meter
    const { onConnect, onHeaders, onData, onComplete, onError } = handler
    let endsWithConnection = false
    handler.onHeaders = (status, rawHeaders, ...rest) => {
      endsWithConnection = !statesLength(options.method, status, rawHeaders)
      return onHeaders?.call(handler, status, rawHeaders, ...rest) ?? true
    }
    handler.onComplete = trailers => {
      if (endsWithConnection && this.#wasReset) onError?.call(handler, this.#resetError())
      else onComplete?.call(handler, trailers)
    }
    handler.onConnect = abort => {
      meter.startAnswer()
      onConnect?.call(handler, abort)
    }
    handler.onData = chunk => {
      meter.addContent(chunk.length)
      return onData?.call(handler, chunk) ?? true
    }
    handler.onError = error => onError?.call(handler, this.#toLimitError(error))
    return super.dispatch(options, handler)
  }

  #resetError (): BriarsaddleError {
    return new BriarsaddleError('the connection was reset within an answer without a length', { code: 'answer_reset', step: 'read answer', peer: this.#peer })
  }

  #toLimitError (error: Error): Error {
    if (errorCode(error) !== 'UND_ERR_RES_EXCEEDED_MAX_SIZE') return error
    const limit = this.#maximumContentBytes
    return new AnswerLimitError(`the content of an answer exceeds ${limit} bytes`, { step: 'read answer', peer: this.#peer, bytes: this.#meter.bytes, limit, cause: error })
  }
}

/**
 * Calls `onReset` when the peer resets the connection, before undici learns of its end. Node.js reports a regular end, not an error, when
 * it reads the last bytes and the reset at once; the operating system then knows no peer of the socket any more.
 */
function watchForReset (socket: Socket, onReset: () => void): void {
  // Only errors of the operating system have `syscall`.
  socket.prependListener('error', (error: Error) => { if ('syscall' in error) onReset() })
  socket.prependListener('end', () => { if (socket.remoteAddress === undefined) onReset() })
}
