import { expect } from 'chai'
import { connect as connectHttp2, createServer, type Http2Server, type ServerHttp2Stream } from 'node:http2'
import { connect, type AddressInfo } from 'node:net'
import { delay } from '@briarsaddle/common'
import { Answer, ControlHandler, Forward, FrameHandler, InnerServer, Outcome, PeerClient, type ConfirmResponse, type FetchJournalResponse, type FetchLoadsResponse, type FetchStateResponse, type HeartbeatResponse, type JournalAcknowledgement } from './index.js'

class UnusedFrameHandler extends FrameHandler {
  override async forward (): Promise<Answer> { return Answer.create() }
  override async journal (): Promise<JournalAcknowledgement> { return { id: 0, complete: true } }
}

class UnusedControlHandler extends ControlHandler {
  override async heartbeat (): Promise<HeartbeatResponse> { return { vm: 'server', instance: '', position: 0, leaving: false } }
  override async confirm (): Promise<ConfirmResponse> { return { ready: true, position: 0, outdated: [], quietMilliseconds: [] } }
  override async fetchState (): Promise<FetchStateResponse> { throw new Error('no state') }
  override async fetchJournal (): Promise<FetchJournalResponse> { return { knownMilliseconds: 0, entries: [], imports: [], notReady: false } }
  override async fetchLoads (): Promise<FetchLoadsResponse> { return { loads: [] } }
}

const maximumMessageBytes = 50_000
const mebibyte = 1024 * 1024
// Window of a stream, socket buffers of the kernel, and what V8 has not collected.
const slackBytes = 64 * mebibyte
const promptMilliseconds = 5_000
const part = Buffer.alloc(64 * 1024, 'x')
// Not compressed; a length of 1 GiB follows.
const messageStart = Buffer.from([0, 0x40, 0, 0, 0])

/** Frame of HTTP/2 (RFC 9113, 4.1). */
function frame (type: number, flags: number, streamId: number, payload: Buffer): Buffer {
  const head = Buffer.alloc(9)
  head.writeUIntBE(payload.length, 0, 3)
  head.writeUInt8(type, 3)
  head.writeUInt8(flags, 4)
  head.writeUInt32BE(streamId, 5)
  return Buffer.concat([head, payload])
}

async function until (condition: () => boolean): Promise<number> {
  const startedAt = performance.now()
  while (!condition() && performance.now() - startedAt < promptMilliseconds) await delay(5)
  return performance.now() - startedAt
}

function memory (): number {
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

// Guards against a VM that keeps what another one sends without end, until it runs out of memory.
describe('Peers that send without end', function () {
  this.timeout(20_000)

  async function withServer (run: (port: number) => Promise<void>): Promise<void> {
    const server = new InnerServer({ host: '127.0.0.1', port: 0, maximumMessageBytes }, new UnusedFrameHandler(), new UnusedControlHandler())
    try {
      await run(await server.listen())
    } finally {
      await server.stop(0)
    }
  }

  it('have their call ended when a message exceeds the limit, and what they send on is not kept', async () => await withServer(async port => {
    const session = connectHttp2(`http://127.0.0.1:${port}`).on('error', () => {})
    const stream = session.request({ ':method': 'POST', ':path': '/briarsaddle.inner.v1.Inner/Exchange', 'content-type': 'application/grpc', te: 'trailers' })
    let status: unknown
    stream.on('error', () => {}).on('trailers', trailers => { status = trailers['grpc-status'] }).resume()
    const before = memory()
    let sent = 0
    stream.write(messageStart)
    const sender = setInterval(() => {
      if (stream.writableLength >= mebibyte) return
      stream.write(part)
      sent += part.length
    }, 1)
    expect(await until(() => status !== undefined)).to.be.lessThan(promptMilliseconds)
    expect(status, 'RESOURCE_EXHAUSTED').to.equal('8')
    // The peer goes on sending.
    await delay(1_000)
    clearInterval(sender)
    session.destroy()
    expect(sent).to.be.lessThan(slackBytes)
    expect(memory() - before).to.be.lessThan(slackBytes)
  }))

  it('have their connection closed when the header of a call does not end', async () => await withServer(async port => {
    const socket = connect(port, '127.0.0.1').on('error', () => {}).resume()
    let closed = false
    socket.on('close', () => { closed = true })
    // A header field with a literal name and value (RFC 7541, 6.2.2).
    const field = Buffer.concat([Buffer.from([0, 1]), Buffer.from('x'), Buffer.from([0x7f, 0x81, 0x7f]), Buffer.alloc(16_384, 'y')])
    socket.write(Buffer.concat([Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'), frame(4, 0, 0, Buffer.alloc(0)), frame(1, 0, 1, Buffer.from([0x83, 0x86]))]))
    const before = memory()
    const sender = setInterval(() => {
      if (!closed && socket.writableLength < mebibyte) for (let index = 0; index < 4; index++) socket.write(frame(9, 0, 1, field.subarray(0, 16_000)))
    }, 1)
    expect(await until(() => closed)).to.be.lessThan(promptMilliseconds)
    clearInterval(sender)
    socket.destroy()
    expect(memory() - before).to.be.lessThan(slackBytes)
  }))

  it('are given up, and the outcome of a request is not known, when their answer exceeds the limit', async () => {
    let ended = 0
    const server: Http2Server = createServer()
    server.on('stream', (stream: ServerHttp2Stream) => {
      stream.respond({ ':status': 200, 'content-type': 'application/grpc' }, { waitForTrailers: true })
      stream.on('error', () => {}).on('close', () => { ended++ }).resume()
      stream.once('data', () => {
        stream.write(messageStart)
        const sender = setInterval(() => {
          if (stream.closed) clearInterval(sender)
          else if (stream.writableLength < mebibyte) stream.write(part)
        }, 1)
      })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const client = new PeerClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, { maximumMessageBytes })
    const before = memory()
    try {
      const answer = await client.forward({ ...Forward.create({ target: '/', deadlineMilliseconds: 3_000 }) })
      expect(answer.outcome).to.equal(Outcome.OUTCOME_UNKNOWN)
      expect(await until(() => ended > 0)).to.be.lessThan(promptMilliseconds)
      expect(memory() - before).to.be.lessThan(slackBytes)
    } finally {
      client.close()
      server.close()
    }
  })
})
