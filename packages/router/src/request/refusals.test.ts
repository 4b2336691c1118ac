import { expect } from 'chai'
import { LogSink, MonotonicClock, setLogSink, type LogFields, type LogLevel } from '@briarsaddle/common'
import { repeatingTable, SingleEndpointRouter } from '../stand-ins/single-endpoint-router.js'

interface Line extends LogFields { readonly message: string }

class RecordedLog extends LogSink {
  readonly lines: Line[] = []
  override write (_component: string, _level: LogLevel, message: string, fields: LogFields): void { this.lines.push({ message, ...fields }) }
}

describe('Logs and metrics of requests that no endpoint answered', () => {
  const clock = new MonotonicClock()
  let log: RecordedLog
  let bed: SingleEndpointRouter

  beforeEach(() => {
    log = new RecordedLog()
    setLogSink(log)
    bed = new SingleEndpointRouter(clock, 0)
  })

  afterEach(() => setLogSink(undefined))

  const refusals: ReadonlyArray<readonly [reason: string, pool: string, headers: Readonly<Record<string, string>>, late: number, inputs: LogFields]> = [
    ['invalid_key', 'none', { host: 'a', key: 'x' }, 0, {}],
    ['no_route', 'none', { host: 'b', key: '7' }, 0, { host: 'b', target: '/x' }],
    ['key_missing', 'ponds', { host: 'a' }, 0, { route: 'status' }],
    ['overloaded', 'ponds', { host: 'a', key: '7' }, 300, { route: 'status', limitMilliseconds: 200 }]
  ]
  for (const [reason, pool, headers, late, inputs] of refusals) {
    it(`logs and counts a request that is refused before routing: ${reason}`, async () => {
      bed.router.use(repeatingTable)
      bed.router.accept(bed.request(headers, late))
      expect(log.lines).to.have.length(1)
      expect(log.lines[0]).to.deep.include({ message: 'request refused before routing', request: 'r1', reason, routingVersion: 3, routingAgeMilliseconds: 80, ...inputs })
      expect(await bed.metrics.text()).to.include(`briarsaddle_requests_total{pool="${pool}",outcome="not-run",reason="${reason}"} 1`)
    })
  }

  it('logs and counts a request that arrives before the first routing table', async () => {
    bed.router.accept(bed.request({ host: 'a', key: '7' }))
    expect(log.lines[0]).to.deep.include({ message: 'request refused before routing', request: 'r1', reason: 'no_configuration' })
    expect(await bed.metrics.text()).to.include('briarsaddle_requests_total{pool="none",outcome="not-run",reason="no_configuration"} 1')
  })

  it('logs and counts a request that the entry refuses after its head was read', async () => {
    bed.router.use(repeatingTable)
    const accepted = bed.router.accept(bed.request({ host: 'a', key: '7' }))
    if ('status' in accepted) throw new Error('the request was refused')
    bed.router.refusal('memory_limit', accepted)
    expect(log.lines[0]).to.deep.include({ message: 'request ended by the entry', request: 'r1', pool: 'ponds', key: 7, outcome: 'not-run', reason: 'memory_limit' })
    expect(await bed.metrics.text()).to.include('briarsaddle_requests_total{pool="ponds",outcome="not-run",reason="memory_limit"} 1')
  })

  it('logs the owner, the token and the age of the key map by which a request was routed, and measures queue and endpoint', async () => {
    bed.router.use(repeatingTable)
    await bed.send({ host: 'a', key: '7' })
    expect(log.lines.at(-1)).to.deep.include({
      message: 'request not answered by an endpoint', request: 'r1', outcome: 'unknown', reason: 'connection_broken', sent: 1, endpoint: 'e1', owner: 'e1', fence: 43, keyMapPosition: 12, keyMapAgeMilliseconds: 70, routingVersion: 3, routingAgeMilliseconds: 80
    })
    const page = await bed.metrics.text()
    expect(page).to.include('briarsaddle_queue_seconds_count{pool="ponds"} 1')
    expect(page).to.include('briarsaddle_endpoint_seconds_count{pool="ponds",result="connection_broken"} 1')
  })

  it('writes no line for a request that an endpoint answers', async () => {
    bed.router.use(repeatingTable)
    bed.endpoint.reply = { kind: 'answered', status: 200, headers: [], body: Buffer.from('ok'), lengthKnown: true, load: undefined, limit: 'none' }
    expect(await bed.send({ host: 'a', key: '7' })).to.include({ status: 200 })
    expect(log.lines).to.deep.equal([])
  })

  // Guards against requests that no endpoint can answer in time and that end as if they might have run (at overload, when they are
  // read late): their callers may not repeat them.
  it('refuses a request at once when hardly any request of its route was answered in the time that is left', async () => {
    bed.router.use(repeatingTable)
    bed.endpoint.reply = { kind: 'answered', status: 200, headers: [], body: Buffer.from('ok'), lengthKnown: true, load: undefined, limit: 'none' }
    bed.endpoint.workMilliseconds = 60
    const send = async (deadline: number): Promise<number> => (await bed.send({ host: 'a', key: '7', deadline: String(deadline) })).status
    for (let index = 0; index < 20; index++) expect(await send(1_000)).to.equal(200)
    const answered = bed.endpoint.reply
    // An endpoint ends a request at its deadline, here after 5 ms.
    bed.endpoint.reply = { ...bed.endpoint.reply, status: 504 }
    bed.endpoint.workMilliseconds = 5
    for (let index = 0; index < 20; index++) expect(await send(1_000)).to.equal(504)
    bed.endpoint.reply = answered
    bed.endpoint.workMilliseconds = 60
    const received = bed.endpoint.received
    expect(await send(30)).to.equal(503)
    expect(bed.endpoint.received).to.equal(received)
    expect(log.lines.at(-1)).to.deep.include({ outcome: 'not-run', reason: 'deadline_unreachable', sent: 0 })
    expect(await send(300)).to.equal(200)
  })
})
