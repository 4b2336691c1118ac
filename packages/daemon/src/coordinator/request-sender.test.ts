import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { MonotonicClock, delay } from '@briarsaddle/common'
import { Forward, Outcome, type Answer } from '@briarsaddle/protocol'
import { expect } from 'chai'
import { EndpointClient } from './endpoint-client.js'
import type { GrantKeeper } from './grant-keeper.js'
import { RequestSender } from './request-sender.js'

// As much of a grant keeper as the sender reads.
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

  // The second sending was cut off within milliseconds, and a request that had not run got the outcome "unknown".
  it('does not send again what the endpoint refused because its deadline had passed', async () => {
    const sender = await start({ 'briarsaddle-not-run': 'deadline-past' })
    const forward = Forward.create({ requestId: 'r', method: 'POST', target: '/dispatches', bucket: -1 })
    const answer = await sender.send(forward, -1, performance.now() + 1_000, new AbortController().signal)
    expect(answer).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'deadline_passed' })
    expect(received).to.equal(1)
  })

  it('sends again what the endpoint shed, since its slots may be free a moment later', async () => {
    const sender = await start({ 'briarsaddle-not-run': 'shed' })
    const forward = Forward.create({ requestId: 'r', method: 'POST', target: '/dispatches', bucket: -1 })
    const answer = await sender.send(forward, -1, performance.now() + 1_000, new AbortController().signal)
    expect(answer).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'endpoint_shed' })
    expect(received).to.equal(4)
  })

  // Coarse timers of the HTTP client fired up to 0.5 s early, depending on when the request began.
  it('waits for an answer until the deadline, whenever the request began', async () => {
    const sender = await start({}, 1_300)
    const answers: Array<Promise<Answer>> = []
    for (let index = 0; index < 8; index++) {
      const forward = Forward.create({ requestId: `r${index}`, method: 'POST', target: '/dispatches', bucket: -1 })
      answers.push(sender.send(forward, -1, performance.now() + 1_490, new AbortController().signal))
      await delay(70)
    }
    for (const answer of answers) expect(await answer).to.include({ outcome: Outcome.OUTCOME_ANSWERED, status: 200 })
  })

  it('gives up at the deadline, also while the answer is being read (callers that hang)', async () => {
    const sender = await start({ 'content-length': '5' })
    const forward = Forward.create({ requestId: 'r', method: 'POST', target: '/dispatches', bucket: -1 })
    const answer = await sender.send(forward, -1, performance.now() + 100, new AbortController().signal)
    expect(answer).to.include({ outcome: Outcome.OUTCOME_UNKNOWN, reason: 'deadline_passed' })
  })
})
