import type { Socket } from 'node:net'
import { AnswerSequence, type Turn } from './answer-sequence.js'

// After its last answer, a connection is read for up to this time. Closing it with unread bytes would reset it, and its caller could
// lose answers that are still on their way.
const lingerMilliseconds = 1_000
// Requests of a connection that may wait for their answers. Callers that send more are read when some have been answered.
const maximumOpenRequests = 100

/** What a connection needs to know of a request whose answer has not been sent completely. */
export interface ConnectionExchange {
  readonly controller: AbortController
}

/** One connection of a caller. It closes gracefully: all answers are sent, then the rest of what the caller sends is dropped. */
export class CallerConnection<Exchange extends ConnectionExchange> {
  readonly sequence = new AnswerSequence()
  readonly #exchanges = new Set<Exchange>()
  readonly #socket: Socket
  /** Length of the answers that wait for answers before them, in bytes. */
  #waitingBytes = 0
  #paused = false
  #isNew = true
  #finalBytes = ''

  constructor (socket: Socket) {
    this.#socket = socket
    // Node.js calls this after an answer with `Connection: close`. Its own implementation closes without reading what has arrived.
    socket.destroySoon = () => this.close()
    socket.on('end', () => this.abort())
  }

  /** Requests whose answers have not been sent completely, oldest first. */
  get exchanges (): ReadonlySet<Exchange> { return this.#exchanges }

  /** Whether no request has been read on the connection. */
  get isNew (): boolean { return this.#isNew }

  /** Aborts all requests. */
  abort (): void {
    for (const { controller } of this.#exchanges) controller.abort()
  }

  /** Adds a request that has been read. */
  add (exchange: Exchange): void {
    this.#isNew = false
    this.#exchanges.add(exchange)
    // Node.js resumes the connection at the end of each request that it parses, so a pause now would not last.
    if (this.#isFull) process.nextTick(() => this.#pauseOrResume())
  }

  /** Writes an answer of the given length as soon as the answers before it have been written; see `AnswerSequence`. */
  answer (turn: Turn, bytes: number, write: (closes: boolean) => void, closeWhenDone: boolean): void {
    this.#waitingBytes += bytes
    this.sequence.answer(turn, closes => {
      this.#waitingBytes -= bytes
      write(closes)
    }, closeWhenDone)
    this.#pauseOrResume()
  }

  /** Removes a request whose answer has been sent. */
  remove (exchange: Exchange): void {
    this.#exchanges.delete(exchange)
    this.#pauseOrResume()
    if (this.#exchanges.size === 0 && this.#finalBytes !== '') this.close()
  }

  /** Sends `bytes` once all answers have been sent, and closes the connection. */
  closeAfterAnswers (bytes: string): void {
    this.#finalBytes = bytes
    if (this.#exchanges.size === 0) this.close()
  }

  /** Closes the sending side, and the connection when the caller does so too, at the latest after `lingerMilliseconds`. */
  close (): void {
    this.sequence.end()
    const socket = this.#socket
    if (socket.destroyed || socket.writableEnded) return
    socket.end(this.#finalBytes)
    socket.resume()
    const timer = setTimeout(() => socket.destroy(), lingerMilliseconds)
    socket.once('close', () => clearTimeout(timer))
  }

  get #isFull (): boolean {
    return this.#exchanges.size >= maximumOpenRequests || this.#waitingBytes >= this.#socket.writableHighWaterMark
  }

  /** Stops reading while many requests are open, or many bytes of answers wait for an earlier one. */
  #pauseOrResume (): void {
    if (this.#isFull === this.#paused) return
    this.#paused = this.#isFull
    if (this.#paused) this.#socket.pause()
    else this.#socket.resume()
  }
}
