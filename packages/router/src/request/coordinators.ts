import { createHash } from 'node:crypto'
import { sameVmList, type VmEntry } from '@briarsaddle/key-ranges'
import type { EndpointEntry } from '../endpoint-entry.js'

/**
 * Orders the VMs that may queue the requests for an endpoint (its coordinator) by rendezvous hashing: VMs with the same list of
 * VMs choose the same coordinator, and the loss of a VM reassigns only the endpoints that it coordinated. A VM coordinates
 * endpoints in proportion to its weight. VMs in the endpoint's data centre come first, so that a request crosses between data
 * centres at most once, and VMs that are cut off from the endpoint's pool last.
 */
export class Coordinators {
  readonly #ordered = new Map<string, readonly string[]>()
  #vms: readonly VmEntry[] = []

  /** Replaces the list of VMs. */
  update (vms: readonly VmEntry[]): void {
    if (sameVmList(vms, this.#vms)) return
    this.#vms = vms
    this.#ordered.clear()
  }

  /** Returns the id of the coordinating VM: the first one that is not avoided, or the first one of all. Undefined while no VM is known. */
  of (endpoint: EndpointEntry, isAvoided: (vm: string) => boolean = () => false): string | undefined {
    const ordered = this.#orderFor(endpoint)
    return ordered.find(vm => !isAvoided(vm)) ?? ordered[0]
  }

  #orderFor ({ id, dataCentre, pool }: EndpointEntry): readonly string[] {
    const key = `${dataCentre} ${pool} ${id}`
    let ordered = this.#ordered.get(key)
    if (ordered === undefined) {
      const scored = this.#vms.map(vm => ({ id: vm.id, cutOff: vm.cutFrom?.includes(pool) === true, near: vm.dataCentre === dataCentre, score: -(vm.weight ?? 1) / Math.log(fractionOf(`${vm.id} ${id}`)) }))
      scored.sort((one, other) => Number(one.cutOff) - Number(other.cutOff) || Number(other.near) - Number(one.near) || other.score - one.score)
      this.#ordered.set(key, ordered = scored.map(vm => vm.id))
    }
    return ordered
  }
}

/** Returns a number between 0 and 1, both excluded, that depends on the text only. */
function fractionOf (text: string): number {
  return (createHash('sha256').update(text).digest().readUIntBE(0, 6) + 0.5) / 2 ** 48
}
