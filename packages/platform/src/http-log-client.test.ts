import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { errorCode } from '@briarsaddle/common'
import { HttpLogClient, type HttpLogClientOptions } from './http-log-client.js'

type Handler = (request: IncomingMessage, response: ServerResponse) => void

describe('HttpLogClient', () => {
  let server: Server
  let client: HttpLogClient

  async function start (handler: Handler, options: Partial<HttpLogClientOptions> = {}): Promise<void> {
    server = createServer(handler)
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    client = new HttpLogClient({ origin, stream: 'control', appendTimeoutMilliseconds: 200, readTimeoutMilliseconds: 200, ...options })
  }

  const answer = (status: number, body: string): Handler => (_request, response) => { response.writeHead(status).end(body) }
  const appendCode = async (signal?: AbortSignal): Promise<string> => await client.append('{}', signal).then(() => 'appended', errorCode)
  const readCode = async (): Promise<string> => await client.read({ from: 0 }).then(() => 'read', errorCode)

  afterEach(async () => {
    await client.close()
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  })

  it('reports a refused connection as not written, so that the record may be appended again', async () => {
    await start(answer(201, '{"offset":1}'))
    await new Promise(resolve => server.close(resolve))
    expect(await appendCode()).to.equal('log_unavailable')
    expect(await readCode()).to.equal('log_unavailable')
  })

  it('reports a connection reset or timeout after the request was sent as unknown, so that a written record is not taken for lost', async () => {
    await start(request => { if (request.url === '/streams/control/records') request.socket.destroy() })
    expect(await appendCode()).to.equal('log_unknown')
    server.removeAllListeners('request')
    expect(await appendCode()).to.equal('log_unknown')
  })

  it('reports an append that was cancelled while it waited for a connection as not written', async () => {
    await start(() => {}, { appendConnections: 1 })
    const first = appendCode()
    expect(await appendCode(AbortSignal.timeout(50))).to.equal('log_unavailable')
    expect(await first).to.equal('log_unknown')
  })

  for (const [status, body, expected] of [
    [201, '{"offset":7}', 'appended'], [429, '{}', 'log_unavailable'], [503, '{}', 'log_unknown'], [201, '{"offset":"7"}', 'log_unknown'], [201, '{', 'log_unknown']
  ] as const) {
    it(`reports an append answered with ${status} ${body} as ${expected}, so that an ambiguous answer is not treated as certain`, async () => {
      await start(answer(status, body))
      expect(await appendCode()).to.equal(expected)
    })
  }

  it('rejects a malformed page, so that no invalid record reaches the control state', async () => {
    await start(answer(200, '{"first":0,"next":1,"records":[{"offset":0}]}'))
    expect(await readCode()).to.equal('log_unavailable')
  })

  it('reports the first retained offset when the requested offset was discarded, so that a reader can find a checkpoint', async () => {
    await start(answer(410, '{"first":42}'))
    const error = await client.read({ from: 3 }).catch((thrown: unknown) => thrown)
    expect(error).to.include({ code: 'log_forgotten', first: 42 })
  })

  it('does not reuse a connection on which a call timed out, so that one timeout is not followed by others', async () => {
    const sockets: unknown[] = []
    await start((request, response) => {
      const goneSilent = request.socket === sockets[0]
      sockets.push(request.socket)
      if (!goneSilent) response.writeHead(201).end('{"offset":1}')
    }, { appendConnections: 1 })
    expect(await appendCode()).to.equal('appended')
    expect(await appendCode()).to.equal('log_unknown')
    expect(await appendCode()).to.equal('appended')
  })

  it('replaces idle read connections after a failed append, because the same fault may have broken them', async () => {
    const connections: unknown[] = []
    await start((request, response) => {
      if (request.method === 'POST') return
      connections.push(request.socket)
      response.end('{"first":0,"next":0,"records":[]}')
    })
    await readCode()
    await appendCode()
    await readCode()
    expect(new Set(connections)).to.have.property('size', 2)
  })

  it('reads while an append gets no answer, so that a slow append does not let the leases of this VM expire', async () => {
    await start((request, response) => { if (request.method === 'GET') response.end('{"first":0,"next":0,"records":[]}') }, { appendConnections: 1 })
    const stuck = appendCode()
    expect(await readCode()).to.equal('read')
    await stuck
  })
})
