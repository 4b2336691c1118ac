import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { delay } from '@briarsaddle/common'

/** Bytes that a server sends instead of an answer: a beginning, and a part that is repeated until the caller closes. */
export interface EndlessBytes {
  readonly beginning: string
  readonly repeated: string
}

/** Answers without end, by the part that does not end. `head` are header lines of a genuine answer. */
export function endlessAnswers (head: string): Readonly<Record<string, EndlessBytes>> {
  const start = `HTTP/1.1 200 OK\r\n${head}`
  const chunked = `${start}Transfer-Encoding: chunked\r\n\r\n`
  return {
    'blank lines before the status': { beginning: '', repeated: '\r\n' },
    'a status line': { beginning: 'HTTP/1.1 200 ', repeated: 'x' },
    'interim answers': { beginning: '', repeated: 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n' },
    'a header name': { beginning: start, repeated: 'x' },
    'a header value': { beginning: `${start}X-Filler: `, repeated: 'x' },
    'blanks in a header': { beginning: `${start}X-Filler:`, repeated: ' ' },
    'header lines': { beginning: start, repeated: 'X-Filler: x\r\n' },
    'empty header lines': { beginning: start, repeated: 'x:\r\n' },
    'a body of a long length': { beginning: `${start}Content-Length: 1000000000000\r\n\r\n`, repeated: 'x' },
    'a body without a length': { beginning: `${start}Connection: close\r\n\r\n`, repeated: 'x' },
    'long chunks': { beginning: chunked, repeated: `4000\r\n${'x'.repeat(0x4000)}\r\n` },
    'chunks of one byte': { beginning: chunked, repeated: '1\r\nx\r\n' },
    'a chunk extension': { beginning: `${chunked}1;`, repeated: 'x' },
    'a chunk length': { beginning: chunked, repeated: '0' },
    trailers: { beginning: `${chunked}0\r\n`, repeated: 'X-Filler: x\r\n' }
  }
}

/** Settings of a server that sends without end. */
export interface EndlessServerOptions {
  readonly bytes: EndlessBytes
  /** Pause after each write; 0 sends as fast as the caller reads. */
  readonly pauseMilliseconds?: number
  /** Size of one write in bytes, without a pause. */
  readonly writeBytes?: number
}

const defaultWriteBytes = 64 * 1024

/** TCP server that answers each request with bytes without end, until the caller closes the connection. */
export class EndlessServer {
  readonly #options: EndlessServerOptions
  readonly #block: Buffer
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  #sentBytes = 0
  #closed = 0
  #accepted = 0

  constructor (options: EndlessServerOptions) {
    this.#options = options
    const { repeated } = options.bytes
    const slow = (options.pauseMilliseconds ?? 0) > 0
    this.#block = Buffer.from(slow ? repeated : repeated.repeat(Math.ceil((options.writeBytes ?? defaultWriteBytes) / repeated.length)), 'latin1')
    this.#server = createServer(socket => this.#accept(socket))
  }

  /** Bytes that the operating system has taken for the callers, those that they have not read included. */
  get sentBytes (): number { return this.#sentBytes + [...this.#sockets].reduce((sum, socket) => sum + sent(socket), 0) }
  /** Connections accepted so far. */
  get accepted (): number { return this.#accepted }
  /** Connections that have ended. */
  get closed (): number { return this.#closed }

  /** Listens on a free port of 127.0.0.1 and returns it. */
  async listen (): Promise<number> {
    await once(this.#server.listen(0, '127.0.0.1'), 'listening')
    return (this.#server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    for (const socket of this.#sockets) socket.destroy()
    await new Promise(resolve => this.#server.close(resolve))
  }

  #accept (socket: Socket): void {
    this.#accepted++
    this.#sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => {
      this.#sockets.delete(socket)
      this.#sentBytes += sent(socket)
      this.#closed++
    })
    socket.once('data', () => { void this.#send(socket) })
  }

  async #send (socket: Socket): Promise<void> {
    const { bytes: { beginning }, pauseMilliseconds = 0 } = this.#options
    const closed = new Promise(resolve => socket.once('close', resolve))
    socket.write(beginning, 'latin1')
    while (!socket.destroyed) {
      const more = socket.write(this.#block)
      if (pauseMilliseconds > 0) await delay(pauseMilliseconds)
      else if (!more) await Promise.race([new Promise(resolve => socket.once('drain', resolve)), closed])
      else await new Promise(resolve => setImmediate(resolve))
    }
  }
}

function sent (socket: Socket): number {
  return socket.bytesWritten - socket.writableLength
}
