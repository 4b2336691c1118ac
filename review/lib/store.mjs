// Stand-in for the platform's store: keyed topics with conditional appends, waiting reads and one consumer group.
import { createServer } from 'node:http'

const lengthBytes = 4
const partsOfTopic = 12

function frame (content) {
  const length = Buffer.alloc(lengthBytes)
  length.writeUInt32BE(content.length)
  return Buffer.concat([length, content])
}

function keyedContent (key, value) {
  return Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value])
}

function parseKeyed (content) {
  const keyLength = content[0]
  return { key: content.subarray(1, 1 + keyLength).toString(), value: content.subarray(1 + keyLength) }
}

async function readAll (request) {
  const parts = []
  for await (const part of request) parts.push(part)
  return Buffer.concat(parts)
}

/** The store. It loses nothing that it has acknowledged, and answers in the order of its log. */
export class Store {
  #topics = new Map()
  #members = new Map()
  #groupTopics = []
  #generation = 0
  /** Milliseconds that the store waits before it handles a call. */
  delayMilliseconds = 2
  #listeners = []

  /** Listens on one more address. */
  async listen (host, port) {
    const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      this.#handle(request, response).catch(() => response.destroy())
    })
    this.#listeners.push(server)
    await new Promise(resolve => server.listen(port, host, resolve))
  }

  close () {
    for (const server of this.#listeners) {
      server.closeAllConnections()
      server.close()
    }
  }

  /** Appends a record as the operator or a server would. */
  put (topicName, key, value) {
    this.#add(this.#topic(topicName), keyedContent(key, value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))))
  }

  /** Returns the newest value of a key as text. */
  value (topicName, key) {
    return this.#topic(topicName).newest.get(key)?.value.toString()
  }

  #topic (name) {
    let topic = this.#topics.get(name)
    if (topic === undefined) this.#topics.set(name, topic = { records: [], newest: new Map(), waiters: new Set() })
    return topic
  }

  #add (topic, content) {
    const { key, value } = parseKeyed(content)
    if (value.length > 0) topic.newest.set(key, { value, offset: topic.records.length })
    else topic.newest.delete(key)
    topic.records.push(content)
    for (const wake of [...topic.waiters]) wake()
  }

  async #handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const body = await readAll(request)
    await new Promise(resolve => setTimeout(resolve, this.delayMilliseconds))
    const answer = await this.#call(url, body, response)
    if (Buffer.isBuffer(answer.body)) response.writeHead(answer.status).end(answer.body)
    else this.#send(response, answer.status, answer.body)
  }

  #send (response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  }

  async #call (url, body, response) {
    const query = url.searchParams
    const topic = this.#topic(query.get('topic') ?? '')
    if (url.pathname === '/log-append') return this.#append(topic, query, body)
    if (url.pathname === '/log-read') return await this.#read(topic, query, response)
    if (url.pathname === '/log-newest') return this.#newest(topic)
    if (url.pathname === '/log-owners') return { status: 200, body: { owners: this.#assignments().map(({ topic, part, member }) => [topic, part, member, 0]) } }
    if (url.pathname === '/log-join') return this.#join(JSON.parse(body.toString()))
    if (url.pathname === '/log-leave') {
      if (this.#members.delete(JSON.parse(body.toString()).member)) this.#generation++
      return { status: 200, body: {} }
    }
    return { status: 404, body: {} }
  }

  #append (topic, query, body) {
    const expected = query.get('asOf')
    if (expected !== null && Number(expected) !== topic.records.length) return { status: 412, body: { end: topic.records.length } }
    const offset = topic.records.length
    for (let at = 0; at + lengthBytes <= body.length;) {
      const end = at + lengthBytes + body.readUInt32BE(at)
      this.#add(topic, body.subarray(at + lengthBytes, end))
      at = end
    }
    return { status: 200, body: { offset, end: topic.records.length } }
  }

  async #read (topic, query, response) {
    const from = Number(query.get('from'))
    if (from > topic.records.length) return { status: 410, body: { first: 0 } }
    const wait = Number(query.get('waitMs') ?? 0)
    if (topic.records.length <= from && wait > 0) {
      await new Promise(resolve => {
        const finish = () => {
          clearTimeout(timer)
          topic.waiters.delete(finish)
          resolve()
        }
        const timer = setTimeout(finish, wait)
        topic.waiters.add(finish)
        response.once('close', finish)
      })
    }
    const head = Buffer.alloc(16)
    head.writeBigUInt64BE(BigInt(topic.records.length), 0)
    return { status: 200, body: Buffer.concat([head, ...topic.records.slice(from).map(frame)]) }
  }

  #newest (topic) {
    const items = [...topic.newest].map(([key, { value, offset }]) => ({ key, value: value.toString('base64'), offset }))
    return { status: 200, body: { items, more: false, end: topic.records.length } }
  }

  #join ({ member, topics, ttl_time: timeToLive }) {
    this.#groupTopics = topics
    this.#expire()
    if (!this.#members.has(member)) this.#generation++
    this.#members.set(member, { at: performance.now(), timeToLive: Number.parseInt(timeToLive) })
    const parts = this.#assignments().filter(row => row.member === member).map(({ topic, part }) => [topic, part, 0])
    return { status: 200, body: { generation: this.#generation, parts } }
  }

  #expire () {
    for (const [name, { at, timeToLive }] of this.#members) {
      if (performance.now() - at <= timeToLive) continue
      this.#members.delete(name)
      this.#generation++
    }
  }

  #assignments () {
    this.#expire()
    const members = [...this.#members.keys()]
    if (members.length === 0) return []
    return this.#groupTopics.flatMap((topic, index) => Array.from({ length: partsOfTopic }, (_, part) => ({ topic, part, member: members[(index * partsOfTopic + part) % members.length] })))
  }
}
