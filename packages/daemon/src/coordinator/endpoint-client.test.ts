import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { errorCode } from '@briarsaddle/common'
import { EndpointClient, type EndpointRequest } from './endpoint-client.js'

describe('EndpointClient', () => {
  let server: Server
  let client: EndpointClient
  let received = 0

  beforeEach(async () => {
    received = 0
    server = createServer((_request, response) => { received += 1; response.end('done') }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    const description = { id: 'ponds-1', pool: 'ponds', dataCentre: 'dc-a', host: '127.0.0.1', port: (server.address() as AddressInfo).port, checks: false }
    client = new EndpointClient(description, { coordinatorName: 'vm-1', maximumConnections: 2, maximumAnswerBytes: 1000 })
  })

  afterEach(async () => {
    await client.destroy()
    server.close()
  })

  it('does not write a request whose right expired while it waited for a connection, so that a VM that was paused sends nothing late', async () => {
    let holds = true
    const request: EndpointRequest = { method: 'POST', target: '/', headers: [], body: Buffer.from('order'), signal: new AbortController().signal, mayWrite: () => holds }
    const late = client.send(request).then(() => 'sent', errorCode)
    holds = false
    expect(await late).to.equal('write_denied')
    expect(received).to.equal(0)
    holds = true
    expect((await client.send(request)).status).to.equal(200)
    expect(received).to.equal(1)
  })
})
