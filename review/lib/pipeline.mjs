// A client that keeps one connection and sends further safe requests before the first has been answered.
import { connect } from 'node:net'

const endOfHead = '\r\n\r\n'

/** One kept connection. Answers are matched to requests by their order, as HTTP/1.1 has it. */
export class PipelineConnection {
  sent = []
  answered = 0
  /** True once an answer said that it closes the connection, or the connection ended. */
  closing = false
  ended = false
  /** When the connection ended; undefined before. */
  endedAt = undefined
  /** True once this client has closed the connection itself. */
  left = false
  #buffer = Buffer.alloc(0)

  constructor (host, port) {
    this.socket = connect({ host, port, noDelay: true })
    this.socket.on('data', part => this.#read(part))
    this.socket.on('error', () => {})
    this.closed = new Promise(resolve => this.socket.on('close', () => {
      this.#finish()
      resolve()
    }))
  }

  async connected () {
    await new Promise((resolve, reject) => this.socket.once('connect', resolve).once('error', reject))
  }

  /** Closes the connection. */
  leave () {
    this.left ||= !this.ended
    this.socket.end()
  }

  /** Whether the other side closed the connection without a whole answer to the request, well before its deadline. */
  cutOff (entry) {
    return !entry.whole && !this.left && this.ended && this.endedAt - entry.sentAt < 0.9 * entry.deadline
  }

  send (requestId, path, key, deadline = 2_500) {
    const entry = { requestId, deadline, sentAt: performance.now(), status: undefined, whole: false, body: undefined }
    this.sent.push(entry)
    this.socket.write(`GET ${path} HTTP/1.1\r\nHost: app.example\r\nX-Briarsaddle-Request-Id: ${requestId}\r\nX-Briarsaddle-Deadline-Ms: ${deadline}\r\nX-Briarsaddle-Shard-Key: ${key}\r\n\r\n`)
    return entry
  }

  #read (part) {
    this.#buffer = Buffer.concat([this.#buffer, part])
    while (this.#take());
  }

  #take () {
    const entry = this.sent[this.answered]
    if (entry === undefined) return false
    const end = this.#buffer.indexOf(endOfHead)
    if (end === -1) return false
    const [first, ...lines] = this.#buffer.subarray(0, end).toString('latin1').split('\r\n')
    const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
    entry.status = Number(first.split(' ')[1])
    entry.headers = headers
    if (headers.connection?.toLowerCase() === 'close') this.closing = true
    const length = headers['content-length']
    if (length === undefined) return false
    if (this.#buffer.length < end + endOfHead.length + Number(length)) return false
    entry.body = this.#buffer.subarray(end + endOfHead.length, end + endOfHead.length + Number(length)).toString()
    this.#buffer = this.#buffer.subarray(end + endOfHead.length + Number(length))
    entry.whole = true
    entry.answeredAt = performance.now()
    this.answered++
    return true
  }

  #finish () {
    this.ended = this.closing = true
    this.endedAt = performance.now()
    const entry = this.sent[this.answered]
    const end = this.#buffer.indexOf(endOfHead)
    // An answer without a length ends with its connection.
    if (entry?.status === undefined || entry.headers['content-length'] !== undefined || entry.headers['transfer-encoding'] !== undefined || end === -1) return
    entry.body = this.#buffer.subarray(end + endOfHead.length).toString()
    entry.whole = true
    entry.answeredAt = performance.now()
    this.answered++
  }
}
