import type { ServerResponse } from 'node:http'
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

  /** Counts an answer whose end has been written, until the operating system has taken all of it. */
  add (response: ServerResponse, bytes: number): void {
    if (response.writableFinished || response.destroyed) return
    const answer: UnreadAnswer = { response, bytes, sent: sentBytes(response), readAt: this.#clock.now() }
    this.#unread.add(answer)
    this.#bytes += bytes
    const end = (): void => {
      if (this.#unread.delete(answer)) this.#bytes -= bytes
    }
    response.once('finish', end).once('close', end)
    while (this.#bytes > this.#limits.maximumBytes) this.#close(this.#slowest(), 'memory')
  }

  /** Closes the connections of callers that have read nothing for too long. Called periodically. */
  closeSilent (): void {
    const now = this.#clock.now()
    for (const answer of this.#unread) {
      const sent = sentBytes(answer.response)
      if (sent !== answer.sent) Object.assign(answer, { sent, readAt: now })
      else if (now - answer.readAt >= this.#limits.silenceMilliseconds) this.#close(answer, 'silence')
    }
  }

  /** The answer whose caller has read nothing for longest, by the last look; the largest among equals. */
  #slowest (): UnreadAnswer {
    return [...this.#unread].sort((one, other) => one.readAt - other.readAt || other.bytes - one.bytes)[0] as UnreadAnswer
  }

  #close (answer: UnreadAnswer, limit: 'memory' | 'silence'): void {
    logger.warning('connection closed: its caller does not read the answer', { limit, answerBytes: answer.bytes, unreadBytes: this.#bytes, silentMilliseconds: Math.round(this.#clock.now() - answer.readAt) })
    this.#unread.delete(answer)
    this.#bytes -= answer.bytes
    answer.response.destroy()
  }
}

function sentBytes ({ socket }: ServerResponse): number {
  return socket === null ? 0 : socket.bytesWritten - socket.writableLength
}
