import { expect } from 'chai'
import { once } from 'node:events'
import { connect } from 'node:net'
import { LifeCycle } from '@briarsaddle/common'
import { StatusServer } from './status-server.js'

describe('StatusServer', () => {
  // Guards against a process that spends its time on the body of one request, for as long as bytes come.
  it('closes a connection whose request does not end', async function () {
    this.timeout(20_000)
    const lifeCycle = new LifeCycle('test')
    const port = await new StatusServer({ '/ready': async () => ({ status: 200, type: 'text/plain', text: 'ready' }) }).listen({ host: '127.0.0.1', port: 0 }, lifeCycle)
    const socket = connect(port, '127.0.0.1').on('error', () => {}).resume()
    await once(socket, 'connect')
    const startedAt = performance.now()
    socket.write('GET /ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n')
    const sender = setInterval(() => socket.write('1\r\nx\r\n'), 20)
    if (!socket.closed) await once(socket, 'close')
    clearInterval(sender)
    expect(performance.now() - startedAt).to.be.lessThan(10_000)
    await lifeCycle.close()
  })
})
