import { expect } from 'chai'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { delay, MonotonicClock } from '@briarsaddle/common'
import { EntryServer, type EntryServerOptions } from './entry-server.js'
import { CallerRequestHandler, type CallerAnswer, type CallerRequest } from './request-handler.js'

// The former fits into the buffers of the kernel, the latter does not.
const largeBytes = 1_000_000
const hugeBytes = 16_000_000

function answerTo (name: string, status = 200): CallerAnswer {
  return { status, headers: [{ name: 'Content-Length', value: String(name.length) }, { name: 'Answer-To', value: name }], body: Buffer.from(name) }
}

function answerOf (name: string, bytes: number): CallerAnswer {
  return { status: 200, headers: [{ name: 'Content-Length', value: String(bytes) }, { name: 'Answer-To', value: name }], body: Buffer.alloc(bytes, 'x') }
}

/** Answers `/NAME-MILLISECONDS` after that time. The answer to a request of `unframed` ends with the connection where that is allowed. */
class TimedHandler extends CallerRequestHandler<CallerRequest> {
  readonly routed: string[] = []
  cancelled = 0

  override accept (request: CallerRequest): CallerRequest { return request }

  override async route ({ target }: CallerRequest, _body: Buffer, signal: AbortSignal, mayEndConnection?: () => boolean): Promise<CallerAnswer> {
    const [name = '', milliseconds] = target.slice(1).split('-')
    this.routed.push(name)
    signal.addEventListener('abort', () => { this.cancelled++ })
    await delay(Number(milliseconds ?? 0), signal)
    if (name.startsWith('large')) return answerOf(name, largeBytes)
    if (name.startsWith('empty')) return answerOf(name, 0)
    if (name.startsWith('huge')) return answerOf(name, hugeBytes)
    if (!name.startsWith('unframed')) return answerTo(name)
    if (!name.endsWith('.unasked') && mayEndConnection?.() === false) return answerTo(name, 502)
    return { status: 200, headers: [{ name: 'Answer-To', value: name }], body: Buffer.from(name), endsWithConnection: true }
  }

  override refusal (reason: string): CallerAnswer { return answerTo(reason, 503) }
  override unknownOutcome (reason: string): CallerAnswer { return answerTo(reason, 502) }
}

/** One connection of a caller, which may send requests before earlier ones have been answered. */
class Caller {
  readonly socket: Socket
  received = ''
  closed = false

  constructor (port: number) {
    this.socket = connect(port, '127.0.0.1')
    this.socket.on('data', data => { this.received += data.toString('latin1') })
    this.socket.on('error', () => {})
    this.socket.on('close', () => { this.closed = true })
  }

  send (...targets: readonly string[]): void {
    this.socket.write(targets.map(target => `GET /${target} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''))
  }

  /** Names of the requests that were answered, each with its status. */
  get answers (): readonly string[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d+) [^\r]*\r\n(?:[^\r]+\r\n)*?Answer-To: (\S+)\r\n/gi)].map(([, status, name]) => `${name} ${status}`)
  }
}

async function waitFor (condition: () => boolean, milliseconds: number): Promise<void> {
  const until = performance.now() + milliseconds
  while (!condition() && performance.now() < until) await delay(5)
}

describe('EntryServer, with requests that are sent one behind the other', () => {
  let handler: TimedHandler
  let server: EntryServer<CallerRequest>
  let port: number

  async function start (options: Partial<EntryServerOptions> = {}): Promise<Caller> {
    handler = new TimedHandler()
    server = new EntryServer({ host: '127.0.0.1', port: 0, maximumHeaderBytes: 8_192, maximumBodyBytes: 1_000, maximumCallerConnections: 50, clock: new MonotonicClock(), ...options }, handler)
    port = await server.listen()
    return await open()
  }

  async function open (): Promise<Caller> {
    const caller = new Caller(port)
    await once(caller.socket, 'connect')
    return caller
  }

  async function closed (caller: Caller): Promise<void> {
    if (!caller.closed) await once(caller.socket, 'close')
  }

  afterEach(async () => await server.stop(0))

  // Guards against requests that are passed on and cut off at a planned stop, because a ready answer behind a slow one already says
  // that the connection closes (LOST, review case 2).
  it('answers all that it has passed on when it stops, and closes with the last answer', async () => {
    const caller = await start()
    caller.send('slow-200', 'ready-1')
    const stopped = server.stop(2_000, 1_000)
    await delay(50)
    caller.send('later-10')
    await closed(caller)
    await stopped
    expect(handler.routed).to.deep.equal(['slow', 'ready', 'later'])
    expect(caller.answers).to.deep.equal(['slow 200', 'ready 200', 'later 200'])
    expect(caller.received.match(/connection: close/gi)).to.have.length(1)
  })

  // The same with many callers that send on and on, as in a planned stop under load.
  it('answers all that it has passed on when it stops while callers go on sending, and ends in time', async function () {
    this.timeout(10_000)
    const callers = [await start()]
    while (callers.length < 12) callers.push(await open())
    let next = 0
    const sender = setInterval(() => {
      for (const caller of callers) if (!caller.closed) caller.send(`r${next++}-${next % 10 === 0 ? 300 : 10 + next % 50}`)
    }, 25)
    await delay(500)
    const startedAt = performance.now()
    await server.stop(2_000, 600)
    const milliseconds = performance.now() - startedAt
    clearInterval(sender)
    await Promise.all(callers.map(closed))
    const answered = new Set(callers.flatMap(caller => caller.answers).filter(text => text.endsWith(' 200')).map(text => text.slice(0, -4)))
    expect(handler.routed.filter(name => !answered.has(name))).to.deep.equal([])
    expect(handler.routed.length).to.be.greaterThan(300)
    expect(milliseconds).to.be.lessThan(1_500)
  })

  // Guards against answers that are dropped behind one that ends with the connection (LOST, review case 3).
  it('does not end the connection with an answer while requests behind it have been passed on', async () => {
    const caller = await start()
    caller.send('unframed-50', 'behind-100')
    await waitFor(() => caller.answers.length === 2, 2_000)
    expect(caller.answers).to.deep.equal(['unframed 502', 'behind 200'])
    caller.send('next-1')
    await waitFor(() => caller.answers.at(-1) === 'next 200', 2_000)
    expect(caller.answers.at(-1)).to.equal('next 200')
  })

  it('does not let a handler end the connection without asking', async () => {
    const caller = await start()
    caller.send('unframed.unasked-50', 'behind-100')
    await waitFor(() => caller.answers.length === 2, 2_000)
    expect(caller.answers).to.deep.equal(['length_unknown 502', 'behind 200'])
  })

  it('does not run requests that arrive after it is decided that an answer ends the connection', async () => {
    const caller = await start()
    caller.send('slow-200', 'unframed-50')
    await delay(120)
    caller.send('crossing-1')
    await closed(caller)
    expect(caller.answers).to.deep.equal(['slow 200', 'unframed 200'])
    expect(handler.routed).to.deep.equal(['slow', 'unframed'])
  })

  // Guards against answers that are dropped because a later request on the connection cannot be read (LOST).
  for (const [what, bytes] of [
    ['is malformed', 'BAD BAD BAD\r\n\r\n'],
    ['has too large a head', `GET /x HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(20_000)}\r\n\r\n`],
    ['is for a tunnel', 'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n'],
    ['has no host', 'GET /nohost HTTP/1.1\r\n\r\n'],
    ['has a malformed body', 'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n']
  ] as const) {
    it(`answers the requests before one that ${what}, then refuses that one`, async () => {
      const caller = await start()
      caller.send('slow-150', 'ready-1')
      caller.socket.write(bytes)
      await waitFor(() => caller.answers.length === 3, 2_000)
      expect(caller.answers.slice(0, 2)).to.deep.equal(['slow 200', 'ready 200'])
      expect(caller.answers[2]).to.match(/ 503$/)
      expect(handler.routed).to.deep.equal(['slow', 'ready'])
    })
  }

  it('answers the requests before one that does not arrive in time', async function () {
    this.timeout(10_000)
    const caller = await start({ headersMilliseconds: 500 })
    caller.send('slow-3000')
    caller.socket.write('GET /half HTTP/1.1\r\n')
    await closed(caller)
    expect(caller.answers).to.deep.equal(['slow 200', 'request_timeout 503'])
  })

  it('answers the requests before one that asks for a close, and ignores what is sent after it', async () => {
    const caller = await start()
    caller.send('slow-150')
    caller.socket.write('GET /last-1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /more-1 HTTP/1.1\r\nHost: a\r\n\r\n')
    await closed(caller)
    expect(caller.answers).to.deep.equal(['slow 200', 'last 200'])
  })

  it('answers the requests before one whose body is too large, and does not run those behind it', async () => {
    const caller = await start()
    caller.send('slow-150')
    caller.socket.write(`POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n${'x'.repeat(1_000)}`)
    await delay(50)
    caller.socket.write('x'.repeat(1_000))
    caller.send('behind-1')
    await closed(caller)
    expect(caller.answers).to.deep.equal(['slow 200', 'body_too_large 503'])
    expect(handler.routed).to.deep.equal(['slow'])
  })

  // Guards against the end of an answer that is cut off by a planned stop while it is sent, with those behind it (LOST).
  it('sends the rest of an answer, and those behind it, when a stop begins while a caller reads slowly', async function () {
    this.timeout(10_000)
    const caller = await start()
    caller.socket.pause()
    caller.send('huge-1', 'behind-400')
    await delay(100)
    const stopped = server.stop(3_000, 100)
    await delay(300)
    caller.socket.resume()
    await closed(caller)
    await stopped
    expect(caller.answers).to.deep.equal(['huge 200', 'behind 200'])
  })

  // Guards against work that goes on for callers that have left (GONE), and a stop that waits for them.
  it('cancels all requests of a connection that is reset, and forgets them', async () => {
    const caller = await start()
    caller.send('slow-2000', 'slow-2000', 'slow-2000')
    await waitFor(() => handler.routed.length === 3, 2_000)
    caller.socket.resetAndDestroy()
    await waitFor(() => handler.cancelled === 3, 500)
    expect(handler.cancelled).to.equal(3)
    await waitFor(() => server.inFlight === 0, 500)
    expect(server.inFlight).to.equal(0)
    expect(server.unreadBytes).to.equal(0)
  })

  // Guards against a connection that is taken for one whose caller does not read, because an answer waits for an earlier one.
  it('keeps a connection on which an answer waits longer for an earlier one than callers may take to read', async function () {
    this.timeout(10_000)
    const caller = await start({ unreadMilliseconds: 500 })
    caller.send('slow-2500', 'ready-1')
    await waitFor(() => caller.answers.length === 2, 4_000)
    expect(caller.answers).to.deep.equal(['slow 200', 'ready 200'])
  })

  // Guards against memory that answers hold while they wait for an earlier one, which no limit counts.
  it('counts answers that wait, and reads no further requests of their connection', async () => {
    const caller = await start()
    caller.send('slow-1000', 'large-1')
    await waitFor(() => server.unreadBytes > 0, 1_000)
    expect(server.unreadBytes).to.equal(largeBytes)
    caller.send('later-1')
    await delay(200)
    expect(handler.routed).to.deep.equal(['slow', 'large'])
    await waitFor(() => caller.answers.length === 3, 3_000)
    expect(caller.answers).to.deep.equal(['slow 200', 'large 200', 'later 200'])
  })

  // Guards against memory that requests without an answer hold, without a limit for one connection.
  it('reads no further requests while many of a connection are open, and answers all in the end', async function () {
    this.timeout(10_000)
    const caller = await start()
    const requests = 10_000
    const readBytes = 65_536
    const requestBytes = 'GET /empty-300 HTTP/1.1\r\nHost: a\r\n\r\n'.length
    caller.send(...Array.from({ length: requests }, () => 'empty-300'))
    await waitFor(() => handler.routed.length > 0, 2_000)
    await delay(200)
    expect(handler.routed.length).to.be.within(1, 100 + Math.ceil(readBytes / requestBytes))
    await waitFor(() => handler.routed.length === requests, 8_000)
    await waitFor(() => caller.answers.length === requests, 2_000)
    expect(caller.answers).to.have.length(requests)
  })

  // Guards against answers that the caller loses because the connection is closed, and thereby reset, while it still sends.
  it('sends the last answer completely to a caller that reads slowly and goes on sending', async () => {
    const caller = await start()
    caller.socket.write('GET /large-50 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n')
    await delay(20)
    caller.socket.pause()
    const sender = setInterval(() => caller.send('more-1'), 5)
    await delay(300)
    caller.socket.resume()
    await closed(caller)
    clearInterval(sender)
    expect(caller.answers).to.deep.equal(['large 200'])
    expect(caller.received.slice(caller.received.indexOf('\r\n\r\n') + 4)).to.have.length(largeBytes)
  })
})
