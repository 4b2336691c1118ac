import type { ServerDuplexStream } from '@grpc/grpc-js'
import { Metadata, status } from '@grpc/grpc-js'
import { Logger, describeError } from '@briarsaddle/common'
import { answerBytes, notRunAnswer, peerReasons, unknownAnswer } from './answers.js'
import type { Answer, Forward, Frame, Heartbeat, Journal } from './generated/inner.js'
import type { ControlHandler, FrameHandler } from './handlers.js'
import { WriteBuffer } from './write-buffer.js'

const logger = new Logger('protocol')

/** Server side of one Exchange stream. */
export class ServerStream {
  readonly #call: ServerDuplexStream<Frame, Frame>
  readonly #buffer: WriteBuffer
  readonly #handler: FrameHandler
  readonly #control: Pick<ControlHandler, 'heartbeat'>
  readonly #maximumMessageBytes: number
  readonly #running = new Map<number, AbortController>()
  readonly #onClosed: () => void
  #journalsRunning = 0
  #goingAway = false
  #halfClosed = false
  #closed = false

  constructor (call: ServerDuplexStream<Frame, Frame>, handler: FrameHandler, control: Pick<ControlHandler, 'heartbeat'>, maximumMessageBytes: number, onClosed: () => void) {
    this.#call = call
    this.#buffer = new WriteBuffer(call)
    this.#handler = handler
    this.#control = control
    this.#maximumMessageBytes = maximumMessageBytes
    this.#onClosed = onClosed
    call.on('data', (frame: Frame) => this.#receive(frame))
    call.on('drain', () => call.resume())
    call.on('end', () => {
      this.#halfClosed = true
      this.#endWhenIdle()
    })
    call.on('cancelled', () => this.#close())
    call.on('error', () => this.#close())
    call.on('close', () => this.#close())
    // The client writes no frame before it has received the metadata, so it knows which frames were not sent.
    call.sendMetadata(new Metadata())
  }

  /**
   * Tells the client to send no new requests. The client closes the stream after it has received every answer, so a request
   * that is sent before this frame arrives is still refused by an answer.
   */
  goAway (): void {
    if (this.#goingAway || this.#closed) return
    this.#goingAway = true
    this.#write({ $case: 'goingAway', value: {} })
  }

  /** Closes the stream at once and aborts running requests. */
  abort (): void {
    if (this.#closed) return
    this.#call.emit('error', { code: status.UNAVAILABLE, details: 'the server is stopping' })
  }

  #receive (frame: Frame): void {
    const body = frame.body
    if (body?.$case === 'forward') this.#forward(body.value)
    else if (body?.$case === 'journal') this.#journal(body.value)
    else if (body?.$case === 'cancel') this.#cancel(body.value.id)
    else if (body?.$case === 'heartbeat') this.#heartbeat(body.value)
  }

  async #forward (forward: Forward): Promise<void> {
    if (this.#goingAway) return this.#answer(forward.id, notRunAnswer(peerReasons.goingAway))
    const controller = new AbortController()
    this.#running.set(forward.id, controller)
    let answer: Answer
    try {
      answer = await this.#handler.forward(forward, controller.signal)
    } catch (error) {
      logger.error('frame handler failed', { step: 'forward', error: describeError(error) })
      answer = unknownAnswer(peerReasons.internalError)
    }
    // The request was cancelled meanwhile and the client does not expect an answer.
    if (this.#running.get(forward.id) !== controller) return
    this.#running.delete(forward.id)
    this.#answer(forward.id, answer)
    this.#endWhenIdle()
  }

  async #journal (journal: Journal): Promise<void> {
    this.#journalsRunning += 1
    try {
      const acknowledgement = await this.#handler.journal(journal)
      this.#write({ $case: 'journalAcknowledgement', value: { ...acknowledgement, id: journal.id } })
    } catch (error) {
      logger.error('frame handler failed', { step: 'journal', error: describeError(error) })
    }
    this.#journalsRunning -= 1
    this.#endWhenIdle()
  }

  /** Answers a heartbeat, also during a shutdown, so that a draining VM is not suspected to have failed. */
  async #heartbeat ({ id, vm }: Heartbeat): Promise<void> {
    try {
      const { leaving } = await this.#control.heartbeat({ vm, instance: '', position: 0 })
      this.#write({ $case: 'heartbeatAnswer', value: { id, leaving } })
    } catch (error) {
      logger.error('frame handler failed', { step: 'heartbeat', error: describeError(error) })
    }
  }

  #cancel (id: number): void {
    const controller = this.#running.get(id)
    this.#running.delete(id)
    controller?.abort()
    this.#endWhenIdle()
  }

  #answer (id: number, answer: Answer): void {
    // gRPC would close the stream, with all requests on it, for a message that exceeds the limit.
    const bytes = answerBytes(answer)
    const sendable = bytes <= this.#maximumMessageBytes ? answer : unknownAnswer(peerReasons.answerTooLarge)
    this.#write({ $case: 'answer', value: { ...sendable, id } }, bytes)
  }

  #write (body: NonNullable<Frame['body']>, bytes = 0): void {
    if (this.#closed) return
    // Back-pressure: reading stops while the client does not read answers, which bounds the buffered answers.
    if (!this.#buffer.write(body, bytes)) this.#call.pause()
  }

  #endWhenIdle (): void {
    if (this.#running.size === 0 && this.#journalsRunning === 0 && this.#halfClosed && !this.#closed) this.#call.end()
  }

  #close (): void {
    if (this.#closed) return
    this.#closed = true
    const controllers = [...this.#running.values()]
    this.#running.clear()
    for (const controller of controllers) controller.abort()
    this.#onClosed()
  }
}
