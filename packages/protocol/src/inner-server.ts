import { Server, ServerCredentials, status, type ServerDuplexStream, type ServerWritableStream, type handleUnaryCall } from '@grpc/grpc-js'
import { BriarsaddleError, describeError } from '@briarsaddle/common'
import { StreamWatcher } from './control-watch.js'
import { InnerService, type ControlUpdate, type Frame, type InnerServer as InnerServiceImplementation, type WatchControlRequest } from './generated/inner.js'
import type { ControlHandler, FrameHandler } from './handlers.js'
import { channelOptions, defaultMaximumMessageBytes, formatAddress, type ConnectionOptions } from './options.js'
import { ServerStream } from './server-stream.js'

/** Settings of `InnerServer`. */
export interface InnerServerOptions extends ConnectionOptions {
  readonly host: string
  /** Port to listen on; 0 selects a free port. */
  readonly port: number
}

// Time to send the last frames of an HTTP/2 session before its connection is closed.
const sessionEndMilliseconds = 100

/** gRPC server for the streams and control calls of other VMs. */
export class InnerServer {
  readonly #options: InnerServerOptions
  readonly #frames: FrameHandler
  readonly #control: ControlHandler
  readonly #server: Server
  readonly #streams = new Set<ServerStream>()
  #port: number | undefined
  #stopping: Promise<void> | undefined
  #onIdle: (() => void) | undefined

  constructor (options: InnerServerOptions, frames: FrameHandler, control: ControlHandler) {
    this.#options = options
    this.#frames = frames
    this.#control = control
    this.#server = new Server(channelOptions(options))
    this.#server.addService(InnerService, this.#implementation(control))
  }

  /** Number of open Exchange streams. */
  get streams (): number {
    return this.#streams.size
  }

  /** Starts to listen and returns the port. Throws `listen_failed`. */
  async listen (): Promise<number> {
    const address = formatAddress(this.#options.host, this.#options.port)
    return await new Promise((resolve, reject) => {
      this.#server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
        if (error === null) {
          this.#port = port
          return resolve(port)
        }
        reject(new BriarsaddleError(`cannot listen on ${address}: ${error.message}`, { code: 'listen_failed', step: 'listen for peers', peer: address, cause: error }))
      })
    })
  }

  /**
   * Announces the shutdown on every stream, waits up to `graceMilliseconds` for requests in flight, then closes the server.
   * The signals of requests that still run then are aborted.
   */
  async stop (graceMilliseconds: number): Promise<void> {
    this.#stopping ??= this.#stop(graceMilliseconds)
    return await this.#stopping
  }

  async #stop (graceMilliseconds: number): Promise<void> {
    for (const stream of this.#streams) stream.goAway()
    if (this.#streams.size > 0) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, graceMilliseconds)
        this.#onIdle = () => {
          clearTimeout(timer)
          resolve()
        }
      })
    }
    // Control calls are served until here, so that a draining VM is not suspected to have failed.
    for (const stream of this.#streams) stream.abort()
    // Without channelz, grpc-js 1.14 does not track its sessions and forceShutdown leaves them open; drain closes them.
    if (this.#port !== undefined) this.#server.drain(formatAddress(this.#options.host, this.#port), sessionEndMilliseconds)
    this.#server.forceShutdown()
  }

  #exchange (call: ServerDuplexStream<Frame, Frame>): void {
    if (this.#stopping !== undefined) {
      call.emit('error', { code: status.UNAVAILABLE, details: 'the server is stopping' })
      return
    }
    const stream = new ServerStream(call, this.#frames, this.#control, this.#options.maximumMessageBytes ?? defaultMaximumMessageBytes, () => {
      this.#streams.delete(stream)
      if (this.#streams.size === 0) this.#onIdle?.()
    })
    this.#streams.add(stream)
  }

  #implementation (control: ControlHandler): InnerServiceImplementation {
    return {
      exchange: call => this.#exchange(call),
      heartbeat: unary(async request => await control.heartbeat(request)),
      confirm: unary(async request => await control.confirm(request)),
      fetchState: unary(async () => await control.fetchState()),
      fetchJournal: unary(async request => await control.fetchJournal(request)),
      fetchLoads: unary(async request => await control.fetchLoads(request)),
      fetchKeyLoads: unary(async request => await control.fetchKeyLoads(request)),
      fetchControl: unary(async request => await control.fetchControl(request)),
      watchControl: call => watchControl(control, call)
    }
  }
}

function watchControl (control: ControlHandler, call: ServerWritableStream<WatchControlRequest, ControlUpdate>): void {
  try {
    control.watchControl(new StreamWatcher(call))
  } catch (error) {
    call.emit('error', { code: status.FAILED_PRECONDITION, details: describeError(error) })
  }
}

function unary<Request, Response> (run: (request: Request) => Promise<Response>): handleUnaryCall<Request, Response> {
  return (call, callback) => {
    run(call.request).then(
      response => callback(null, response),
      (error: unknown) => callback({ code: status.FAILED_PRECONDITION, details: describeError(error) })
    )
  }
}
