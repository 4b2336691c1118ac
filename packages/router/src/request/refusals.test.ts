import { expect } from 'chai'
import { delay, LogSink, LoopDelay, MonotonicClock, Random, setLogSink, type LogFields, type LogLevel } from '@briarsaddle/common'
import type { CallerHeader, CallerRequest } from '@briarsaddle/entry'
import type { KeyMap } from '@briarsaddle/key-ranges'
import type { Directory, EndpointEntry } from '../endpoint-entry.js'
import { EndpointTransport, type EndpointReply, type GrantReply, type ReleaseReply } from '../endpoint-transport.js'
import { MeasuredTransport } from '../measured-transport.js'
import { RetryBudget } from '../retry-budget.js'
import { RouterMetrics } from '../router-metrics.js'
import { LeavingEndpoints } from '../leaving-endpoints.js'
import type { RoutingTable } from '../routing-table.js'
import { PoisonList } from '../poison/poison-list.js'
import { CallerProtocol, type CallerFields } from './caller-protocol.js'
import { ChangeNotifier } from './change-notifier.js'
import { Coordinators } from './coordinators.js'
import { Dispatcher, PeerForwarder } from './dispatcher.js'
import { RangeRouter } from './range-router.js'

interface Line extends LogFields { readonly message: string }

class RecordedLog extends LogSink {
  readonly lines: Line[] = []
  override write (_component: string, _level: LogLevel, message: string, fields: LogFields): void { this.lines.push({ message, ...fields }) }
}

class HeaderProtocol extends CallerProtocol {
  override get understoodHeaders (): ReadonlySet<string> { return new Set() }
  override ownHeaders (): readonly CallerHeader[] { return [] }
  override read ({ headers }: CallerRequest): CallerFields | { readonly invalid: string, readonly requestId: string } {
    const key = headers['key']?.[0]
    if (key === 'x') return { invalid: 'invalid_key', requestId: 'r1' }
    return { host: headers['host']?.[0] ?? '', requestId: 'r1', deadlineMilliseconds: headers['deadline'] === undefined ? undefined : Number(headers['deadline'][0]), key: key === undefined ? undefined : Number(key) }
  }
}

/** Replies to every request with `reply`. */
class FixedEndpoint extends EndpointTransport {
  reply: EndpointReply = { kind: 'broken', reason: 'connection_broken' }
  workMilliseconds = 0
  received = 0
  override async send (): Promise<EndpointReply> {
    this.received++
    if (this.workMilliseconds > 0) await delay(this.workMilliseconds)
    return this.reply
  }

  override async grant (): Promise<GrantReply> { return { kind: 'granted', connection: 1 } }
  override async release (): Promise<ReleaseReply> { return { kind: 'released', handover: '' } }
  override async reach (): Promise<boolean> { return true }
  override keepOnly (): void {}
}

class NoPeers extends PeerForwarder {
  override async forward (): Promise<never> { throw new Error('there is one VM only') }
}

const entry: EndpointEntry = { id: 'e1', pool: 'ponds', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 2, leaving: false, life: 1, warmUpMilliseconds: 0 }
const directory: Directory = new Map([['e1', entry]])
const owner = { endpoint: 'e1', life: 1, address: '127.0.0.1:1' }
const map: KeyMap = { author: 'vm-1', fence: 44, vms: [], pools: { ponds: [{ from: 0, to: 65_535, owner, fence: 43, moving: false, former: [], handover: '' }] } }
const table: RoutingTable = {
  version: 3,
  routes: [{ name: 'status', host: 'a', pathPrefix: '/', idempotent: false, timeoutMilliseconds: 1_000, objectiveMilliseconds: 400, rank: 0, attempts: 2, targets: [{ pool: 'ponds', weight: 1 }] }],
  pools: [{ name: 'ponds', keyed: true, maximumConnections: 100 }]
}

describe('Logs and metrics of requests that no endpoint answered', () => {
  const clock = new MonotonicClock()
  let log: RecordedLog
  let metrics: RouterMetrics
  let endpoint: FixedEndpoint
  let router: RangeRouter
  let dispatcher: Dispatcher

  beforeEach(() => {
    log = new RecordedLog()
    setLogSink(log)
    metrics = new RouterMetrics()
    endpoint = new FixedEndpoint()
    dispatcher = new Dispatcher({
      vm: 'vm-1', coordinators: new Coordinators(), peers: new NoPeers(), transport: new MeasuredTransport(endpoint, metrics, clock), directory: () => directory, clock, loopDelay: new LoopDelay(clock), random: new Random(1), metrics, leaving: new LeavingEndpoints(clock), poison: new PoisonList(clock), reach: { isCutOff: () => false, isInDoubt: () => false, doubt: () => {}, isUnreached: () => false }
    })
    router = new RangeRouter({
      dataCentre: 'a',
      clock,
      random: new Random(1),
      protocol: new HeaderProtocol(),
      dispatcher,
      retries: new RetryBudget(clock, { ratio: 0, slack: 0, windowMilliseconds: 1_000 }, () => 1),
      map: () => map,
      directory: () => directory,
      changes: new ChangeNotifier(),
      poison: new PoisonList(clock),
      leaving: new LeavingEndpoints(clock),
      metrics,
      stateAges: () => ({ keyMapPosition: 12, keyMapAgeMilliseconds: 70, routingAgeMilliseconds: 80, directoryAgeMilliseconds: 90 })
    })
  })

  afterEach(() => setLogSink(undefined))

  const request = (headers: Readonly<Record<string, string>>, lateMilliseconds = 0): CallerRequest => ({
    method: 'GET', target: '/x', headers: Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, [value]])), rawHeaders: [], remoteAddress: '127.0.0.1', arrivedAt: clock.now() - lateMilliseconds
  })

  const refusals: ReadonlyArray<readonly [reason: string, pool: string, headers: Readonly<Record<string, string>>, late: number, inputs: LogFields]> = [
    ['invalid_key', 'none', { host: 'a', key: 'x' }, 0, {}],
    ['no_route', 'none', { host: 'b', key: '7' }, 0, { host: 'b', target: '/x' }],
    ['key_missing', 'ponds', { host: 'a' }, 0, { route: 'status' }],
    ['overloaded', 'ponds', { host: 'a', key: '7' }, 300, { route: 'status', limitMilliseconds: 200 }]
  ]
  for (const [reason, pool, headers, late, inputs] of refusals) {
    it(`logs and counts a request that is refused before routing: ${reason}`, async () => {
      router.use(table)
      router.accept(request(headers, late))
      expect(log.lines).to.have.length(1)
      expect(log.lines[0]).to.deep.include({ message: 'request refused before routing', request: 'r1', reason, routingVersion: 3, routingAgeMilliseconds: 80, ...inputs })
      expect(await metrics.text()).to.include(`briarsaddle_requests_total{pool="${pool}",outcome="not-run",reason="${reason}"} 1`)
    })
  }

  it('logs and counts a request that arrives before the first routing table', async () => {
    router.accept(request({ host: 'a', key: '7' }))
    expect(log.lines[0]).to.deep.include({ message: 'request refused before routing', request: 'r1', reason: 'no_configuration' })
    expect(await metrics.text()).to.include('briarsaddle_requests_total{pool="none",outcome="not-run",reason="no_configuration"} 1')
  })

  it('logs and counts a request that the entry refuses after its head was read', async () => {
    router.use(table)
    const accepted = router.accept(request({ host: 'a', key: '7' }))
    if ('status' in accepted) throw new Error('the request was refused')
    router.refusal('memory_limit', accepted)
    expect(log.lines[0]).to.deep.include({ message: 'request ended by the entry', request: 'r1', pool: 'ponds', key: 7, outcome: 'not-run', reason: 'memory_limit' })
    expect(await metrics.text()).to.include('briarsaddle_requests_total{pool="ponds",outcome="not-run",reason="memory_limit"} 1')
  })

  it('logs the owner, the token and the age of the key map by which a request was routed, and measures queue and endpoint', async () => {
    router.use(table)
    const accepted = router.accept(request({ host: 'a', key: '7' }))
    if ('status' in accepted) throw new Error('the request was refused')
    await router.route(accepted, Buffer.alloc(0), new AbortController().signal)
    expect(log.lines.at(-1)).to.deep.include({
      message: 'request not answered by an endpoint', request: 'r1', outcome: 'unknown', reason: 'connection_broken', sent: 1, endpoint: 'e1', owner: 'e1', fence: 43, keyMapPosition: 12, keyMapAgeMilliseconds: 70, routingVersion: 3, routingAgeMilliseconds: 80
    })
    const page = await metrics.text()
    expect(page).to.include('briarsaddle_queue_seconds_count{pool="ponds"} 1')
    expect(page).to.include('briarsaddle_endpoint_seconds_count{pool="ponds",result="connection_broken"} 1')
  })

  it('writes no line for a request that an endpoint answers', async () => {
    router.use(table)
    endpoint.reply = { kind: 'answered', status: 200, headers: [], body: Buffer.from('ok'), lengthKnown: true, load: undefined, limit: 'none' }
    const accepted = router.accept(request({ host: 'a', key: '7' }))
    if ('status' in accepted) throw new Error('the request was refused')
    expect(await router.route(accepted, Buffer.alloc(0), new AbortController().signal)).to.include({ status: 200 })
    expect(log.lines).to.deep.equal([])
  })

  // Guards against requests that no endpoint can answer in time and that end as if they might have run (at overload, when they are
  // read late): their callers may not repeat them.
  it('refuses a request at once when hardly any request of its route was answered in the time that is left', async () => {
    router.use(table)
    endpoint.reply = { kind: 'answered', status: 200, headers: [], body: Buffer.from('ok'), lengthKnown: true, load: undefined, limit: 'none' }
    endpoint.workMilliseconds = 60
    const send = async (deadline: number): Promise<number> => {
      const accepted = router.accept(request({ host: 'a', key: '7', deadline: String(deadline) }))
      if ('status' in accepted) throw new Error('the request was refused')
      return (await router.route(accepted, Buffer.alloc(0), new AbortController().signal)).status
    }
    for (let index = 0; index < 20; index++) expect(await send(1_000)).to.equal(200)
    const answered = endpoint.reply
    // An endpoint ends a request at its deadline, here after 5 ms.
    endpoint.reply = { ...endpoint.reply, status: 504 }
    endpoint.workMilliseconds = 5
    for (let index = 0; index < 20; index++) expect(await send(1_000)).to.equal(504)
    endpoint.reply = answered
    endpoint.workMilliseconds = 60
    const received = endpoint.received
    expect(await send(30)).to.equal(503)
    expect(endpoint.received).to.equal(received)
    expect(log.lines.at(-1)).to.deep.include({ outcome: 'not-run', reason: 'deadline_unreachable', sent: 0 })
    expect(await send(300)).to.equal(200)
  })
})
