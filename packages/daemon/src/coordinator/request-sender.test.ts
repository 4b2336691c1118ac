import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { MonotonicClock, delay } from '@briarsaddle/common'
import { Forward, lengthUnknown, Outcome, type Answer } from '@briarsaddle/protocol'
import { expect } from 'chai'
import { EndpointClient } from './endpoint-client.js'
import type { GrantKeeper } from './grant-keeper.js'
import { RequestSender } from './request-sender.js'

// The part of a grant keeper that the sender uses.
const grants = { instance: 'i', acceptedToken: { offset: 1, provisional: 0 }, holds: () => true, toEndpointClock: (time: number) => time } as unknown as GrantKeeper

describe('RequestSender', () => {
  let server: Server
  let client: EndpointClient
  let received = 0

  async function start (headers: Readonly<Record<string, string>>, milliseconds = 0): Promise<RequestSender> {
    received = 0
    server = createServer(async (request, response) => {
      received++
      request.resume()
      await delay(milliseconds)
      response.writeHead('briarsaddle-not-run' in headers ? 409 : 200, headers).end()
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    client = new EndpointClient({ id: 'e1', pool: 'dispatch', dataCentre: 'a', host: '127.0.0.1', port, checks: true }, { coordinatorName: 'vm1', maximumConnections: 20, maximumAnswerBytes: 1_000 })
    return new RequestSender({ client, grants, clock: new MonotonicClock(), coordinatorName: 'vm1' })
  }

  afterEach(async () => {
    await client.destroy()
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  })

  // Guards against a part that gets a length and looks whole, when an endpoint crashes within an answer without one.
  it('reports that an answer states no length', async () => {
    const sender = await start({})
    server.removeAllListeners('request').on('request', (_request, response) => response.socket?.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole'))
    const forward = Forward.create({ requestId: 'r', method: 'POST', target: '/dispatches', bucket: -1 })
    const answer = await sender.send(forward, -1, performance.now() + 1_000, new AbortController().signal)
    expect(answer).to.include({ outcome: Outcome.OUTCOME_ANSWERED, status: 200, reason: lengthUnknown })
  })

  // Guards against a second attempt that is aborted within milliseconds and turns "not run" into the outcome "unknown".
  it('does not send a request again that the endpoint refused because its deadline had passed', async () => {
    const sender = await start({ 'briarsaddle-not-run': 'deadline-past' })
    const forward = Forward.create({ requestId: 'r', method: 'POST', target: '/dispatches', bucket: -1 })
    const answer = await sender.send(forward, -1, performance.now() + 1_000, new AbortController().signal)
    expect(answer).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'deadline_passed' })
    expect(received).to.equal(1)
  })

  it('sends a request again that the endpoint shed, because a slot may be free a moment later', async () => {
    const sender = await start({ 'briarsaddle-not-run': 'shed' })
    const forward = Forward.create({ requestId: 'r', method: 'POST', target: '/dispatches', bucket: -1 })
    const answer = await sender.send(forward, -1, performance.now() + 1_000, new AbortController().signal)
    expect(answer).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'endpoint_shed' })
    expect(received).to.equal(4)
  })

  // Guards against the coarse timers of the HTTP client, which fired up to 0.5 s early, depending on when the request started.
  it('waits for an answer until the deadline, whenever the request started', async () => {
    const sender = await start({}, 1_300)
    const answers: Array<Promise<Answer>> = []
    for (let index = 0; index < 8; index++) {
      const forward = Forward.create({ requestId: `r${index}`, method: 'POST', target: '/dispatches', bucket: -1 })
      answers.push(sender.send(forward, -1, performance.now() + 1_490, new AbortController().signal))
      await delay(70)
    }
    for (const answer of answers) expect(await answer).to.include({ outcome: Outcome.OUTCOME_ANSWERED, status: 200 })
  })

  it('aborts a request at its deadline, also while the answer is being read, so that callers do not hang', async () => {
    const sender = await start({ 'content-length': '5' })
    const forward = Forward.create({ requestId: 'r', method: 'POST', target: '/dispatches', bucket: -1 })
    const answer = await sender.send(forward, -1, performance.now() + 100, new AbortController().signal)
    expect(answer).to.include({ outcome: Outcome.OUTCOME_UNKNOWN, reason: 'deadline_passed' })
  })
})
