import { expect } from 'chai'
import { EndlessServer, endlessAnswers } from '@briarsaddle/standins'
import { HttpChannel, type HttpResult } from './http-channel.js'

const maximumAnswerBytes = 1024 * 1024
const callMilliseconds = 5_000
// The limit is exceeded within a few ms; the rest allows for a busy machine.
const promptMilliseconds = 2_500
// Bytes that the operating system buffers between the sockets: at most 4 MiB of the sender and 6 MiB of the receiver.
const socketBufferBytes = 10 * 1024 * 1024

describe('HttpChannel with an endless answer', function () {
  this.timeout(20_000)
  let server: EndlessServer
  let channel: HttpChannel

  afterEach(async () => {
    await channel.close()
    await server.close()
  })

  for (const [part, bytes] of Object.entries(endlessAnswers('Content-Type: application/json\r\n'))) {
    // Guards against reading the endless answer of a log service or VM list until the call times out.
    it(`closes the connection at the limit when the service sends ${part}, and reports that a write may have been done`, async () => {
      server = new EndlessServer({ bytes })
      channel = new HttpChannel(`http://127.0.0.1:${await server.listen()}`, { connections: 1, connectTimeoutMilliseconds: 500, keepAliveMilliseconds: 4_000, maximumAnswerBytes })
      const startedAt = performance.now()
      const result: HttpResult = await channel.call({ method: 'POST', path: '/', body: '{}', timeoutMilliseconds: callMilliseconds })
      expect(result).to.have.nested.property('failure.mayHaveBeenWritten', true)
      expect(result).to.have.nested.property('failure.reason').that.matches(/exceeds \d+ bytes/)
      expect(performance.now() - startedAt).to.be.lessThan(promptMilliseconds)
      expect(server.sentBytes).to.be.lessThan(2 * maximumAnswerBytes + socketBufferBytes)
    })
  }
})
