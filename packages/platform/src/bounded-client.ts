import type { Socket } from 'node:net'
import { errorCode } from '@briarsaddle/common'
import { buildConnector, Client, type Dispatcher } from 'undici'
import { AnswerLimitError } from './answer-limit-error.js'
import { WireMeter } from './wire-meter.js'

/** Options of undici's client. `maxResponseSize`, the limit of the content of an answer in bytes, is required. */
export interface BoundedClientOptions extends Client.Options {
  readonly maxResponseSize: number
}

// More than one socket read plus the longest head or trailers that WireMeter allows, so that its limit applies first. undici
// creates an error for each header beyond its own limit in the same read; with the default of 16 KiB this blocked the event
// loop for 90 to 180 ms.
const maximumHeadersBytes = 128 * 1024

/**
 * Client with one connection, which is closed as soon as an answer exceeds a size limit. Handlers must have the callbacks
 * that a `Pool` passes to its clients (`onConnect`, `onData`, `onError`) and must not pause reading.
 */
export class BoundedClient extends Client {
  readonly #meter: WireMeter
  readonly #peer: string
  readonly #maximumContentBytes: number

  constructor (origin: string | URL, options: BoundedClientOptions) {
    const peer = new URL(origin).host
    const meter = new WireMeter(peer)
    const connect = typeof options.connect === 'function' ? options.connect : buildConnector({ ...options.connect })
    let socket: Socket | undefined
    super(origin, {
      ...options,
      maxHeaderSize: maximumHeadersBytes,
      connect: (connectOptions, callback) => connect(connectOptions, (...result) => {
        socket = result[1] ?? undefined
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
    const { onConnect, onData, onError } = handler
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

  #toLimitError (error: Error): Error {
    if (errorCode(error) !== 'UND_ERR_RES_EXCEEDED_MAX_SIZE') return error
    const limit = this.#maximumContentBytes
    return new AnswerLimitError(`the content of an answer exceeds ${limit} bytes`, { step: 'read answer', peer: this.#peer, bytes: this.#meter.bytes, limit, cause: error })
  }
}
