// Stand-in for a server (back end) of the platform. It does what the pages say of a sound server, and notes what it saw.
import { createServer } from 'node:http'

const signatureHeader = 'X-Briarsaddle-Server-Signature'

async function readAll (request) {
  const parts = []
  for await (const part of request) parts.push(part)
  return Buffer.concat(parts)
}

/** One server. `work` tells for each request how long it works in milliseconds; `body` what it answers. */
export class Server {
  #held = []
  #fences = new Float64Array(65_536)
  #running = new Set()
  #waiting = []
  /** All requests that reached this server: id, when, whether it ran, when it ended and how. */
  seen = []

  constructor ({ id, host, port, slots = 3, queue = 12, sharded = true, work = () => 50, body = id => `done ${id}`, answer, note = () => {} }) {
    Object.assign(this, { id, host, port, slots, queue, sharded, work, bodyOf: body, answer, note })
  }

  async listen () {
    this.server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
      this.#handle(request, response).catch(() => response.destroy())
    })
    await new Promise(resolve => this.server.listen(this.port, this.host, resolve))
  }

  close () {
    this.server.closeAllConnections()
    this.server.close()
  }

  holds (key) {
    return this.#held.some(({ from, to, until }) => from <= key && key <= to && until > performance.now())
  }

  async #handle (request, response) {
    const body = await readAll(request)
    const expected = request.headers['x-briarsaddle-expected-instance']
    const requestId = request.headers['x-briarsaddle-request-id'] ?? ''
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, { 'X-Briarsaddle-Request-Id': requestId, 'X-Briarsaddle-Not-Executed': '1' }).end()
    if (request.method === 'POST' && request.url === '/grant') return this.#grant(JSON.parse(body.toString()), response)
    if (request.method === 'POST' && request.url === '/release') return await this.#release(JSON.parse(body.toString()), response)
    if (request.url === '/health') return response.writeHead(200, { 'X-Briarsaddle-Instance-Id': this.id }).end()
    await this.#run(request, response, requestId, body)
  }

  #grant ({ from, to, fence, hold_time: hold }, response) {
    if (this.#fences.subarray(from, to + 1).some(seen => seen > fence)) return response.writeHead(409).end()
    this.#fences.fill(fence, from, to + 1)
    this.#remove(from, to)
    this.#held.push({ from, to, fence, until: performance.now() + Number.parseFloat(hold) })
    response.writeHead(200).end()
  }

  async #release ({ from, to }, response) {
    this.#remove(from, to)
    while ([...this.#running].some(({ key }) => key >= from && key <= to)) await new Promise(resolve => setTimeout(resolve, 2))
    response.writeHead(200, { 'X-Briarsaddle-Handover': `from-${this.id}` }).end()
  }

  #remove (from, to) {
    this.#held = this.#held.flatMap(held => held.to < from || held.from > to
      ? [held]
      : [{ ...held, to: from - 1 }, { ...held, from: to + 1 }].filter(part => part.from <= part.to))
  }

  get #load () { return `${this.#running.size},${this.#waiting.length},${this.slots}` }

  async #run (request, response, requestId, body) {
    const key = Number(request.headers['x-briarsaddle-shard-key'] ?? 0)
    const entry = { requestId, key, server: this.id, from: request.socket.remoteAddress, at: performance.now(), ran: false, end: '' }
    this.seen.push(entry)
    const refuse = status => {
      entry.end = `refused ${status}`
      response.writeHead(status, { 'X-Briarsaddle-Request-Id': requestId, 'X-Briarsaddle-Not-Executed': '1', 'X-Briarsaddle-Server-Load': this.#load }).end()
    }
    if (this.sharded && !this.holds(key)) return refuse(421)
    if (this.#running.size >= this.slots) {
      if (this.#waiting.length >= this.queue) return refuse(503)
      await new Promise(resolve => this.#waiting.push(resolve))
      if (response.destroyed) return this.#next()
      if (this.sharded && !this.holds(key)) {
        this.#next()
        return refuse(421)
      }
    }
    const run = { key }
    this.#running.add(run)
    entry.ran = true
    this.note(`server ${this.id} runs ${requestId}`)
    let cut = false
    response.on('close', () => { if (!response.writableFinished) cut = true })
    await new Promise(resolve => setTimeout(resolve, this.work(request, requestId)))
    this.#running.delete(run)
    this.#next()
    entry.endedAt = performance.now()
    entry.end = cut ? 'cut' : 'answered'
    if (cut) return
    const headers = { 'X-Briarsaddle-Request-Id': requestId, 'X-Briarsaddle-Server-Load': this.#load, [signatureHeader]: `signed-by-${this.id}` }
    if (this.answer !== undefined) return this.answer({ request, response, requestId, headers, body: this.bodyOf(requestId, body), entry })
    response.writeHead(200, headers).end(this.bodyOf(requestId, body))
  }

  #next () { this.#waiting.shift()?.() }
}
