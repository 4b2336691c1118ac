import { describeError, Logger, type LifeCycle, type Random } from '@briarsaddle/common'
import { decodeKeyMap, type KeyMap } from '@briarsaddle/key-ranges'
import type { PeerPool } from '@briarsaddle/protocol'
import { routingTableSchema, type RoutingTable } from '../routing-table.js'
import type { TopicFollower } from './topic-follower.js'

const logger = new Logger('relay')

/** What the control relay needs from the VM. */
export interface ControlRelayOptions {
  readonly peers: PeerPool
  readonly map: TopicFollower<KeyMap>
  readonly routing: TopicFollower<RoutingTable>
  readonly random: Random
  /** Whether this VM receives the control state from another one. */
  readonly isFed: () => boolean
}

const fetchIntervalMilliseconds = 400
const callMilliseconds = 300

/** Asks other VMs for the key map and the routing table while this VM cannot read the log. */
export class ControlRelay {
  readonly #options: ControlRelayOptions

  constructor (options: ControlRelayOptions) {
    this.#options = options
  }

  /** Starts to ask other VMs, until the life cycle closes. */
  start (lifeCycle: LifeCycle): void {
    lifeCycle.every('control relay', fetchIntervalMilliseconds, async () => await this.#fetchFromPeer(), error => logger.warning('control state could not be fetched from other VMs', { error: describeError(error) }))
  }

  async #fetchFromPeer (): Promise<void> {
    const { map, routing, peers, random, isFed } = this.#options
    if (isFed()) return
    // A read without an answer fails only after a long timeout; a higher position of another VM is known before that.
    if (map.connected && !map.behind && routing.connected) return
    const { vms } = peers
    if (vms.length === 0) return
    const vm = random.pick(vms)
    try {
      const request = { keyMapPosition: map.current?.position ?? 0, routingVersion: routing.current?.state.version ?? 0, knownPosition: 0, knownFence: 0 }
      const response = await peers.get(vm)?.fetchControl(request, callMilliseconds)
      if (response === undefined) return
      if (response.keyMap !== '') map.offer({ position: response.keyMapPosition, state: decodeKeyMap(response.keyMap) })
      if (response.routingTable !== '') routing.offer({ position: routing.current?.position ?? 0, state: routingTableSchema.parse(JSON.parse(response.routingTable)) })
      if (response.keyMap !== '' || response.routingTable !== '') logger.info('control state taken from another VM', { peer: vm, position: response.keyMapPosition, routingVersion: response.routingVersion })
    } catch (error) {
      logger.info('control state could not be fetched from another VM', { peer: vm, error: describeError(error) })
    }
  }
}
