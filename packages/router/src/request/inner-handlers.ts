import {
  ControlHandler, FrameHandler, unsupported,
  type Answer, type ConfirmResponse, type FetchControlRequest, type FetchControlResponse, type FetchJournalResponse, type FetchKeyLoadsResponse, type FetchLoadsResponse,
  type FetchStateResponse, type Forward, type HeartbeatResponse, type JournalAcknowledgement
} from '@briarsaddle/protocol'
import { encodeKeyMap, type KeyMap } from '@briarsaddle/key-ranges'
import type { TopicFollower } from '../control/topic-follower.js'
import type { RoutingTable } from '../routing-table.js'
import type { Dispatcher } from './dispatcher.js'

/** Runs the requests that other VMs forward. */
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

/** What the control calls of other VMs read. */
export interface RangeControlOptions {
  readonly vm: string
  readonly dispatcher: Dispatcher
  readonly map: TopicFollower<KeyMap>
  readonly routing: TopicFollower<RoutingTable>
  readonly leaving: () => boolean
}

/** Serves the control calls that VMs with key ranges use. */
export class RangeControlHandler extends ControlHandler {
  readonly #options: RangeControlOptions

  constructor (options: RangeControlOptions) {
    super()
    this.#options = options
  }

  override async heartbeat (): Promise<HeartbeatResponse> {
    return { vm: this.#options.vm, instance: '', position: 0, leaving: this.#options.leaving() }
  }

  override async fetchKeyLoads (): Promise<FetchKeyLoadsResponse> {
    const endpoints = [...this.#options.dispatcher.gates].map(([endpoint, gate]) => {
      const { busySlots, serviceMilliseconds, keys } = gate.work.snapshot()
      return { endpoint, busySlots, queued: gate.queued, serviceMilliseconds, keys: [...keys] }
    })
    return { endpoints }
  }

  override async fetchControl ({ keyMapPosition, routingVersion }: FetchControlRequest): Promise<FetchControlResponse> {
    const { map, routing } = this.#options
    const keyMap = map.current
    const table = routing.current?.state
    return {
      keyMapPosition: keyMap?.position ?? 0,
      keyMap: keyMap !== undefined && keyMap.position > keyMapPosition ? encodeKeyMap(keyMap.state) : '',
      routingVersion: table?.version ?? 0,
      routingTable: table !== undefined && table.version > routingVersion ? JSON.stringify(table) : ''
    }
  }

  override async confirm (): Promise<ConfirmResponse> { throw unsupported('confirm') }
  override async fetchState (): Promise<FetchStateResponse> { throw unsupported('fetch state') }
  override async fetchJournal (): Promise<FetchJournalResponse> { throw unsupported('fetch journal') }
  override async fetchLoads (): Promise<FetchLoadsResponse> { throw unsupported('fetch loads') }
}
