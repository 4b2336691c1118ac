import type { Socket } from 'node:net'
import { AnswerLimitError } from './answer-limit-error.js'

// Servers usually limit a head to 16 KiB. undici keeps each header line, also of trailers, as two views of some hundred bytes.
const maximumBytesWithoutContent = 16 * 1024
// Head, chunk lengths and trailers. A server that sends chunks of five bytes needs about as many for their lengths.
const maximumFramingBytes = 128 * 1024
const framingPerContentByte = 1

/**
 * Closes a connection whose bytes go on without content. undici counts names and values of headers, and content: a status
 * line, interim answers, blanks, chunk lengths and chunk extensions may go on without end.
 */
export class WireMeter {
  readonly #peer: string
  #socket: Socket | undefined
  /** Bytes of the connection before this answer. */
  #before = 0
  #content = 0
  #contentAtLastRead = 0
  /** Bytes of this answer up to the last read with content. */
  #bytesWithContent = 0

  constructor (peer: string) {
    this.#peer = peer
  }

  /** Bytes of this answer so far. */
  get bytes (): number { return (this.#socket?.bytesRead ?? 0) - this.#before }

  /** Looks at a new connection after each read. undici must listen already and never stop reading, so that it has parsed all that was read. */
  follow (socket: Socket): void {
    this.#socket = socket
    this.begin()
    socket.on('readable', () => {
      if (socket === this.#socket) this.#look(socket)
    })
  }

  /** A request is written now. */
  begin (): void {
    this.#before = this.#socket?.bytesRead ?? 0
    this.#content = 0
    this.#contentAtLastRead = 0
    this.#bytesWithContent = 0
  }

  addContent (bytes: number): void {
    this.#content += bytes
  }

  #look (socket: Socket): void {
    const { bytes } = this
    if (this.#content > this.#contentAtLastRead) {
      this.#contentAtLastRead = this.#content
      this.#bytesWithContent = bytes
      this.#check(socket, bytes - this.#content, maximumFramingBytes + framingPerContentByte * this.#content, 'chunk lengths and other bytes without content')
    } else {
      this.#check(socket, bytes - this.#bytesWithContent, maximumBytesWithoutContent, 'head, trailers or other bytes without content')
    }
  }

  #check (socket: Socket, bytes: number, limit: number, part: string): void {
    if (bytes > limit) socket.destroy(new AnswerLimitError(`an answer exceeds ${limit} bytes of ${part}`, { step: 'read answer', peer: this.#peer, bytes, limit }))
  }
}
