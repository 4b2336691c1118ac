import { describeError, Logger } from '@briarsaddle/common'
import { decodeKeyMap, type KeyMap } from '@briarsaddle/key-ranges'
import type { PeerClient } from '@briarsaddle/protocol'

const logger = new Logger('restore')

/** What the other VMs answered. */
export interface OtherMaps {
  readonly maps: readonly KeyMap[]
  /** Whether all VMs of the list answered, so that none of them grants keys by a position before the one that was named. */
  readonly allAnswered: boolean
}

/** The key maps that other VMs hold. */
export abstract class OtherKeyMaps {
  /** Tells the other VMs the position up to which the log was read, and returns those of their maps that have a higher token than `fence`. Never rejects. */
  abstract collect (position: number, fence: number): Promise<OtherMaps>
}

/** The other VMs, which can be asked for their key map. */
export interface KeyMapPeers {
  readonly vms: readonly string[]
  get (vm: string): Pick<PeerClient, 'fetchControl'> | undefined
}

const callMilliseconds = 400

/** Asks the VMs of the list for their key maps. */
export class PeerKeyMaps extends OtherKeyMaps {
  readonly #peers: KeyMapPeers

  constructor (peers: KeyMapPeers) {
    super()
    this.#peers = peers
  }

  override async collect (position: number, fence: number): Promise<OtherMaps> {
    const answers = await Promise.all(this.#peers.vms.map(async vm => await this.#ask(vm, position, fence)))
    return { maps: answers.flatMap(answer => answer?.map ?? []), allAnswered: answers.every(answer => answer !== undefined) }
  }

  /** Returns the map of a VM if it has a higher token; undefined when the VM does not answer. */
  async #ask (vm: string, position: number, fence: number): Promise<{ readonly map: KeyMap | undefined } | undefined> {
    try {
      const answer = await this.#peers.get(vm)?.fetchControl({ keyMapPosition: 0, routingVersion: Number.MAX_SAFE_INTEGER, knownPosition: position, knownFence: fence }, callMilliseconds)
      if (answer === undefined) return undefined
      return { map: answer.keyMap === '' ? undefined : decodeKeyMap(answer.keyMap) }
    } catch (error) {
      logger.info('a VM did not send its key map', { peer: vm, error: describeError(error) })
      return undefined
    }
  }
}
