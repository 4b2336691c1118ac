import { sameVmList, type VmEntry } from '@briarsaddle/key-ranges'
import type { Directory, EndpointEntry } from '../endpoint-entry.js'
import { coordinatorsOf, hashOf, spreadsCoordination } from './coordinator-assignment.js'

/**
 * Chooses the VM that queues the requests for an endpoint, its coordinator. VMs with the same list of VMs and the same endpoints choose the same one,
 * see `coordinatorsOf`. The other VMs follow in the order of rendezvous hashing, those in the endpoint's data centre first, so that a request
 * crosses between data centres at most once, and those that are cut off from the endpoint's pool last.
 */
export class Coordinators {
  readonly #ordered = new Map<string, readonly string[]>()
  #vms: readonly VmEntry[] = []
  #endpoints: readonly EndpointEntry[] = []
  /** Coordinator by endpoint; undefined until it is needed. */
  #assigned: ReadonlyMap<string, string> | undefined

  /** Replaces the list of VMs. */
  update (vms: readonly VmEntry[]): void {
    if (sameVmList(vms, this.#vms)) return
    this.#vms = vms
    this.#ordered.clear()
    this.#assigned = undefined
  }

  /** Replaces the endpoints. */
  updateEndpoints (directory: Directory): void {
    const endpoints = [...directory.values()]
    if (sameEndpoints(endpoints, this.#endpoints)) return
    this.#endpoints = endpoints
    this.#assigned = undefined
  }

  /** Returns the id of the coordinating VM: the first one that is not avoided, or the first one of all. Undefined while no VM is known. */
  of (endpoint: EndpointEntry, isAvoided: (vm: string) => boolean = () => false): string | undefined {
    const first = this.#assignment.get(endpoint.id)
    if (first !== undefined && !isAvoided(first)) return first
    const ordered = this.#orderFor(endpoint)
    return ordered.find(vm => !isAvoided(vm)) ?? first ?? ordered[0]
  }

  get #assignment (): ReadonlyMap<string, string> {
    this.#assigned ??= spreadsCoordination(this.#vms) ? coordinatorsOf(this.#vms, this.#endpoints) : new Map()
    return this.#assigned
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

function sameEndpoints (some: readonly EndpointEntry[], others: readonly EndpointEntry[]): boolean {
  return some.length === others.length && some.every((entry, index) => {
    const other = others[index]
    return entry.id === other?.id && entry.pool === other.pool && entry.dataCentre === other.dataCentre
  })
}

/** Returns a number between 0 and 1, both excluded, that depends on the text only. */
function fractionOf (text: string): number {
  return (hashOf(text) + 0.5) / 2 ** 48
}
