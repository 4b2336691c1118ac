import { credentials, type ClientDuplexStream } from '@grpc/grpc-js'
import { startLoopTimeout, type Clock } from '@briarsaddle/common'
import { InnerClient, type Frame } from './generated/inner.js'
import { channelOptions, type ConnectionOptions } from './options.js'
import { WriteBuffer } from './write-buffer.js'

/** Limits and timeouts of one link. */
export interface LinkOptions extends ConnectionOptions {
  readonly connectTimeoutMilliseconds: number
  /** A link with an overdue answer is closed when nothing has arrived for this long. */
  readonly silenceMilliseconds: number
  readonly maximumWaitingFrames: number
  readonly maximumWaitingBytes: number
}

/** Callbacks for state changes of the link. */
export interface LinkEvents {
  readonly onOpen: () => void
  /** The link accepts no new requests but finishes those in flight. */
  readonly onLeaving: () => void
  readonly onClosed: () => void
}

/** One request on a link. */
export interface LinkRequest {
  /** Creates the frame at the time when it is written. */
  readonly frame: (id: number, remainingMilliseconds: number) => NonNullable<Frame['body']>
  /** Approximate size of the frame, in bytes. */
  readonly bytes: number
  readonly timeoutMilliseconds: number
  /** True when the peer should be told to cancel the request after a timeout or an abort. */
  readonly cancellable: boolean
  readonly signal?: AbortSignal
}

/** Result of a request. When `written` is false, the frame was certainly not sent. */
export type LinkReply =
  | { readonly kind: 'reply', readonly body: NonNullable<Frame['body']> }
  | { readonly kind: 'congested' | 'closed' | 'timeout' | 'aborted', readonly written: boolean }

interface PendingRequest {
  readonly id: number
  readonly request: LinkRequest
  readonly deadline: number
  written: boolean
  readonly settle: (reply: LinkReply) => void
}

// After an overdue answer, the link is closed only if no frame arrives within this time, in which a process that was paused
// itself reads the frames that wait in its socket.
const overdueConfirmationMilliseconds = 50

/** One connection to a peer with one Exchange stream. It is not reopened; its owner creates a new link instead. */
export class PeerLink {
  readonly client: InnerClient
  readonly #stream: ClientDuplexStream<Frame, Frame>
  readonly #buffer: WriteBuffer
  readonly #options: LinkOptions
  readonly #events: LinkEvents
  readonly #clock: Clock
  readonly #pending = new Map<number, PendingRequest>()
  // A set keeps the insertion order and removes an aborted request in constant time.
  readonly #waiting = new Set<PendingRequest>()
  readonly #stopConnectTimer: () => void
  #waitingBytes = 0
  #nextId = 1
  #state: 'connecting' | 'open' | 'leaving' | 'closed' = 'connecting'
  #writable = false
  #lastFrameAt: number
  #stopConfirmationTimer: (() => void) | undefined

  constructor (address: string, options: LinkOptions, clock: Clock, events: LinkEvents) {
    this.#options = options
    this.#events = events
    this.#clock = clock
    this.#lastFrameAt = clock.now()
    this.client = new InnerClient(address, credentials.createInsecure(), channelOptions(options))
    this.#stream = this.client.exchange()
    this.#buffer = new WriteBuffer(this.#stream)
    this.#stream.on('metadata', () => this.#open())
    this.#stream.on('data', (frame: Frame) => this.#receive(frame))
    this.#stream.on('drain', () => this.#drain())
    this.#stream.on('error', () => this.close())
    this.#stream.on('end', () => this.close())
    this.#stopConnectTimer = startLoopTimeout(options.connectTimeoutMilliseconds, () => this.close())
  }

  /** Number of requests whose frame waits to be written or that wait for a reply. */
  get inFlight (): number {
    return this.#pending.size
  }

  /** True while the stream is established and the link is not leaving. */
  get open (): boolean {
    return this.#state === 'open'
  }

  /** Milliseconds since anything last arrived over this connection, or since the connection attempt when nothing has. */
  get silentMilliseconds (): number {
    return this.#clock.now() - this.#lastFrameAt
  }

  /** Sends a request and waits for the reply with the same id. Never rejects. */
  async request (request: LinkRequest): Promise<LinkReply> {
    if (this.#state === 'leaving' || this.#state === 'closed') return { kind: 'closed', written: false }
    if (request.signal?.aborted === true) return { kind: 'aborted', written: false }
    const mustWait = !this.#writable
    if (mustWait && this.#isCongested(request.bytes)) return { kind: 'congested', written: false }
    return await new Promise(resolve => {
      const pending = this.#register(request, resolve)
      if (mustWait) this.#enqueue(pending)
      else this.#write(pending)
    })
  }

  /** Refuses new requests and closes when all requests in flight have ended. */
  finish (): void {
    if (this.#state === 'leaving' || this.#state === 'closed') return
    this.#state = 'leaving'
    for (const pending of [...this.#waiting]) pending.settle({ kind: 'closed', written: false })
    this.#events.onLeaving()
    this.#closeWhenIdle()
  }

  /** Closes at once. Requests in flight end as `closed`. */
  close (): void {
    if (this.#state === 'closed') return
    this.#state = 'closed'
    this.#writable = false
    this.#stopConnectTimer()
    this.#stopConfirmationTimer?.()
    for (const pending of [...this.#pending.values()]) pending.settle({ kind: 'closed', written: pending.written })
    this.#stream.cancel()
    this.client.close()
    this.#events.onClosed()
  }

  /** Records that something has arrived from the peer over this connection, on the stream or as the answer to a call. */
  noteAlive (): void {
    this.#lastFrameAt = this.#clock.now()
  }

  /** Records an overdue reply. Closes the link when nothing has arrived for `silenceMilliseconds` nor arrives shortly after. */
  noteOverdue (): void {
    if (this.#state === 'closed' || this.#stopConfirmationTimer !== undefined || !this.#isSilent()) return
    const lastFrameAt = this.#lastFrameAt
    this.#stopConfirmationTimer = startLoopTimeout(overdueConfirmationMilliseconds, () => {
      this.#stopConfirmationTimer = undefined
      if (this.#lastFrameAt === lastFrameAt) this.close()
    })
  }

  #isSilent (): boolean {
    return this.silentMilliseconds >= this.#options.silenceMilliseconds
  }

  #isCongested (bytes: number): boolean {
    return this.#waiting.size >= this.#options.maximumWaitingFrames || this.#waitingBytes + bytes > this.#options.maximumWaitingBytes
  }

  #register (request: LinkRequest, resolve: (reply: LinkReply) => void): PendingRequest {
    const id = this.#nextId++
    const onAbort = (): void => this.#abandon(pending, 'aborted')
    const timer = setTimeout(() => this.#abandon(pending, 'timeout'), Math.max(0, request.timeoutMilliseconds))
    const pending: PendingRequest = {
      id,
      request,
      deadline: this.#clock.now() + request.timeoutMilliseconds,
      written: false,
      settle: reply => {
        if (!this.#pending.delete(id)) return
        clearTimeout(timer)
        request.signal?.removeEventListener('abort', onAbort)
        if (this.#waiting.delete(pending)) this.#waitingBytes -= request.bytes
        resolve(reply)
      }
    }
    request.signal?.addEventListener('abort', onAbort, { once: true })
    this.#pending.set(id, pending)
    return pending
  }

  #enqueue (pending: PendingRequest): void {
    this.#waiting.add(pending)
    this.#waitingBytes += pending.request.bytes
  }

  #abandon (pending: PendingRequest, kind: 'timeout' | 'aborted'): void {
    const written = pending.written
    pending.settle({ kind, written })
    if (written) {
      if (pending.request.cancellable) this.#stream.write({ body: { $case: 'cancel', value: { id: pending.id } } })
      if (kind === 'timeout') this.noteOverdue()
    }
    this.#closeWhenIdle()
  }

  #write (pending: PendingRequest): void {
    pending.written = true
    const body = pending.request.frame(pending.id, pending.deadline - this.#clock.now())
    this.#writable = this.#buffer.write(body, pending.request.bytes)
  }

  #open (): void {
    if (this.#state !== 'connecting') return
    this.#stopConnectTimer()
    this.#state = 'open'
    this.noteAlive()
    this.#events.onOpen()
    this.#drain()
  }

  #drain (): void {
    if (this.#state !== 'open') return
    this.#writable = true
    for (const pending of this.#waiting) {
      if (!this.#writable) return
      this.#waiting.delete(pending)
      this.#waitingBytes -= pending.request.bytes
      this.#write(pending)
    }
  }

  #receive (frame: Frame): void {
    this.noteAlive()
    const body = frame.body
    switch (body?.$case) {
      case 'goingAway': return this.finish()
      case 'answer':
      case 'journalAcknowledgement':
      case 'heartbeatAnswer':
        // A late reply, whose request has already ended, has no pending id and is dropped.
        this.#pending.get(body.value.id)?.settle({ kind: 'reply', body })
        this.#closeWhenIdle()
    }
  }

  #closeWhenIdle (): void {
    if (this.#state === 'leaving' && this.#pending.size === 0) this.close()
  }
}
