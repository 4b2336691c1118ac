import { randomInt } from 'node:crypto'
import { Metadata, credentials, status, type ServiceError } from '@grpc/grpc-js'
import { BriarsaddleError, MonotonicClock, Random, type Clock } from '@briarsaddle/common'
import { forwardBytes, notRunAnswer, peerReasons, unknownAnswer } from './answers.js'
import type { FetchControlRequest, FetchControlResponse, FetchKeyLoadsRequest, FetchKeyLoadsResponse, FetchLoadsRequest, FetchLoadsResponse, Answer, ConfirmRequest, ConfirmResponse, FetchJournalRequest, FetchJournalResponse, FetchStateResponse, Forward, HeartbeatRequest, HeartbeatResponse, Journal, JournalAcknowledgement, WatchControlRequest } from './generated/inner.js'
import { InnerClient } from './generated/inner.js'
import { ControlWatch, type ControlWatchEvents } from './control-watch.js'
import { channelOptions, defaultMaximumMessageBytes, type ConnectionOptions } from './options.js'
import { PeerLink, type LinkOptions, type LinkReply } from './peer-link.js'

/** Settings of `PeerClient`. Every field has a default. */
export interface PeerClientOptions extends ConnectionOptions {
  /** Timeout for establishing the connection and the stream. Default 1,000 ms. */
  readonly connectTimeoutMilliseconds?: number
  /** A stream with an overdue answer is replaced when nothing has arrived for this long. Default 1,000 ms. */
  readonly silenceMilliseconds?: number
  /** Maximum number of frames that wait while the write buffer of the stream is full. Default 1,024. */
  readonly maximumWaitingFrames?: number
  /** Maximum total size of waiting frames, in bytes. Default 32 MiB. */
  readonly maximumWaitingBytes?: number
  /** Maximum back-off between connection attempts. Default 1,000 ms. */
  readonly maximumBackoffMilliseconds?: number
  readonly clock?: Clock
  readonly random?: Random
  /** Called when an open stream breaks, but not when this client closes it or the peer has announced its shutdown. */
  readonly streamEnded?: () => void
}

const defaultLinkOptions = {
  connectTimeoutMilliseconds: 1_000,
  silenceMilliseconds: 1_000,
  maximumWaitingFrames: 1_024,
  maximumWaitingBytes: 32 * 1024 * 1024
}
const initialBackoffMilliseconds = 50
const defaultMaximumBackoffMilliseconds = 1_000

// The peer gets a slightly shorter deadline, so that its own answer about the outcome arrives before this side times out.
const deadlineReserveFraction = 0.05
const maximumDeadlineReserveMilliseconds = 10
const journalOverheadBytes = 1_024
const heartbeatBytes = 128
// After an unanswered heartbeat frame, heartbeats are sent as unary calls for this time: a peer of an earlier version answers
// only calls, and large bodies may delay frames on the stream.
const heartbeatCallMilliseconds = 10_000

type UnaryCall<Response> = (client: InnerClient, deadline: Date, callback: (error: ServiceError | null, response: Response) => void) => void

/** Client of one peer address. It keeps one stream open and replaces it when it breaks or nothing arrives on it any more. */
export class PeerClient {
  readonly address: string
  readonly #options: PeerClientOptions
  readonly #linkOptions: LinkOptions
  readonly #maximumMessageBytes: number
  readonly #clock: Clock
  readonly #random: Random
  readonly #leavingLinks = new Set<PeerLink>()
  readonly #watches = new Set<ControlWatch>()
  #link: PeerLink | undefined
  #backoffTimer: NodeJS.Timeout | undefined
  /** The link whose stream left a heartbeat unanswered, and the time until which heartbeats are sent as calls. */
  #heartbeatCalls: { readonly link: PeerLink, readonly until: number } | undefined
  #failures = 0
  #closed = false

  constructor (address: string, options: PeerClientOptions = {}) {
    this.address = address
    this.#options = options
    this.#linkOptions = { ...defaultLinkOptions, ...options }
    this.#maximumMessageBytes = options.maximumMessageBytes ?? defaultMaximumMessageBytes
    this.#clock = options.clock ?? new MonotonicClock()
    this.#random = options.random ?? new Random(randomInt(2 ** 31))
    this.#connect()
  }

  /** True while the stream is open. */
  get connected (): boolean {
    return this.#link?.open === true
  }

  /** Number of requests to this peer, on all streams, that have no reply yet. */
  get inFlight (): number {
    return [...this.#leavingLinks].reduce((sum, link) => sum + link.inFlight, this.#link?.inFlight ?? 0)
  }

  /**
   * Forwards a request. Never rejects. The outcome is NOT_RUN only when the frame was not written or the peer answered so, and
   * UNKNOWN when the stream broke, the signal aborted or the deadline passed after the frame was written.
   */
  async forward (forward: Forward, signal?: AbortSignal): Promise<Answer> {
    const link = this.#usableLink()
    if (link === undefined) return notRunAnswer(peerReasons.unreachable)
    const bytes = forwardBytes(forward)
    if (bytes > this.#maximumMessageBytes) return notRunAnswer(peerReasons.requestTooLarge)
    const reply = await link.request({
      frame: (id, remaining) => ({ $case: 'forward', value: { ...forward, id, deadlineMilliseconds: peerDeadline(remaining) } }),
      bytes,
      timeoutMilliseconds: forward.deadlineMilliseconds,
      cancellable: true,
      ...(signal === undefined ? {} : { signal })
    })
    return { ...toAnswer(reply), id: forward.id }
  }

  /**
   * Sends a journal entry and waits for its acknowledgement.
   * Throws `peer_unreachable` when the entry was not sent, and `journal_unacknowledged` when it may have been.
   */
  async journal (journal: Journal, timeoutMilliseconds: number): Promise<JournalAcknowledgement> {
    const link = this.#usableLink()
    if (link === undefined) throw this.#error('peer_unreachable', 'send journal entry', 'there is no connection')
    const reply = await link.request({
      frame: id => ({ $case: 'journal', value: { ...journal, id } }),
      bytes: journalOverheadBytes + (journal.entry?.answer?.body.length ?? 0),
      timeoutMilliseconds,
      cancellable: false
    })
    if (reply.kind === 'reply' && reply.body.$case === 'journalAcknowledgement') return { ...reply.body.value, id: journal.id }
    const code = reply.kind === 'reply' || reply.written ? 'journal_unacknowledged' : 'peer_unreachable'
    throw this.#error(code, 'send journal entry', `the entry was not acknowledged (${reply.kind})`)
  }

  /** Milliseconds since anything last arrived over the connection of the open stream; `Infinity` when no stream is open. */
  get silentMilliseconds (): number {
    return this.#link?.open === true ? this.#link.silentMilliseconds : Infinity
  }

  /**
   * Sends a heartbeat as a frame on the stream, or as a unary call on the same connection when the stream is not open or has
   * recently left a heartbeat unanswered. Throws `peer_unreachable`, `peer_timeout` or `peer_refused`.
   */
  async heartbeat (request: HeartbeatRequest, timeoutMilliseconds: number): Promise<Pick<HeartbeatResponse, 'leaving'>> {
    const link = this.#link
    if (link?.open === true && !this.#sendsHeartbeatsAsCalls(link)) return await this.#streamHeartbeat(link, request.vm, timeoutMilliseconds)
    return await this.#unary('heartbeat', timeoutMilliseconds, (client, deadline, callback) => client.heartbeat(request, new Metadata(), { deadline }, callback))
  }

  /** Sends a heartbeat over a new connection, to distinguish a broken connection from a failed peer. Throws as `heartbeat`. */
  async freshHeartbeat (request: HeartbeatRequest, timeoutMilliseconds: number): Promise<HeartbeatResponse> {
    const client = new InnerClient(this.address, credentials.createInsecure(), channelOptions(this.#options))
    try {
      return await this.#call('fresh heartbeat', client, timeoutMilliseconds, (client, deadline, callback) => client.heartbeat(request, new Metadata(), { deadline }, callback))
    } finally {
      client.close()
    }
  }

  /** Asks a witness whether it has read newer records about endpoints. Throws as `heartbeat`. */
  async confirm (request: ConfirmRequest, timeoutMilliseconds: number): Promise<ConfirmResponse> {
    return await this.#unary('confirm', timeoutMilliseconds, (client, deadline, callback) => client.confirm(request, new Metadata(), { deadline }, callback))
  }

  /** Fetches the peer's control state. Throws as `heartbeat`. */
  async fetchState (timeoutMilliseconds: number): Promise<FetchStateResponse> {
    return await this.#unary('fetch state', timeoutMilliseconds, (client, deadline, callback) => client.fetchState({}, new Metadata(), { deadline }, callback))
  }

  /** Fetches the peer's copy of a journal. Throws as `heartbeat`. */
  async fetchJournal (request: FetchJournalRequest, timeoutMilliseconds: number): Promise<FetchJournalResponse> {
    return await this.#unary('fetch journal', timeoutMilliseconds, (client, deadline, callback) => client.fetchJournal(request, new Metadata(), { deadline }, callback))
  }

  /** Fetches the loads of endpoints that the peer coordinates. Throws as `heartbeat`. */
  async fetchLoads (request: FetchLoadsRequest, timeoutMilliseconds: number): Promise<FetchLoadsResponse> {
    return await this.#unary('fetch loads', timeoutMilliseconds, (client, deadline, callback) => client.fetchLoads(request, new Metadata(), { deadline }, callback))
  }

  /** Fetches the loads by key of the endpoints that the peer coordinates. Throws as `heartbeat`. */
  async fetchKeyLoads (request: FetchKeyLoadsRequest, timeoutMilliseconds: number): Promise<FetchKeyLoadsResponse> {
    return await this.#unary('fetch key loads', timeoutMilliseconds, (client, deadline, callback) => client.fetchKeyLoads(request, new Metadata(), { deadline }, callback))
  }

  /** Fetches what the peer has read from the control log. Throws as `heartbeat`. */
  async fetchControl (request: FetchControlRequest, timeoutMilliseconds: number): Promise<FetchControlResponse> {
    return await this.#unary('fetch control', timeoutMilliseconds, (client, deadline, callback) => client.fetchControl(request, new Metadata(), { deadline }, callback))
  }

  /** Watches the peer's control state. Returns undefined when there is no connection. */
  watchControl (request: WatchControlRequest, events: ControlWatchEvents): ControlWatch | undefined {
    const link = this.#link
    if (link === undefined) return undefined
    const watch: ControlWatch = new ControlWatch(link.client.watchControl(request), {
      onUpdate: update => {
        link.noteAlive()
        events.onUpdate(update)
      },
      onEnded: reason => {
        this.#watches.delete(watch)
        events.onEnded(reason)
      }
    })
    this.#watches.add(watch)
    return watch
  }

  /** True while requests or watches are open, so that the connection is not idle. */
  get busy (): boolean {
    for (const watch of this.#watches) if (watch.closed) this.#watches.delete(watch)
    return this.inFlight > 0 || this.#watches.size > 0
  }

  /** Refuses new requests and closes when all requests in flight have ended. */
  finish (): void {
    if (this.#closed) return
    this.#closed = true
    clearTimeout(this.#backoffTimer)
    this.#link?.finish()
  }

  /** Closes at once. Requests in flight end as UNKNOWN, or as NOT_RUN when their frame was not written. */
  close (): void {
    this.finish()
    this.#link?.close()
    for (const link of [...this.#leavingLinks]) link.close()
  }

  #sendsHeartbeatsAsCalls (link: PeerLink): boolean {
    return this.#heartbeatCalls?.link === link && this.#clock.now() < this.#heartbeatCalls.until
  }

  async #streamHeartbeat (link: PeerLink, vm: string, timeoutMilliseconds: number): Promise<Pick<HeartbeatResponse, 'leaving'>> {
    const reply = await link.request({
      frame: id => ({ $case: 'heartbeat', value: { id, vm } }),
      bytes: heartbeatBytes,
      timeoutMilliseconds,
      cancellable: false
    })
    if (reply.kind === 'reply' && reply.body.$case === 'heartbeatAnswer') return { leaving: reply.body.value.leaving }
    if (reply.kind === 'closed') throw this.#error('peer_unreachable', 'heartbeat', 'the stream closed before the answer')
    this.#heartbeatCalls = { link, until: this.#clock.now() + heartbeatCallMilliseconds }
    throw this.#error('peer_timeout', 'heartbeat', `no answer on the stream (${reply.kind})`)
  }

  /** Returns the link, or undefined when the last attempt to connect failed and the link is not open. */
  #usableLink (): PeerLink | undefined {
    if (this.#closed) return undefined
    // After a failed attempt, requests do not wait for the next one, since the caller can use another VM.
    if (this.#failures > 0 && this.#link?.open !== true) return undefined
    return this.#link
  }

  #connect (): void {
    let opened = false
    const link: PeerLink = new PeerLink(this.address, this.#linkOptions, this.#clock, {
      onOpen: () => {
        opened = true
        this.#failures = 0
      },
      onLeaving: () => {
        this.#leavingLinks.add(link)
        this.#replace(link)
      },
      onClosed: () => {
        const ended = opened && this.#link === link && !this.#closed
        this.#leavingLinks.delete(link)
        this.#replace(link)
        if (ended) this.#options.streamEnded?.()
      }
    })
    this.#link = link
  }

  #replace (link: PeerLink): void {
    if (this.#link !== link) return
    this.#link = undefined
    this.#failures += 1
    if (this.#closed) return
    const maximumBackoff = this.#options.maximumBackoffMilliseconds ?? defaultMaximumBackoffMilliseconds
    const backoff = Math.min(maximumBackoff, initialBackoffMilliseconds * 2 ** (this.#failures - 1))
    this.#backoffTimer = setTimeout(() => this.#connect(), backoff * (0.5 + this.#random.fraction() / 2))
  }

  async #unary<Response> (step: string, timeoutMilliseconds: number, call: UnaryCall<Response>): Promise<Response> {
    const link = this.#link
    if (link === undefined) throw this.#error('peer_unreachable', step, 'there is no connection')
    try {
      const response = await this.#call(step, link.client, timeoutMilliseconds, call)
      link.noteAlive()
      return response
    } catch (error) {
      if (error instanceof BriarsaddleError && error.code === 'peer_timeout') link.noteOverdue()
      throw error
    }
  }

  async #call<Response> (step: string, client: InnerClient, timeoutMilliseconds: number, call: UnaryCall<Response>): Promise<Response> {
    return await new Promise((resolve, reject) => {
      call(client, new Date(Date.now() + timeoutMilliseconds), (error, response) => {
        if (error === null) return resolve(response)
        reject(this.#error(errorCodes.get(error.code) ?? 'peer_refused', step, error.details, error))
      })
    })
  }

  #error (code: string, step: string, detail: string, cause?: unknown): BriarsaddleError {
    return new BriarsaddleError(`${step} at ${this.address} failed: ${detail}`, { code, step, peer: this.address, cause })
  }
}

const errorCodes: ReadonlyMap<status, string> = new Map([
  [status.DEADLINE_EXCEEDED, 'peer_timeout'],
  [status.UNAVAILABLE, 'peer_unreachable'],
  [status.CANCELLED, 'peer_unreachable']
])

function peerDeadline (remainingMilliseconds: number): number {
  return remainingMilliseconds - Math.min(maximumDeadlineReserveMilliseconds, remainingMilliseconds * deadlineReserveFraction)
}

function toAnswer (reply: LinkReply): Answer {
  switch (reply.kind) {
    case 'reply': return reply.body.$case === 'answer' ? reply.body.value : unknownAnswer(peerReasons.internalError)
    case 'congested': return notRunAnswer(peerReasons.congested)
    case 'closed': return reply.written ? unknownAnswer(peerReasons.lost) : notRunAnswer(peerReasons.unreachable)
    case 'timeout': return (reply.written ? unknownAnswer : notRunAnswer)(peerReasons.deadlineExceeded)
    case 'aborted': return (reply.written ? unknownAnswer : notRunAnswer)(peerReasons.cancelled)
  }
}
