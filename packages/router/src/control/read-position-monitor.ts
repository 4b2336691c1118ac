import { Logger } from '@briarsaddle/common'
import type { KeyMap } from '@briarsaddle/key-ranges'
import type { RoutingTable } from '../routing-table.js'
import type { TopicFollower } from './topic-follower.js'

const logger = new Logger('news')

/** How far a VM has read the key map and the routing table. */
export interface ReadPositions {
  readonly keyMapPosition: number
  readonly routingVersion: number
}

/**
 * Compares this VM's read positions with those that other VMs report. When another VM has read further, a pending read of
 * this VM is probably waiting on a dead connection, so it is cancelled and sent again.
 */
export class ReadPositionMonitor {
  readonly #map: TopicFollower<KeyMap>
  readonly #routing: TopicFollower<RoutingTable>

  constructor (map: TopicFollower<KeyMap>, routing: TopicFollower<RoutingTable>) {
    this.#map = map
    this.#routing = routing
  }

  /** Read positions of this VM; 0 before the first read. */
  get own (): ReadPositions {
    return { keyMapPosition: this.#map.current?.position ?? 0, routingVersion: this.#routing.current?.state.version ?? 0 }
  }

  /** Handles the read positions that another VM reported. */
  observePeer ({ keyMapPosition, routingVersion }: ReadPositions): void {
    const own = this.own
    this.#map.observePeerPosition(keyMapPosition)
    if (routingVersion > own.routingVersion) this.#routing.interrupt()
    if (keyMapPosition > own.keyMapPosition || routingVersion > own.routingVersion) {
      logger.info('another VM has read further', { keyMapPosition: own.keyMapPosition, otherKeyMapPosition: keyMapPosition, routingVersion: own.routingVersion, otherRoutingVersion: routingVersion })
    }
  }
}
