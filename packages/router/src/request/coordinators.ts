import { createHash } from 'node:crypto'
import { sameVmList, type VmEntry } from '@briarsaddle/key-ranges'
import type { EndpointEntry } from '../endpoint-entry.js'

/**
 * Chooses the VM that queues the requests for an endpoint (its coordinator) by rendezvous hashing: VMs with the same list of
 * VMs choose the same coordinator, and the loss of a VM reassigns only the endpoints that it coordinated. A VM coordinates
 * endpoints in proportion to its weight. VMs in the endpoint's data centre are preferred, so that a request crosses between data
 * centres at most once.
 */
export class Coordinators {
  readonly #chosen = new Map<string, string | undefined>()
  #vms: readonly VmEntry[] = []

  /** Replaces the list of VMs. */
  update (vms: readonly VmEntry[]): void {
    if (sameVmList(vms, this.#vms)) return
    this.#vms = vms
    this.#chosen.clear()
  }

  /** Returns the id of the coordinating VM; undefined while no VM is known. */
  of ({ id, dataCentre }: EndpointEntry): string | undefined {
    const key = `${dataCentre} ${id}`
    if (!this.#chosen.has(key)) {
      const near = this.#vms.filter(vm => vm.dataCentre === dataCentre)
      this.#chosen.set(key, highestScored(near.length > 0 ? near : this.#vms, id))
    }
    return this.#chosen.get(key)
  }
}

function highestScored (vms: readonly VmEntry[], endpoint: string): string | undefined {
  const scored = vms.map(({ id, weight = 1 }) => ({ id, score: -weight / Math.log(fractionOf(`${id} ${endpoint}`)) }))
  return scored.sort((one, other) => other.score - one.score)[0]?.id
}

/** Returns a number between 0 and 1, both excluded, that depends on the text only. */
function fractionOf (text: string): number {
  return (createHash('sha256').update(text).digest().readUIntBE(0, 6) + 0.5) / 2 ** 48
}
