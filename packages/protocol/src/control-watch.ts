import { status, type ClientReadableStream, type ServerWritableStream } from '@grpc/grpc-js'
import { describeError, Logger } from '@briarsaddle/common'
import type { ControlUpdate, VmRecord, WatchControlRequest } from './generated/inner.js'

const logger = new Logger('protocol')

/** One VM that watches the control state of this VM. */
export abstract class ControlWatcher {
  /** The watching VM. */
  abstract get vm (): VmRecord
  /** Sends an update. Returns false when the watcher reads too slowly; `onWritable` then says when the next one may be sent. */
  abstract send (update: ControlUpdate): boolean
  abstract onWritable (listener: () => void): void
  abstract onClosed (listener: () => void): void
  /** Ends the stream. */
  abstract close (): void
}

/** Watcher on a gRPC stream. */
export class StreamWatcher extends ControlWatcher {
  readonly #call: ServerWritableStream<WatchControlRequest, ControlUpdate>
  readonly #vm: VmRecord

  /** Throws a TypeError when the request names no VM. */
  constructor (call: ServerWritableStream<WatchControlRequest, ControlUpdate>) {
    super()
    if (call.request.watcher === undefined) throw new TypeError('the request names no watching VM')
    this.#call = call
    this.#vm = call.request.watcher
    call.on('error', error => logger.info('stream of a watching VM failed', { peer: this.#vm.id, error: describeError(error) }))
  }

  override get vm (): VmRecord { return this.#vm }
  override send (update: ControlUpdate): boolean { return this.#call.write(update) }
  override onWritable (listener: () => void): void { this.#call.on('drain', listener) }
  override onClosed (listener: () => void): void {
    let closed = false
    const close = (): void => {
      if (closed) return
      closed = true
      listener()
    }
    this.#call.on('close', close).on('cancelled', close).on('error', close)
  }

  override close (): void { this.#call.end() }
}

/** Callbacks of a watch of another VM's control state. */
export interface ControlWatchEvents {
  readonly onUpdate: (update: ControlUpdate) => void
  /** Called once, when the stream has ended for any reason other than `close`. */
  readonly onEnded: (reason: string) => void
}

/** Client side of a watch. */
export class ControlWatch {
  readonly #call: ClientReadableStream<ControlUpdate>
  #closed = false

  constructor (call: ClientReadableStream<ControlUpdate>, { onUpdate, onEnded }: ControlWatchEvents) {
    this.#call = call
    const end = (reason: string): void => {
      if (this.#closed) return
      this.#closed = true
      onEnded(reason)
    }
    call.on('data', (update: ControlUpdate) => { if (!this.#closed) onUpdate(update) })
    call.on('end', () => end('ended by the other VM'))
    call.on('error', (error: Error & { readonly code?: status }) => end(error.code === undefined ? describeError(error) : `${status[error.code]}: ${describeError(error)}`))
  }

  /** True once the stream has ended or was closed. */
  get closed (): boolean { return this.#closed }

  /** Ends the watch. */
  close (): void {
    if (this.#closed) return
    this.#closed = true
    this.#call.cancel()
  }
}
