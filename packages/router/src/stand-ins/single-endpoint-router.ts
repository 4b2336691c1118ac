import { delay, LoopDelay, Random, type Clock } from '@briarsaddle/common'
import type { CallerAnswer, CallerHeader, CallerRequest } from '@briarsaddle/entry'
import type { KeyMap } from '@briarsaddle/key-ranges'
import type { Directory, EndpointEntry } from '../endpoint-entry.js'
import { EndpointTransport, type EndpointReply, type GrantReply, type ReleaseReply } from '../endpoint-transport.js'
import { LeavingEndpoints } from '../leaving-endpoints.js'
import { MeasuredTransport } from '../measured-transport.js'
import { PoisonList } from '../poison/poison-list.js'
import { CallerProtocol, type CallerFields } from '../request/caller-protocol.js'
import { ChangeNotifier } from '../request/change-notifier.js'
import { Coordinators } from '../request/coordinators.js'
import { Dispatcher, PeerForwarder } from '../request/dispatcher.js'
import { RangeRouter } from '../request/range-router.js'
import { RetryBudget } from '../retry-budget.js'
import { RouterMetrics } from '../router-metrics.js'
import type { RoutingTable } from '../routing-table.js'

class HeaderProtocol extends CallerProtocol {
  override get understoodHeaders (): ReadonlySet<string> { return new Set() }
  override ownHeaders (): readonly CallerHeader[] { return [] }
  override read ({ headers }: CallerRequest): CallerFields | { readonly invalid: string, readonly requestId: string } {
    const key = headers['key']?.[0]
    if (key === 'x') return { invalid: 'invalid_key', requestId: 'r1' }
    return { host: headers['host']?.[0] ?? '', requestId: 'r1', deadlineMilliseconds: headers['deadline'] === undefined ? undefined : Number(headers['deadline'][0]), key: key === undefined ? undefined : Number(key) }
  }
}

/** Replies to requests with `next` in turn, then with `reply`. */
class FixedEndpoint extends EndpointTransport {
  reply: EndpointReply = { kind: 'broken', reason: 'connection_broken' }
  readonly next: EndpointReply[] = []
  workMilliseconds = 0
  /** Ids of the endpoints that requests were sent to. */
  readonly sentTo: string[] = []
  get received (): number { return this.sentTo.length }
  override async send ({ id }: EndpointEntry): Promise<EndpointReply> {
    this.sentTo.push(id)
    if (this.workMilliseconds > 0) await delay(this.workMilliseconds)
    return this.next.shift() ?? this.reply
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
const plainEntries = ['d1', 'd2'].map((id, index): EndpointEntry => ({ ...entry, id, pool: 'desk', port: 2 + index }))
const directory: Directory = new Map([entry, ...plainEntries].map(listed => [listed.id, listed]))
const owner = { endpoint: 'e1', life: 1, address: '127.0.0.1:1' }
const map: KeyMap = { author: 'vm-1', fence: 44, vms: [], pools: { ponds: [{ from: 0, to: 65_535, owner, fence: 43, moving: false, former: [], handover: '' }] } }
/** Routing table whose only route repeats requests once. */
export const repeatingTable: RoutingTable = {
  version: 3,
  routes: [{ name: 'status', host: 'a', pathPrefix: '/', idempotent: false, timeoutMilliseconds: 1_000, objectiveMilliseconds: 400, rank: 0, attempts: 2, targets: [{ pool: 'ponds', weight: 1 }] }],
  pools: [{ name: 'ponds', keyed: true, maximumConnections: 100 }]
}

/** A router in front of one endpoint that holds all keys, and a pool `desk` of two endpoints without keys. The retry budget grants `repeats` repeats. */
export class SingleEndpointRouter {
  readonly metrics = new RouterMetrics()
  readonly endpoint = new FixedEndpoint()
  readonly router: RangeRouter
  readonly #clock: Clock

  constructor (clock: Clock, repeats: number) {
    this.#clock = clock
    const leaving = new LeavingEndpoints(clock)
    const poison = new PoisonList(clock)
    const dispatcher = new Dispatcher({
      vm: 'vm-1', coordinators: new Coordinators(), peers: new NoPeers(), transport: new MeasuredTransport(this.endpoint, this.metrics, clock), directory: () => directory, clock, loopDelay: new LoopDelay(clock), random: new Random(1), metrics: this.metrics, leaving, poison, reach: { isCutOff: () => false, isInDoubt: () => false, doubt: () => {}, isUnreached: () => false }
    })
    this.router = new RangeRouter({
      dataCentre: 'a',
      clock,
      random: new Random(1),
      protocol: new HeaderProtocol(),
      dispatcher,
      retries: new RetryBudget(clock, { ratio: 0, slack: repeats, windowMilliseconds: 1_000 }, () => 1),
      map: () => map,
      directory: () => directory,
      changes: new ChangeNotifier(),
      poison,
      leaving,
      metrics: this.metrics,
      stateAges: () => ({ keyMapPosition: 12, keyMapAgeMilliseconds: 70, routingAgeMilliseconds: 80, directoryAgeMilliseconds: 90 })
    })
  }

  request (headers: Readonly<Record<string, string>>, lateMilliseconds = 0): CallerRequest {
    return { method: 'GET', target: '/x', headers: Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, [value]])), rawHeaders: [], remoteAddress: '127.0.0.1', arrivedAt: this.#clock.now() - lateMilliseconds }
  }

  /** Routes a request that the router accepts. */
  async send (headers: Readonly<Record<string, string>>, mayEndConnection: () => boolean = () => true): Promise<CallerAnswer> {
    const accepted = this.router.accept(this.request(headers))
    if ('status' in accepted) throw new Error('the request was refused')
    return await this.router.route(accepted, Buffer.alloc(0), new AbortController().signal, mayEndConnection)
  }
}
