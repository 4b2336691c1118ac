import { EntryServer } from '@briarsaddle/entry'
import { expect } from 'chai'
import { request as httpRequest, type IncomingHttpHeaders, type OutgoingHttpHeaders } from 'node:http'
import { connect } from 'node:net'
import { MonotonicClock, Random, delay } from '@briarsaddle/common'
import { KeyHasher, bucketsPerPool, noVersion, type BucketState, type ControlState, type EndpointState } from '@briarsaddle/ownership'
import { Answer, Outcome, notRunAnswer, unknownAnswer, type Forward } from '@briarsaddle/protocol'
import type { Rule, RuleFile } from '@briarsaddle/rules'
import { TwoChoices } from '@briarsaddle/scheduling'
import { ControlView, ForwardHandler, PeerForwarder } from '../contracts.js'
import { Metrics } from '../metrics.js'
import { RequestRouter, type AcceptedRequest } from './index.js'

class TestControl extends ControlView {
  state: ControlState = {
    position: 1,
    rules: { version: 1, text: '', author: 'a' },
    witnesses: { version: noVersion, vms: [], pending: undefined },
    endpoints: new Map([['e1', endpoint('e1', 'ponds', 'vm2')], ['c1', endpoint('c1', 'crews', 'vm2')], ['c2', endpoint('c2', 'crews', 'vm3')]]),
    pools: new Map([['ponds', { version: 1, buckets: buckets({ owner: 'e1', token: 1, pendingFrom: undefined, former: undefined }) }]]),
    recentIds: []
  }

  rules: RuleFile = {
    warnings: [],
    rules: [
      rule(1, 'GET', '/ponds/:pond', 'ponds', true),
      rule(2, 'POST', '/ponds/:pond', 'ponds', false),
      rule(3, 'POST', '/crews', 'crews', false),
      { ...rule(4, 'GET', '/sheet', 'ponds', true), key: { from: 'header', name: 'x-pond' } }
    ]
  }

  #waiters: Array<() => void> = []

  change (fields: Partial<ControlState>): void {
    this.state = { ...this.state, ...fields, position: this.state.position + 1 }
    for (const waiter of this.#waiters.splice(0)) waiter()
  }

  async waitForPosition (position: number, timeoutMilliseconds: number, signal?: AbortSignal): Promise<boolean> {
    const endsAt = performance.now() + timeoutMilliseconds
    while (this.state.position < position && performance.now() < endsAt && signal?.aborted !== true) {
      await Promise.race([new Promise<void>(resolve => this.#waiters.push(resolve)), delay(endsAt - performance.now(), signal)])
    }
    return this.state.position >= position
  }
}

function endpoint (id: string, pool: string, vm: string, standby?: string): EndpointState {
  return { description: { id, pool, dataCentre: 'a', host: '127.0.0.1', port: 1, checks: true }, coordinator: { vm, token: 1, standby }, leaving: false, version: 1 }
}

function buckets (state: BucketState): BucketState[] {
  return Array.from({ length: bucketsPerPool }, () => state)
}

function rule (line: number, method: string, pattern: string, pool: string, idempotent: boolean): Rule {
  return { line, method, pattern, pool, key: pool === 'ponds' ? { from: 'path', name: 'pond' } : undefined, idempotent, serviceClass: 'normal', deadlineMilliseconds: 1_000, requestedBy: 'Ana' }
}

type Script = (forward: Forward, signal: AbortSignal, vm: string) => Answer | Promise<Answer>

class TestPeers extends PeerForwarder {
  readonly sent: Array<{ readonly vm: string, readonly forward: Forward }> = []
  script: Script = forward => Answer.create({ outcome: Outcome.OUTCOME_ANSWERED, status: 200, body: Buffer.from(forward.key) })

  async forward (vm: string, forward: Forward, signal: AbortSignal): Promise<Answer> {
    this.sent.push({ vm, forward })
    return await this.script(forward, signal, vm)
  }
}

class LocalHandler extends ForwardHandler {
  async handle (): Promise<Answer> {
    return notRunAnswer('not_coordinator', { position: 1 })
  }
}

interface Reply {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

describe('EntryServer', () => {
  let control: TestControl
  let peers: TestPeers
  let router: RequestRouter
  let server: EntryServer<AcceptedRequest>
  let port: number
  let hasher: KeyHasher

  before(async () => { hasher = await KeyHasher.create() })

  beforeEach(async () => {
    control = new TestControl()
    peers = new TestPeers()
    const clock = new MonotonicClock()
    const random = new Random(1)
    const metrics = new Metrics({ host: '127.0.0.1', port: 1, prefix: '', vm: 'vm1', mock: true })
    const createChooser = (): TwoChoices => new TwoChoices({ clock, random })
    router = new RequestRouter({ vm: 'vm1', control, local: new LocalHandler(), peers, hasher, createChooser, metrics, clock, random, maximumWaiting: 2 })
    server = new EntryServer({ host: '127.0.0.1', port: 0, maximumHeaderBytes: 4_096, maximumBodyBytes: 1_000, maximumCallerConnections: 50, clock }, router)
    port = await server.listen()
  })

  afterEach(async () => { await server.stop(0) })

  async function call (method: string, path: string, headers: OutgoingHttpHeaders = {}, body = ''): Promise<Reply> {
    return await new Promise((resolve, reject) => {
      const request = httpRequest({ host: '127.0.0.1', port, method, path, headers, agent: false }, response => {
        const chunks: Buffer[] = []
        response.on('data', (chunk: Buffer) => chunks.push(chunk))
        response.on('end', () => resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString() }))
      })
      request.on('error', reject)
      request.end(body)
    })
  }

  async function raw (text: string): Promise<string> {
    return await new Promise(resolve => {
      const socket = connect(port, '127.0.0.1', () => socket.write(text))
      let received = ''
      socket.on('data', chunk => { received += chunk.toString() })
      socket.on('close', () => resolve(received))
      socket.on('error', () => {})
    })
  }

  function expectRefusal (reply: Reply, status: number, reason: string): void {
    expect(reply).to.include({ status })
    expect(reply.headers).to.include({ 'briarsaddle-outcome': status === 504 ? 'unknown' : 'not-run', 'briarsaddle-reason': reason })
    expect(reply.headers['retry-after'] === undefined).to.equal(status < 500)
  }

  const refusals: ReadonlyArray<readonly [description: string, method: string, path: string, headers: OutgoingHttpHeaders, status: number, reason: string]> = [
    ['no rule', 'GET', '/other', {}, 404, 'no_rule'],
    ['no key', 'GET', '/sheet', {}, 400, 'key_missing'],
    ['two keys', 'GET', '/sheet', { 'X-Pond': ['1', '2'] }, 400, 'key_ambiguous'],
    ['an invalid deadline', 'GET', '/ponds/1', { 'Briarsaddle-Deadline-Milliseconds': '-5' }, 400, 'invalid_deadline'],
    ['an invalid idempotency key', 'POST', '/ponds/1', { 'Idempotency-Key': 'a b' }, 400, 'invalid_idempotency_key'],
    ['a long idempotency key', 'POST', '/ponds/1', { 'Idempotency-Key': 'a'.repeat(257) }, 400, 'invalid_idempotency_key']
  ]
  for (const [description, method, path, headers, status, reason] of refusals) {
    it(`refuses a request with ${description} before it is forwarded, so that invalid requests cause no work`, async () => {
      expectRefusal(await call(method, path, headers), status, reason)
      expect(peers.sent).to.have.length(0)
    })
  }

  it('removes hop-by-hop and Briarsaddle headers both ways and appends the caller address, so that grants cannot be forged and no hop-by-hop header leaks', async () => {
    peers.script = () => Answer.create({
      outcome: Outcome.OUTCOME_ANSWERED,
      status: 201,
      headers: [['Connection', 'X-Private'], ['X-Private', '1'], ['Keep-Alive', '5'], ['Briarsaddle-Instance', 'i'], ['Content-Length', '9'], ['X-Kept', '2']].map(([name, value]) => ({ name: name as string, value: value as string })),
      body: Buffer.from('body')
    })
    const reply = await call('POST', '/ponds/7?a=b', { Connection: 'close, X-Secret', 'X-Secret': '1', TE: 'trailers', 'Briarsaddle-Token': '9.9', 'X-Forwarded-For': '10.0.0.1', 'X-Kept': '2' }, 'text')
    const forward = peers.sent[0]?.forward as Forward
    const names = forward.headers.map(header => header.name.toLowerCase())
    expect(names).to.include('x-kept').and.not.include.members(['x-secret']).and.not.include.members(['te'])
    expect(names.filter(name => /^(connection|x-secret|te|content-length|briarsaddle-.*)$/.test(name))).to.deep.equal([])
    expect(forward.headers.find(header => header.name === 'X-Forwarded-For')?.value).to.equal('10.0.0.1, 127.0.0.1')
    expect(forward).to.include({ target: '/ponds/7?a=b', key: '7', endpoint: 'e1' })
    expect(reply).to.include({ status: 201, body: 'body' })
    expect(reply.headers).to.include({ 'x-kept': '2', 'content-length': '4', 'briarsaddle-outcome': 'answered' }).and.not.have.any.keys('x-private', 'briarsaddle-instance')
  })

  it('answers 413 to a body that is too long, with or without an announced length, and 431 to such a header, so that memory stays bounded', async () => {
    expectRefusal(await call('POST', '/ponds/1', {}, 'x'.repeat(1_001)), 413, 'body_too_large')
    expectRefusal(await call('POST', '/ponds/1', { 'Transfer-Encoding': 'chunked' }, 'x'.repeat(100_000)), 413, 'body_too_large')
    const answer = await raw('POST /ponds/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\nExpect: 100-continue\r\n\r\n')
    expect(answer).to.match(/^HTTP\/1\.1 413 /)
    expect(await raw(`GET /ponds/1 HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(5_000)}\r\n\r\n`)).to.match(/^HTTP\/1\.1 431 [^]*Briarsaddle-Outcome: not-run/)
    expect(peers.sent).to.have.length(0)
  })

  it('never sends a request that is not idempotent again after an unknown outcome, so that it does not run twice', async () => {
    peers.script = () => unknownAnswer('peer_lost')
    expectRefusal(await call('POST', '/ponds/1'), 504, 'peer_lost')
    expect(peers.sent).to.have.length(1)
  })

  it('sends an idempotent request again, and answers "unknown" when the retry did not run, because the first attempt may have run', async () => {
    peers.script = () => peers.sent.length === 1 ? unknownAnswer('peer_lost') : notRunAnswer('queue_full')
    expectRefusal(await call('GET', '/ponds/1'), 504, 'queue_full')
    expect(peers.sent).to.have.length(2)
    expect(peers.sent[0]?.forward.requestId).to.equal(peers.sent[1]?.forward.requestId)
  })

  it('sends an idempotent request to the successor of a lost coordinator when other requests have used up the retry budget, as after a loss with many requests in flight', async () => {
    peers.script = (_forward, _signal, vm) => vm === 'vm2' ? unknownAnswer('peer_lost') : Answer.create({ outcome: Outcome.OUTCOME_ANSWERED, status: 200 })
    for (let request = 1; request <= 6; request++) await call('GET', '/ponds/1', { 'briarsaddle-deadline-milliseconds': '40' })
    expect(Object.values(router.snapshot()['retryTokens'] as object)).to.satisfy((tokens: number[]) => tokens.every(left => left <= 5), 'the budget is empty')
    const reply = call('GET', '/ponds/1')
    await delay(200)
    control.change({ endpoints: new Map([['e1', { ...endpoint('e1', 'ponds', 'vm3'), coordinator: { vm: 'vm3', token: 2, standby: undefined } }]]) })
    expect((await reply).status).to.equal(200)
  })

  // Guards against a full VM that keeps requests until their deadline instead of refusing them (SHORT).
  it('lets a request wait for its turn for a part of its deadline', () => {
    const request = { method: 'GET', target: '/ponds/1', headers: {}, rawHeaders: [], remoteAddress: '127.0.0.1', arrivedAt: new MonotonicClock().now() }
    const accepted = router.accept(request)
    if ('status' in accepted) throw new Error('the request was refused')
    const { urgency, longestWaitMilliseconds } = router.turnOf(accepted)
    expect(urgency).to.equal(1)
    expect(longestWaitMilliseconds).to.equal(accepted.rule.deadlineMilliseconds / 8)
  })

  it('returns a final refusal with Retry-After at once, so that the caller does not wait until the deadline', async () => {
    peers.script = () => notRunAnswer('queue_full', { retryAfterMilliseconds: 4_000 })
    const begun = performance.now()
    const reply = await call('POST', '/ponds/1')
    expect(performance.now() - begun).to.be.lessThan(300)
    expectRefusal(reply, 503, 'queue_full')
    expect(Number(reply.headers['retry-after'])).to.be.within(4, 12)
  })

  it('sends to the new coordinator once this VM has read the log as far as the VM that refused, so that a move loses no request', async () => {
    peers.script = (_forward, _signal, vm) => vm === 'vm2' ? notRunAnswer('not_coordinator', { position: 2 }) : Answer.create({ outcome: Outcome.OUTCOME_ANSWERED, status: 200 })
    const reply = call('POST', '/ponds/1')
    await delay(50)
    expect(peers.sent).to.have.length(1)
    control.change({ endpoints: new Map([['e1', endpoint('e1', 'ponds', 'vm3')]]) })
    expect((await reply).status).to.equal(200)
    expect(peers.sent.map(({ vm }) => vm)).to.deep.equal(['vm2', 'vm3'])
  })

  it('sends to the standby that coordinates provisionally when the coordinator is unreachable, so that keys are served during an outage of the log', async () => {
    control.change({ endpoints: new Map([['e1', endpoint('e1', 'ponds', 'vm2', 'vm4')]]) })
    peers.script = (_forward, _signal, vm) => vm === 'vm2' ? notRunAnswer('peer_unreachable') : Answer.create({ outcome: Outcome.OUTCOME_ANSWERED, status: 200 })
    expect((await call('POST', '/ponds/1')).status).to.equal(200)
    expect((await call('POST', '/ponds/1')).status).to.equal(200)
    expect(peers.sent.map(({ vm }) => vm)).to.deep.equal(['vm2', 'vm4', 'vm4'])
  })

  it('lets only a bounded number of requests wait for a pending bucket, so that memory stays bounded', async () => {
    control.change({ pools: new Map([['ponds', { version: 1, buckets: buckets({ owner: 'e1', token: 2, pendingFrom: 'e2', former: undefined }) }]]) })
    const waiting = [call('GET', '/ponds/1'), call('GET', '/ponds/2')]
    while (router.waiting < 2) await delay(5)
    expectRefusal(await call('GET', '/ponds/3'), 503, 'bucket_pending')
    control.change({ pools: new Map([['ponds', { version: 1, buckets: buckets({ owner: 'e1', token: 2, pendingFrom: undefined, former: undefined }) }]]) })
    expect((await Promise.all(waiting)).map(reply => reply.body)).to.deep.equal(['1', '2'])
  })

  it('sends a keyless request with an idempotency key to the coordinator that keeps the key, so that a repeated request does not run at another endpoint', async () => {
    control.change({ pools: new Map([['crews', { version: 1, buckets: buckets({ owner: 'c2', token: 1, pendingFrom: undefined, former: undefined }) }]]) })
    for (let index = 0; index < 4; index++) expect((await call('POST', '/crews', { 'Idempotency-Key': 'crew-1' })).status).to.equal(200)
    expect(peers.sent.map(({ vm, forward: { endpoint, anyEndpoint, bucket } }) => ({ vm, endpoint, anyEndpoint, bucket }))).to.deep.equal(
      Array.from({ length: 4 }, () => ({ vm: 'vm3', endpoint: 'c2', anyEndpoint: true, bucket: hasher.bucketOf('crew-1', bucketsPerPool) })))
  })

  it('runs a request for the coordinator that keeps its idempotency key at any endpoint, without a bucket and an idempotency key of its own, so that it is not sent back', async () => {
    await call('POST', '/crews', { 'Idempotency-Key': 'crew-1' }, 'body')
    control.change({ pools: new Map([['crews', { version: 1, buckets: buckets({ owner: 'c2', token: 1, pendingFrom: undefined, former: undefined }) }]]) })
    await call('POST', '/crews', { 'Idempotency-Key': 'crew-1' }, 'body')
    const remembered = peers.sent.splice(0).at(-1)?.forward
    if (remembered === undefined) throw new Error('nothing was sent')
    expect((await router.runAnywhere(remembered, new AbortController().signal)).outcome).to.equal(Outcome.OUTCOME_ANSWERED)
    expect(peers.sent[0]?.forward).to.include({ bucket: -1, anyEndpoint: false, idempotencyKey: '' })
    expect(peers.sent[0]?.forward.headers).to.deep.include({ name: 'Idempotency-Key', value: 'crew-1' })
  })

  it('tries another endpoint of a pool without keys when one refuses, so that one full endpoint stops no request', async () => {
    peers.script = forward => forward.endpoint === 'c1' ? notRunAnswer('queue_full') : Answer.create({ outcome: Outcome.OUTCOME_ANSWERED, status: 200 })
    for (let index = 0; index < 4; index++) expect((await call('POST', '/crews')).status).to.equal(200)
  })

  it('retries without limit while endpoints of a pool shed, so that the retry budget does not fail requests that another endpoint can run', async () => {
    let shedding = true
    peers.script = () => shedding ? notRunAnswer('endpoint_shed') : Answer.create({ outcome: Outcome.OUTCOME_ANSWERED, status: 200 })
    const replies = [call('POST', '/crews'), call('POST', '/crews')]
    await delay(400)
    shedding = false
    expect((await Promise.all(replies)).map(({ status }) => status)).to.deep.equal([200, 200])
    expect(peers.sent.length, 'more refusals than the budget allows').to.be.greaterThan(10)
  })

  it('tries another endpoint when one refuses connections, also when it is chosen again later, so that the loss of a data centre fails no request', async () => {
    peers.script = forward => forward.endpoint === 'c1' ? notRunAnswer('endpoint_unavailable') : Answer.create({ outcome: Outcome.OUTCOME_ANSWERED, status: 200 })
    const triesOfLost = (): number => peers.sent.filter(({ forward }) => forward.endpoint === 'c1').length
    const statuses: number[] = []
    while (triesOfLost() < 5) statuses.push((await call('POST', '/crews')).status)
    // The chooser has set the endpoint aside for 1 s.
    await delay(1_100)
    for (let index = 0; index < 4; index++) statuses.push((await call('POST', '/crews')).status)
    expect(triesOfLost()).to.be.greaterThan(5)
    expect(statuses.filter(status => status !== 200)).to.deep.equal([])
  })

  it('sets aside an endpoint that sheds, so that it attracts no requests by having the least outstanding work', async () => {
    peers.script = forward => forward.endpoint === 'c1' ? notRunAnswer('endpoint_shed') : Answer.create({ outcome: Outcome.OUTCOME_ANSWERED, status: 200 })
    for (let index = 0; index < 30; index++) await call('POST', '/crews')
    expect(peers.sent.slice(-15).filter(({ forward }) => forward.endpoint === 'c1')).to.have.length(0)
  })

  it('answers at the deadline when the coordinator does not, so that callers do not hang', async () => {
    peers.script = async () => { await delay(3_000); return unknownAnswer('never') }
    const begun = performance.now()
    expectRefusal(await call('GET', '/ponds/1', { 'Briarsaddle-Deadline-Milliseconds': '80' }), 504, 'deadline_exceeded')
    expect(performance.now() - begun).to.be.within(70, 400)
  })

  it('aborts the request of a caller that disconnects, so that nothing runs for it in vain', async () => {
    const aborted = new Promise<boolean>(resolve => {
      peers.script = async (_forward, signal) => {
        await delay(900, signal)
        resolve(signal.aborted)
        return unknownAnswer('cancelled')
      }
    })
    const request = httpRequest({ host: '127.0.0.1', port, path: '/ponds/1', agent: false })
    request.on('error', () => {})
    request.end()
    while (peers.sent.length === 0) await delay(5)
    request.destroy()
    expect(await aborted).to.equal(true)
  })

  it('sends pipelined answers in the order of the requests, so that no caller gets the answer to another request', async () => {
    peers.script = async forward => {
      await delay(forward.key === 'a' ? 60 : 0)
      return Answer.create({ outcome: Outcome.OUTCOME_ANSWERED, status: 200, body: Buffer.from(`<${forward.key}>`) })
    }
    const answers = await raw('GET /ponds/a HTTP/1.1\r\nHost: a\r\n\r\nGET /ponds/b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n')
    expect(answers.match(/<.>/g)).to.deep.equal(['<a>', '<b>'])
  })

  it('finishes requests in flight on a stop and answers the rest with their outcome, so that no request ends without an answer', async () => {
    peers.script = async (forward, signal) => {
      await delay(forward.key === 'short' ? 80 : 900, signal)
      return signal.aborted ? unknownAnswer('cancelled') : Answer.create({ outcome: Outcome.OUTCOME_ANSWERED, status: 200 })
    }
    const replies = [call('GET', '/ponds/short'), call('POST', '/ponds/long')]
    while (peers.sent.length < 2) await delay(5)
    const stopped = server.stop(200)
    const [short, long] = await Promise.all(replies)
    expect(short).to.include({ status: 200 })
    expect(short?.headers.connection).to.equal('close')
    expectRefusal(long as Reply, 504, 'cancelled')
    await stopped
  })
})
