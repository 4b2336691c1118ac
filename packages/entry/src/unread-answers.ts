import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { Logger, type Clock } from '@briarsaddle/common'

const logger = new Logger('entry')

/** Limits on answers that callers are slow to read. */
export interface UnreadAnswerLimits {
  /** Maximum memory for answers that callers have not read yet, in bytes. */
  readonly maximumBytes: number
  /** A connection whose caller reads nothing for this long is closed. */
  readonly silenceMilliseconds: number
}

interface UnreadAnswer {
  readonly response: ServerResponse
  readonly socket: Socket
  readonly bytes: number
  /** Bytes that the connection had sent when it was last looked at. */
  sent: number
  /** When the caller was last known to read, in clock milliseconds. */
  readAt: number
}

/**
 * Bounds the memory of answers that are written faster than their callers read them. A connection that is closed here ends
 * before the announced length of its answer, so the caller does not take the part for the whole.
 */
export class UnreadAnswers {
  readonly #limits: UnreadAnswerLimits
  readonly #clock: Clock
  readonly #unread = new Set<UnreadAnswer>()
  #bytes = 0

  constructor (limits: UnreadAnswerLimits, clock: Clock) {
    this.#limits = limits
    this.#clock = clock
  }

  /** Total length of the answers that are not sent completely, in bytes. */
  get bytes (): number { return this.#bytes }

  /** Counts an answer, also while it waits for others on its connection. Returns a function that ends the count. */
  add (response: ServerResponse, socket: Socket, bytes: number): () => void {
    const answer: UnreadAnswer = { response, socket, bytes, sent: sentBytes(socket), readAt: this.#clock.now() }
    this.#unread.add(answer)
    this.#bytes += bytes
    while (this.#bytes > this.#limits.maximumBytes) this.#close(this.#slowest(), 'memory')
    return () => this.#remove(answer)
  }

  /** Closes the connections of callers that have read nothing for too long. Called periodically. */
  closeSilent (): void {
    const now = this.#clock.now()
    for (const answer of this.#unread) {
      const sent = sentBytes(answer.socket)
      // The caller cannot read an answer that waits for others.
      if (sent !== answer.sent || !isBeingSent(answer.response)) Object.assign(answer, { sent, readAt: now })
      else if (now - answer.readAt >= this.#limits.silenceMilliseconds) this.#close(answer, 'silence')
    }
  }

  /** The answer whose caller has read nothing for longest, by the last look; the largest among equals. Answers that wait for others come last. */
  #slowest (): UnreadAnswer {
    const waits = ({ response }: UnreadAnswer): number => Number(!isBeingSent(response))
    return [...this.#unread].sort((one, other) => waits(one) - waits(other) || one.readAt - other.readAt || other.bytes - one.bytes)[0] as UnreadAnswer
  }

  #remove (answer: UnreadAnswer): void {
    if (this.#unread.delete(answer)) this.#bytes -= answer.bytes
  }

  #close (answer: UnreadAnswer, limit: 'memory' | 'silence'): void {
    logger.warning('connection closed: its caller does not read the answer', { limit, answerBytes: answer.bytes, unreadBytes: this.#bytes, silentMilliseconds: Math.round(this.#clock.now() - answer.readAt) })
    this.#remove(answer)
    answer.socket.destroy()
  }
}

function isBeingSent ({ headersSent, socket }: ServerResponse): boolean {
  return headersSent && socket !== null
}

function sentBytes (socket: Socket): number {
  return socket.bytesWritten - socket.writableLength
}
