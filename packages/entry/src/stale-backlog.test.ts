import { expect } from 'chai'
import { once } from 'node:events'
import { connect } from 'node:net'
import { delay, ManualClock, MonotonicClock } from '@briarsaddle/common'
import { EntryServer } from './entry-server.js'
import { CallerRequestHandler, type CallerAnswer, type CallerRequest } from './request-handler.js'
import { StaleBacklog } from './stale-backlog.js'

const workMilliseconds = 10
const answer: CallerAnswer = { status: 200, headers: [{ name: 'Content-Length', value: '2' }], body: Buffer.from('ok') }

function spin (milliseconds: number): void {
  const until = performance.now() + milliseconds
  while (performance.now() < until) { /* The work of a request. */ }
}

/** Takes some milliseconds of processor time to read and check a request, and to refuse it. */
class CostlyHandler extends CallerRequestHandler<CallerRequest> {
  accepted = 0

  override accept (request: CallerRequest): CallerRequest {
    this.accepted++
    spin(workMilliseconds)
    return request
  }

  override async route (): Promise<CallerAnswer> { return answer }
  override refusal (): CallerAnswer { return { ...answer, status: 503 } }
  override unknownOutcome (): CallerAnswer { return { ...answer, status: 504 } }
}

describe('EntryServer, with a backlog of connections whose callers have gone', () => {
  const stale = 300

  // Guards against a full VM that works only for callers who have given up, while the others wait behind them until they give up too (SHORT).
  it('closes them unread, and soon serves a caller that comes again', async () => {
    const handler = new CostlyHandler()
    const server = new EntryServer({ host: '127.0.0.1', port: 0, maximumHeaderBytes: 8_192, maximumBodyBytes: 1_000, maximumCallerConnections: 1_000, clock: new MonotonicClock() }, handler)
    const port = await server.listen()
    const call = (): ReturnType<typeof connect> => {
      const socket = connect(port, '127.0.0.1')
      socket.on('error', () => {})
      socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
      return socket
    }
    const sockets = Array.from({ length: stale }, call)
    // The connections are established and the requests sent before the event loop accepts more than a few of them.
    for (const socket of sockets) socket.once('connect', () => setImmediate(() => socket.destroy()))
    spin(20)
    const startedAt = performance.now()
    let answered = false
    while (!answered) {
      const socket = call()
      answered = await Promise.race([once(socket, 'data').then(() => true, () => false), once(socket, 'close').then(() => false)])
      socket.destroy()
      if (performance.now() - startedAt > 10_000) throw new Error('not answered')
    }
    expect(performance.now() - startedAt).to.be.lessThan(stale * workMilliseconds / 2)
    expect(handler.accepted).to.be.lessThan(stale / 2)
    await delay(50)
    expect(server.refusedConnections).to.equal(0)
    await server.stop(0)
  })
})

describe('StaleBacklog', () => {
  it('closes no connections while most callers wait for their answers', async () => {
    const changes: boolean[] = []
    const backlog = new StaleBacklog(new ManualClock(), { setClosing: closing => changes.push(closing) })
    for (let index = 0; index < 200; index++) backlog.observe(index % 3 === 0)
    expect(changes).to.deep.equal([])
  })

  it('accepts connections again once none arrive, and after some time at the latest', async () => {
    const clock = new ManualClock()
    const changes: boolean[] = []
    const backlog = new StaleBacklog(clock, { setClosing: closing => changes.push(closing) })
    const goneCallers = (): void => { for (let index = 0; index < 8; index++) backlog.observe(true) }
    goneCallers()
    expect(changes).to.deep.equal([true])
    await delay(20)
    expect(changes).to.deep.equal([true, false])
    goneCallers()
    for (let iteration = 0; iteration < 20; iteration++) {
      backlog.discarded()
      clock.advance(100)
      await new Promise(resolve => setImmediate(resolve))
    }
    expect(changes.slice(0, 4)).to.deep.equal([true, false, true, false])
  })
})
