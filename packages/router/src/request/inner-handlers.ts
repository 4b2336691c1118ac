import {
  ControlHandler, FrameHandler, unsupported,
  type Answer, type ConfirmResponse, type ControlWatcher, type EndpointKeyLoad, type FetchControlRequest, type FetchControlResponse, type FetchJournalResponse, type FetchKeyLoadsRequest, type FetchKeyLoadsResponse, type FetchLoadsResponse,
  type FetchStateResponse, type Forward, type HeartbeatResponse, type JournalAcknowledgement
} from '@briarsaddle/protocol'
import { encodeKeyMap, segmentAt, type KeyMap } from '@briarsaddle/key-ranges'
import type { VmLoad } from '../control/coordination-plan.js'
import type { ControlPublisher } from '../control/control-publisher.js'
import type { ReadPositionMonitor } from '../control/read-position-monitor.js'
import type { TopicState } from '../control/state-topic.js'
import type { TopicFollower } from '../control/topic-follower.js'
import type { EndpointReach } from '../endpoint-reach.js'
import type { PoisonList } from '../poison/poison-list.js'
import type { RoutingTable } from '../routing-table.js'
import type { Dispatcher } from './dispatcher.js'
import type { EndpointGate } from './endpoint-gate.js'

/** Handles the requests that other VMs forward. */
export class RangeFrameHandler extends FrameHandler {
  readonly #dispatcher: Dispatcher

  constructor (dispatcher: Dispatcher) {
    super()
    this.#dispatcher = dispatcher
  }

  override async forward (forward: Forward, signal: AbortSignal): Promise<Answer> {
    return await this.#dispatcher.accept(forward, signal)
  }

  override async journal (): Promise<JournalAcknowledgement> { throw unsupported('store journal entry') }
}

// Demand per slot from which an endpoint's keys are reported: no keys are moved away from endpoints with less.
const keyReportThreshold = 0.6
const maximumReportedKeys = 128

/** What the control handler needs from the VM. */
export interface RangeControlOptions {
  readonly vm: string
  readonly dispatcher: Dispatcher
  readonly map: TopicFollower<KeyMap>
  readonly routing: TopicFollower<RoutingTable>
  readonly readPositions: ReadPositionMonitor
  readonly publisher: ControlPublisher
  readonly poison: PoisonList
  readonly reach: Pick<EndpointReach, 'cutOffPools' | 'reachedPools'>
  readonly leaving: () => boolean
  /** Load of this VM; undefined until it has been measured. */
  readonly load: () => VmLoad | undefined
}

/** Serves the control calls of other VMs; those that this router does not use are rejected as unsupported. */
export class RangeControlHandler extends ControlHandler {
  readonly #options: RangeControlOptions

  constructor (options: RangeControlOptions) {
    super()
    this.#options = options
  }

  override async heartbeat (): Promise<HeartbeatResponse> {
    return { vm: this.#options.vm, instance: '', position: 0, leaving: this.#options.leaving() }
  }

  override async fetchKeyLoads (request: FetchKeyLoadsRequest): Promise<FetchKeyLoadsResponse> {
    this.#options.readPositions.observePeer(request)
    const { publisher, leaving, reach, load } = this.#options
    return { ...this.#options.readPositions.own, watchers: [...publisher.watchers], leaving: leaving(), load: load(), poisonRequests: this.#options.poison.encodeRecent(), cutOffPools: [...reach.cutOffPools], reachedPools: [...reach.reachedPools], endpoints: [...this.#options.dispatcher.gates].map(([endpoint, gate]) => this.#keyLoad(endpoint, gate)) }
  }

  override async fetchControl ({ keyMapPosition, routingVersion, knownPosition, knownFence }: FetchControlRequest): Promise<FetchControlResponse> {
    const { map, routing } = this.#options
    map.observePeerPosition(knownPosition)
    const keyMap = map.current
    const table = routing.current?.state
    const isNewer = (held: TopicState<KeyMap>): boolean => knownPosition > 0 ? held.state.fence > knownFence : held.position > keyMapPosition
    return {
      keyMapPosition: keyMap?.position ?? 0,
      keyMap: keyMap !== undefined && isNewer(keyMap) ? encodeKeyMap(keyMap.state) : '',
      routingVersion: table?.version ?? 0,
      routingTable: table !== undefined && table.version > routingVersion ? JSON.stringify(table) : ''
    }
  }

  override watchControl (watcher: ControlWatcher): void {
    this.#options.publisher.add(watcher)
  }

  /** Reports the demand at an endpoint, without that of keys that have moved away since they were requested. */
  #keyLoad (endpoint: string, gate: EndpointGate): EndpointKeyLoad {
    const map = this.#options.map.current?.state
    const { busySlots, serviceMilliseconds, keys } = gate.demand.snapshot()
    const isOwned = (key: number): boolean => map === undefined || segmentAt(map, gate.pool, key)?.owner.endpoint === endpoint
    const owned = keys.filter(({ key }) => isOwned(key))
    const movedAwaySlots = keys.reduce((sum, key) => sum + key.busySlots, 0) - owned.reduce((sum, key) => sum + key.busySlots, 0)
    const remainingSlots = Math.max(0, busySlots - movedAwaySlots)
    const usableSlots = gate.usableSlots(serviceMilliseconds)
    const busy = remainingSlots > keyReportThreshold * (usableSlots ?? Math.max(1, gate.slots))
    return { endpoint, requestsPerSecond: gate.rate.perSecond, busySlots: remainingSlots, queued: gate.queued, serviceMilliseconds, keys: busy ? owned.slice(0, maximumReportedKeys) : [], usableSlots }
  }

  override async confirm (): Promise<ConfirmResponse> { throw unsupported('confirm') }
  override async fetchState (): Promise<FetchStateResponse> { throw unsupported('fetch state') }
  override async fetchJournal (): Promise<FetchJournalResponse> { throw unsupported('fetch journal') }
  override async fetchLoads (): Promise<FetchLoadsResponse> { throw unsupported('fetch loads') }
}
