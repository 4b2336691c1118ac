import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { MonotonicClock } from '@briarsaddle/common'
import { Forward, Outcome } from '@briarsaddle/protocol'
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

  async function start (notRunReason: string): Promise<RequestSender> {
    received = 0
    server = createServer((request, response) => {
      received++
      request.resume()
      response.writeHead(409, { 'briarsaddle-not-run': notRunReason }).end()
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    client = new EndpointClient({ id: 'e1', pool: 'dispatch', dataCentre: 'a', host: '127.0.0.1', port, checks: true }, { coordinatorName: 'vm1', maximumConnections: 2, maximumAnswerBytes: 1_000 })
    return new RequestSender({ client, grants, clock: new MonotonicClock(), coordinatorName: 'vm1' })
  }

  afterEach(async () => {
    await client.destroy()
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  })

  // The second sending was cut off within milliseconds, and a request that had not run got the outcome "unknown".
  it('does not send again what the endpoint refused because its deadline had passed', async () => {
    const sender = await start('deadline-past')
    const forward = Forward.create({ requestId: 'r', method: 'POST', target: '/dispatches', bucket: -1 })
    const answer = await sender.send(forward, -1, performance.now() + 1_000, new AbortController().signal)
    expect(answer).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'deadline_passed' })
    expect(received).to.equal(1)
  })

  it('sends again what the endpoint shed, since its slots may be free a moment later', async () => {
    const sender = await start('shed')
    const forward = Forward.create({ requestId: 'r', method: 'POST', target: '/dispatches', bucket: -1 })
    const answer = await sender.send(forward, -1, performance.now() + 1_000, new AbortController().signal)
    expect(answer).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'endpoint_shed' })
    expect(received).to.equal(4)
  })
})
