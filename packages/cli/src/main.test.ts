import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Writable } from 'node:stream'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { main } from './main.js'
import { MemoryLog } from './memory-log.test.js'

interface Output { readonly code: number, readonly stdout: string, readonly stderr: string }

async function run (args: readonly string[], log = new MemoryLog()): Promise<Output> {
  const written = { stdout: '', stderr: '' }
  const stream = (name: 'stdout' | 'stderr'): Writable => new Writable({
    write: (chunk, _encoding, done) => {
      written[name] += String(chunk)
      done()
    }
  })
  const code = await main(args, { stdout: stream('stdout'), stderr: stream('stderr'), env: {}, openLog: () => ({ client: log, close: async () => {} }) })
  return { code, ...written }
}

const rule = (deadline: string): string => `POST /dispatches pool=dispatch at-most-once class=prompt deadline=${deadline} # Youssef\n`

describe('briarsaddle', () => {
  let directory: string
  let file: string
  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'briarsaddle-cli-'))
    file = join(directory, 'rules.txt')
  })
  after(async () => await rm(directory, { recursive: true }))

  for (const firm of ['atlas', 'ostrina']) {
    it(`accepts the example files of ${firm} without a warning, so that the examples stay valid when the formats change`, async () => {
      const example = (name: string): string => fileURLToPath(new URL(`../../../examples/${firm}/${name}`, import.meta.url))
      const rules = await run(['rules', 'check', example('rules.txt'), '--json'])
      expect(JSON.parse(rules.stdout)).to.deep.include({ valid: true, findings: [], warnings: [] })
      expect(await run(['settings', 'check', example('briarsaddle.toml')])).to.include({ code: 0, stderr: '' })
    })
  }

  it('returns the documented exit code for each kind of failure and writes errors to stderr, because scripts rely on both', async () => {
    await writeFile(file, 'GET /a pool=a idempotent class=prompt deadline=soon # Anja\nGET /b\n')
    const invalid = await run(['rules', 'check', file])
    expect(invalid).to.include({ code: 2, stdout: '' })
    expect(invalid.stderr.split('\n')[0]).to.equal(`briarsaddle: ${file}:1: deadline "soon" must be a whole number with ms, s, m or h, from 1ms to 24h (bad_duration)`)
    expect(await run(['rules', 'check', join(directory, 'missing')])).to.include({ code: 2, stdout: '' })
    const usage = await run(['drain', 'pond-1'])
    expect(usage).to.include({ code: 2, stdout: '' })
    expect(usage.stderr).to.match(/^briarsaddle: .*--author.*\n$/)
    expect(await run(['state'])).to.include({ code: 2 })
    expect(await run(['state', '--token', 'x', '--address', 'http://127.0.0.1:1'])).to.include({ code: 3, stdout: '' })
  })

  it('publishes only when the base version is in force, and otherwise shows the difference and publishes nothing', async () => {
    const log = new MemoryLog()
    const publish = async (text: string, ...more: string[]): Promise<Output> => {
      await writeFile(file, text)
      return await run(['rules', 'publish', file, '--author', 'leila', '--log-url', 'http://127.0.0.1:1', ...more], log)
    }
    expect(await publish(rule('1s'))).to.include({ code: 0 })
    const refused = await publish(rule('2s'))
    expect(refused).to.include({ code: 1, stdout: `-1: ${rule('1s')}+1: ${rule('2s')}` })
    expect(refused.stderr).to.match(/^briarsaddle: not published: version 0 by leila is in force.*--base 0\n$/)
    expect(await publish(rule('2s'), '--base', '0')).to.include({ code: 0 })
    expect(JSON.parse((await publish(rule('3s'), '--base', '0', '--json')).stdout)).to.include({ outcome: 'stale_base', version: 1 })
    expect(await publish(rule('3s'), '--base', '1.5')).to.include({ code: 2, stdout: '' })
    expect(await publish('# nothing\n', '--base', '1')).to.include({ code: 2 })
    expect(await run(['rules', 'show', '--log-url', 'http://127.0.0.1:1'], log)).to.include({ code: 0, stdout: rule('2s') })
  })
})

describe('briarsaddle with an administration interface', () => {
  let server: Server
  let received: Array<readonly [method: string | undefined, url: string | undefined, body: string]> = []
  let answer: { readonly status: number, readonly body: unknown } | 'disconnect'
  const call = async (...args: string[]): Promise<Output> => {
    received = []
    return await run([...args, '--token', 'secret', '--address', `http://127.0.0.1:${(server.address() as AddressInfo).port}`])
  }
  const bodyOf = async (request: IncomingMessage): Promise<string> => Buffer.concat(await request.toArray()).toString()

  before(async () => {
    server = createServer((request, response) => {
      bodyOf(request).then(body => {
        received.push([request.method, request.url, body])
        if (answer === 'disconnect') return request.socket.destroy()
        response.statusCode = request.headers.authorization === 'Bearer secret' ? answer.status : 401
        response.end(JSON.stringify(answer.body))
      }, () => request.socket.destroy())
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  })
  after(() => {
    server.closeAllConnections()
    server.close()
  })

  it('encodes names with special characters, so that the command applies to the object that the operator named', async () => {
    answer = { status: 200, body: { endpoint: 'pond-1' } }
    expect(await call('owner', '--pool', 'ponds', '--key', 'a&b=ž')).to.include({ code: 0, stdout: 'endpoint: pond-1\n' })
    expect(received[0]?.[1]).to.equal('/owner?pool=ponds&key=a%26b%3D%C5%BE')
    await call('match', 'get', '/ponds/1?x=2')
    expect(received[0]?.[1]).to.equal('/match?method=GET&path=%2Fponds%2F1%3Fx%3D2')
    await call('witnesses', 'release', 'vm-1', 'vm-2', '--author', 'matej')
    expect(received[0]).to.deep.equal(['POST', '/witnesses/release', '{"lost":["vm-1","vm-2"],"author":"matej"}'])
  })

  const outcomes: ReadonlyArray<readonly [situation: string, given: typeof answer, getCode: number, postCode: number]> = [
    ['a missing endpoint', { status: 404, body: { error: { code: 'unknown_endpoint', message: 'no such endpoint' } } }, 1, 1],
    ['a conflict', { status: 409, body: { error: { code: 'stale_base' } } }, 1, 1],
    ['a log that is down', { status: 503, body: { error: { code: 'log_unavailable' } } }, 3, 3],
    ['a lost answer of the log', { status: 504, body: { error: { code: 'log_unknown' } } }, 4, 4],
    ['an internal error', { status: 500, body: {} }, 3, 4],
    ['a broken connection', 'disconnect', 3, 4]
  ]
  for (const [situation, given, getCode, postCode] of outcomes) {
    it(`returns the right exit codes for ${situation}, so that a change that may have been made is not reported as not made`, async () => {
      answer = given
      expect(await call('rules', 'show')).to.include({ code: getCode })
      const drain = await call('drain', 'pond-1', '--author', 'matej')
      expect(drain).to.include({ code: postCode, stdout: '' })
      expect(drain.stderr).to.match(/^briarsaddle: [^\n]+\n$/)
      if (given !== 'disconnect' && given.status === 404) expect(drain.stderr).to.equal('briarsaddle: no such endpoint\n')
      expect(received).to.have.length(1)
    })
  }
})
