// Compares the routes that a request can take between caller and endpoint; see section 4 of the design page.
// Prints one JSON line per measurement, then a Markdown table. Every role runs in its own process on loopback.
import { fork } from 'node:child_process'
import { once } from 'node:events'
import { Agent, createServer, request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import { fileURLToPath } from 'node:url'
import { parseArgs } from 'node:util'
import { Server, ServerCredentials, credentials, makeGenericClientConstructor } from '@grpc/grpc-js'
import { Answer, ControlHandler, Forward, FrameHandler, InnerServer, Outcome, PeerClient } from '../dist/index.js'

const requestDeadlineMilliseconds = 10_000
const host = '127.0.0.1'

const unaryService = {
  run: {
    path: '/briarsaddle.bench.Unary/Run',
    requestStream: false,
    responseStream: false,
    requestSerialize: value => Buffer.from(Forward.encode(value).finish()),
    requestDeserialize: value => Forward.decode(value),
    responseSerialize: value => Buffer.from(Answer.encode(value).finish()),
    responseDeserialize: value => Answer.decode(value)
  }
}

class BenchFrames extends FrameHandler {
  constructor (port) {
    super()
    this.endpoint = new HttpEndpoint(port)
  }

  async forward (forward) { return await this.endpoint.send(forward) }
  async journal (journal) { return { id: journal.id, complete: true } }
}

class BenchControl extends ControlHandler {}

/** Sends requests to an endpoint over keep-alive connections. */
class HttpEndpoint {
  constructor (port) {
    this.port = port
    this.agent = new Agent({ keepAlive: true, maxSockets: 100 })
  }

  async send ({ method, target }) {
    return await new Promise((resolve, reject) => {
      const request = httpRequest({ host, port: this.port, method, path: target, agent: this.agent }, response => {
        const chunks = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('end', () => resolve(Answer.create({ outcome: Outcome.OUTCOME_ANSWERED, status: response.statusCode, body: Buffer.concat(chunks) })))
      })
      request.on('error', reject)
      request.end()
    })
  }
}

function createForward (request) {
  return Forward.create({ requestId: 'bench', endpoint: 'e', bucket: 1, key: '1', deadlineMilliseconds: requestDeadlineMilliseconds, method: request.method, target: request.url })
}

async function listenHttp (answer) {
  const server = createServer(async (request, response) => {
    const { status, body } = await answer(request)
    response.writeHead(status, { 'Content-Length': body.length })
    response.end(body)
  })
  server.listen(0, host)
  await once(server, 'listening')
  return server.address().port
}

async function listenUnary (endpointPort) {
  const endpoint = new HttpEndpoint(endpointPort)
  const server = new Server()
  server.addService(unaryService, { run: (call, callback) => { endpoint.send(call.request).then(answer => callback(null, answer), callback) } })
  return await new Promise((resolve, reject) => server.bindAsync(`${host}:0`, ServerCredentials.createInsecure(), (error, port) => error === null ? resolve(port) : reject(error)))
}

function unaryClient (port) {
  const Client = makeGenericClientConstructor(unaryService, 'Unary')
  const client = new Client(`${host}:${port}`, credentials.createInsecure())
  return async forward => await new Promise((resolve, reject) => client.run(forward, (error, answer) => error === null ? resolve(answer) : reject(error)))
}

/** Sends requests over `connections` connections, one at a time on each. Measures for `seconds` after a warm-up of 1 s. */
async function load ({ port, seconds, connections }) {
  const latencies = []
  let counting = false
  const sockets = await Promise.all(Array.from({ length: connections }, async () => {
    const socket = connect(port, host)
    await once(socket, 'connect')
    let sentAt = 0
    let received = ''
    const send = () => {
      sentAt = performance.now()
      socket.write('GET /ponds/1 HTTP/1.1\r\nHost: bench\r\n\r\n')
    }
    socket.on('data', chunk => {
      received += chunk.toString('latin1')
      const headEnd = received.indexOf('\r\n\r\n')
      if (headEnd < 0) return
      const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0)
      if (received.length < headEnd + 4 + length) return
      if (!received.startsWith('HTTP/1.1 200')) throw new Error(`unexpected answer: ${received}`)
      received = ''
      if (counting) latencies.push(performance.now() - sentAt)
      send()
    })
    send()
    return socket
  }))
  await new Promise(resolve => setTimeout(resolve, 1_000))
  counting = true
  const begunAt = performance.now()
  await new Promise(resolve => setTimeout(resolve, seconds * 1_000))
  const elapsedSeconds = (performance.now() - begunAt) / 1_000
  for (const socket of sockets) socket.destroy()
  latencies.sort((one, other) => one - other)
  const percentile = share => Number(latencies[Math.floor(latencies.length * share)].toFixed(2))
  return { requestsPerSecond: Math.round(latencies.length / elapsedSeconds), medianMilliseconds: percentile(0.5), p99Milliseconds: percentile(0.99) }
}

const roles = {
  endpoint: async () => await listenHttp(async () => ({ status: 200, body: Buffer.from('ok') })),
  proxy: async ({ port }) => {
    const endpoint = new HttpEndpoint(port)
    return await listenHttp(async request => await endpoint.send(createForward(request)))
  },
  unaryCoordinator: async ({ port }) => await listenUnary(port),
  unaryEntry: async ({ port }) => {
    const run = unaryClient(port)
    return await listenHttp(async request => await run(createForward(request)))
  },
  streamCoordinator: async ({ port }) => await new InnerServer({ host, port: 0 }, new BenchFrames(port), new BenchControl()).listen(),
  streamEntry: async ({ port }) => {
    const client = new PeerClient(`${host}:${port}`)
    return await listenHttp(async request => {
      const answer = await client.forward(createForward(request))
      return answer.outcome === Outcome.OUTCOME_ANSWERED ? answer : { status: 503, body: Buffer.from(answer.reason) }
    })
  },
  load
}

const ways = [
  ['direct', []],
  ['one HTTP proxy hop', ['proxy']],
  ['two hops, unary call per request', ['unaryCoordinator', 'unaryEntry']],
  ['two hops, one stream', ['streamCoordinator', 'streamEntry']]
]

async function start (role, options, children) {
  const child = fork(fileURLToPath(import.meta.url), ['--role', role])
  children.push(child)
  child.send(options)
  const [message] = await once(child, 'message')
  return message.result
}

async function measure (hops, options) {
  const children = []
  try {
    let port = await start('endpoint', {}, children)
    for (const role of hops) port = await start(role, { port }, children)
    return await start('load', { ...options, port }, children)
  } finally {
    await Promise.all(children.map(async child => {
      child.disconnect()
      await once(child, 'exit')
    }))
  }
}

async function main ({ seconds, connections, rounds }) {
  const results = []
  for (let round = 1; round <= rounds; round++) {
    for (const [name, hops] of ways) {
      const result = { way: name, round, connections, seconds, ...await measure(hops, { seconds, connections }) }
      results.push(result)
      console.log(JSON.stringify(result))
    }
  }
  console.log('\n| way | round | requests/s | median ms | p99 ms |\n| --- | --- | --- | --- | --- |')
  for (const { way, round, requestsPerSecond, medianMilliseconds, p99Milliseconds } of results) {
    console.log(`| ${way} | ${round} | ${requestsPerSecond} | ${medianMilliseconds} | ${p99Milliseconds} |`)
  }
}

const { values } = parseArgs({
  options: {
    role: { type: 'string' },
    seconds: { type: 'string', default: '5' },
    connections: { type: 'string', default: '50' },
    rounds: { type: 'string', default: '2' }
  }
})

if (values.role === undefined) {
  await main({ seconds: Number(values.seconds), connections: Number(values.connections), rounds: Number(values.rounds) })
} else {
  process.once('disconnect', () => process.exit())
  process.once('message', async options => process.send({ result: await roles[values.role](options) }))
}
