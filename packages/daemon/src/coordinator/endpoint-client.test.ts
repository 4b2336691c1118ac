import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import { createServer as createRawServer, type AddressInfo } from 'node:net'
import { expect } from 'chai'
import { errorCode } from '@briarsaddle/common'
import { EndpointClient, failedBeforeWrite, type EndpointRequest } from './endpoint-client.js'

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

  it('does not write a request whose lease expired while it waited for a connection, so that a VM that was paused sends nothing afterwards', async () => {
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

describe('EndpointClient with an endless answer', () => {
  const head = 'HTTP/1.1 200 OK\r\n'
  const parts: Readonly<Record<string, readonly [beginning: string, repeated: string]>> = {
    'a status line': ['HTTP/1.1 200 ', 'x'],
    'interim answers': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
    'blanks in a header': [`${head}X-Filler:`, ' '],
    'a body without a length': [`${head}Connection: close\r\n\r\n`, 'x'],
    'chunks of one byte': [`${head}Transfer-Encoding: chunked\r\n\r\n`, '1\r\nx\r\n'],
    'a chunk extension': [`${head}Transfer-Encoding: chunked\r\n\r\n1;`, 'x']
  }
  const callMilliseconds = 5_000
  // The answer passes the limit within milliseconds; the rest allows for a busy machine.
  const promptMilliseconds = 2_500

  for (const [part, [beginning, repeated]] of Object.entries(parts)) {
    // Guards against reading an endless answer, to a request or to a control call, until the deadline.
    it(`closes the connection at the limit when the endpoint sends ${part}`, async () => {
      const block = repeated.repeat(Math.ceil(65_536 / repeated.length))
      const closed: number[] = []
      const server = createRawServer(socket => {
        const send = (): void => { if (!socket.destroyed) socket.write(block, () => setImmediate(send)) }
        socket.on('error', () => {}).on('close', () => { closed.push(performance.now()) }).once('data', () => {
          socket.write(beginning)
          send()
        })
      }).listen(0, '127.0.0.1')
      await once(server, 'listening')
      const client = new EndpointClient({ id: 'ponds-1', pool: 'ponds', dataCentre: 'dc-a', host: '127.0.0.1', port: (server.address() as AddressInfo).port, checks: false }, { coordinatorName: 'vm-1', maximumConnections: 2, maximumAnswerBytes: 100_000 })
      const startedAt = performance.now()
      const failure = await client.send({ method: 'POST', target: '/', headers: [], body: Buffer.from('order'), signal: AbortSignal.timeout(callMilliseconds), mayWrite: () => true }).then(() => undefined, (error: unknown) => error)
      expect(errorCode(failure)).to.equal('answer_too_large')
      expect(failedBeforeWrite(failure)).to.equal(false)
      expect(await client.hello({ offset: 1, provisional: 0 }, callMilliseconds).then(() => 'answered', errorCode)).to.equal('endpoint_unreachable')
      while (closed.length < 2 && performance.now() - startedAt < promptMilliseconds) await new Promise(resolve => setTimeout(resolve, 5))
      expect(closed).to.have.length(2)
      expect(performance.now() - startedAt).to.be.lessThan(promptMilliseconds)
      await client.destroy()
      server.close()
    }).timeout(20_000)
  }
})
