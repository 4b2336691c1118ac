import type { Socket } from 'node:net'
import { AnswerLimitError } from './answer-limit-error.js'

// Limit of a head or trailers. Servers usually limit a head to 16 KiB, and undici keeps each header or trailer line as two
// buffer views of some hundred bytes.
const maximumBytesWithoutContent = 16 * 1024
// Limits of all bytes besides content: head, chunk lengths and trailers. A server that sends chunks of five bytes needs about
// as many bytes for the chunk lengths.
const maximumFramingBytes = 128 * 1024
const framingPerContentByte = 1

/**
 * Closes a connection that receives too many bytes besides the content of the answer. The limits of undici cover only header
 * names, header values and content: a status line, interim answers, white space, chunk lengths and chunk extensions could be
 * endless.
 */
export class WireMeter {
  readonly #peer: string
  #socket: Socket | undefined
  /** Bytes that the connection had received before this answer. */
  #bytesBeforeAnswer = 0
  #content = 0
  #contentAtLastRead = 0
  /** Size of this answer in bytes after the last read that had content. */
  #bytesAtLastContent = 0

  constructor (peer: string) {
    this.#peer = peer
  }

  /** Bytes of this answer that were received so far. */
  get bytes (): number { return (this.#socket?.bytesRead ?? 0) - this.#bytesBeforeAnswer }

  /**
   * Checks a new connection after each read. undici must already listen to the socket and must not pause reading, so that it
   * has parsed all received bytes before each check.
   */
  watch (socket: Socket): void {
    this.#socket = socket
    this.startAnswer()
    socket.on('readable', () => {
      if (socket === this.#socket) this.#checkAfterRead(socket)
    })
  }

  /** Resets the counts. Called when a request is about to be written. */
  startAnswer (): void {
    this.#bytesBeforeAnswer = this.#socket?.bytesRead ?? 0
    this.#content = 0
    this.#contentAtLastRead = 0
    this.#bytesAtLastContent = 0
  }

  /** Counts content bytes of this answer. */
  addContent (bytes: number): void {
    this.#content += bytes
  }

  #checkAfterRead (socket: Socket): void {
    const { bytes } = this
    if (this.#content > this.#contentAtLastRead) {
      this.#contentAtLastRead = this.#content
      this.#bytesAtLastContent = bytes
      this.#enforceLimit(socket, bytes - this.#content, maximumFramingBytes + framingPerContentByte * this.#content, 'chunk lengths and other bytes without content')
    } else {
      this.#enforceLimit(socket, bytes - this.#bytesAtLastContent, maximumBytesWithoutContent, 'head, trailers or other bytes without content')
    }
  }

  #enforceLimit (socket: Socket, bytes: number, limit: number, part: string): void {
    if (bytes > limit) socket.destroy(new AnswerLimitError(`an answer exceeds ${limit} bytes of ${part}`, { step: 'read answer', peer: this.#peer, bytes, limit }))
  }
}
