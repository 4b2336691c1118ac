import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import { delay, errorCode } from '@briarsaddle/common'
import { FaultProxy, type FaultProxyAddress } from './fault-proxy.js'

describe('FaultProxy', () => {
  let echo: Server
  let received: string[]
  let proxy: FaultProxy
  let address: FaultProxyAddress
  const sockets: Socket[] = []

  beforeEach(async () => {
    received = []
    echo = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', data => { received.push(String(data)); socket.write(data) })
    })
    echo.listen(0, '127.0.0.1')
    await once(echo, 'listening')
    proxy = new FaultProxy({ targetHost: '127.0.0.1', targetPort: (echo.address() as AddressInfo).port })
    address = await proxy.listen({ host: '127.0.0.1', port: 0 })
  })

  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy()
    await proxy.close()
    await new Promise(resolve => echo.close(resolve))
  })

  async function open (): Promise<Socket> {
    const socket = connect(address)
    sockets.push(socket)
    await once(socket, 'connect')
    return socket
  }
  /** Sends text and returns the echo, `silent`, or the code of the error. */
  async function exchange (socket: Socket, text: string): Promise<string> {
    socket.write(text)
    return await Promise.race([once(socket, 'data').then(([data]) => String(data), errorCode), delay(60).then(() => 'silent')])
  }
  async function control (body: object): Promise<void> {
    const response = await fetch(`http://127.0.0.1:${address.control.port}/_control`, { method: 'POST', body: JSON.stringify(body) })
    expect(response.status).to.equal(200)
  }

  it('silences existing connections for good while new ones work, as a dropped flow table entry does', async () => {
    const old = await open()
    expect(await exchange(old, 'a')).to.equal('a')
    await control({ mode: 'silence-existing' })
    expect(await exchange(old, 'b')).to.equal('silent')
    expect(await exchange(await open(), 'c')).to.equal('c')
    await control({ mode: 'pass' })
    expect(await exchange(old, 'd')).to.equal('silent')
    expect(received).to.deep.equal(['a', 'c'])
  })

  it('silences one direction and delivers the data later, so that one-way partitions and late messages are tested', async () => {
    const socket = await open()
    const answers: string[] = []
    socket.on('data', data => answers.push(String(data)))
    await control({ mode: 'silence-to-client' })
    socket.write('a')
    await delay(60)
    expect([received, answers]).to.deep.equal([['a'], []])
    await control({ mode: 'silence-to-target' })
    socket.write('b')
    await delay(60)
    expect([received, answers]).to.deep.equal([['a'], ['a']])
    await control({ mode: 'pass' })
    await delay(60)
    expect([received, answers]).to.deep.equal([['a', 'b'], ['a', 'b']])
  })

  it('refuses connections while cut, so that clients see a failure before the write, and works again afterwards', async () => {
    const socket = await open()
    const closed = once(socket, 'close').catch(errorCode)
    await control({ mode: 'cut' })
    await closed
    expect(await open().catch(errorCode)).to.equal('ECONNREFUSED')
    await control({ mode: 'pass' })
    expect(await exchange(await open(), 'a')).to.equal('a')
  })

  it('drops an answer after the target received the request, so that unknown outcomes are tested', async () => {
    await control({ dropAnswers: 1 })
    expect(await exchange(await open(), 'a')).to.equal('ECONNRESET')
    expect(received).to.deep.equal(['a'])
    expect(await exchange(await open(), 'b')).to.equal('b')
  })

  it('delays data in both directions and keeps its order', async () => {
    const socket = await open()
    await control({ delayMilliseconds: 40 })
    const startedAt = performance.now()
    socket.write('a')
    setTimeout(() => socket.write('b'), 10)
    let text = ''
    socket.on('data', data => { text += String(data) })
    while (text.length < 2) await delay(5)
    expect(text).to.equal('ab')
    expect(performance.now() - startedAt).to.be.greaterThan(80)
  })

  it('passes on the end of a connection, so that a cancelled request reaches the target', async () => {
    const ended = once(echo, 'connection').then(async ([socket]) => await once(socket as Socket, 'end'))
    ;(await open()).end()
    await ended
  })
})
