import { createHash } from 'node:crypto'
import { sameVmList, type VmEntry } from '@briarsaddle/key-ranges'

const candidateCount = 3
const relaysOfDataCentre = 2

/** Order of the VMs by capacity, which decides who relays the control state and who may lead. VMs with the same list agree on it. */
export class VmRanks {
  #vms: readonly VmEntry[] = []
  #ranked: readonly VmEntry[] = []
  #candidates: readonly string[] = []

  /** Replaces the list of VMs. */
  update (vms: readonly VmEntry[]): void {
    if (sameVmList(vms, this.#vms)) return
    this.#vms = vms
    // The hash spreads the relays of VMs with the same weight over the list.
    const ordered = vms.map(vm => ({ vm, hash: createHash('sha256').update(vm.id).digest('hex') }))
    ordered.sort((one, other) => weightOf(other.vm) - weightOf(one.vm) || (one.hash < other.hash ? -1 : 1))
    this.#ranked = ordered.map(({ vm }) => vm)
    this.#candidates = candidatesOf(this.#ranked)
  }

  /** True while no VM is known. */
  get empty (): boolean { return this.#ranked.length === 0 }

  /** Returns the position of a VM in the order, from 0 on; undefined when it is not on the list. */
  rankOf (vm: string): number | undefined {
    const rank = this.#ranked.findIndex(({ id }) => id === vm)
    return rank === -1 ? undefined : rank
  }

  /** Whether the VM is cut off from endpoints that others reach. False for all VMs if the list names all of them. */
  isCutOff (vm: string): boolean {
    const cutOff = this.#vms.filter(({ cutFrom }) => cutFrom !== undefined)
    return cutOff.length < this.#vms.length && cutOff.some(({ id }) => id === vm)
  }

  /** Whether the VM is one of those that stand for election; they are in different data centres if there are several. */
  isCandidate (vm: string): boolean {
    return this.#candidates.includes(vm)
  }

  /** Whether other VMs may receive the control state from this one: a candidate, or a relay of its data centre. */
  isSource ({ id, dataCentre }: Pick<VmEntry, 'id' | 'dataCentre'>): boolean {
    return this.isCandidate(id) || this.#relaysOf(dataCentre).includes(id)
  }

  /**
   * Returns the VMs from which a VM may receive the control state, the best first: the relays of its data centre, the leader, the
   * candidates. The first relay receives it from the leader, so that changes cross to another data centre once.
   */
  sourcesOf ({ id, dataCentre }: Pick<VmEntry, 'id' | 'dataCentre'>, leader: string): readonly string[] {
    const relays = this.#relaysOf(dataCentre)
    const rank = relays.indexOf(id)
    const nearer = rank === -1 ? relays : relays.slice(0, rank)
    const known = new Set(this.#ranked.map(vm => vm.id))
    return [...new Set([...nearer, leader, ...this.#candidates])].filter(source => source !== id && known.has(source))
  }

  #relaysOf (dataCentre: string): readonly string[] {
    return this.#ranked.filter(vm => vm.dataCentre === dataCentre).slice(0, relaysOfDataCentre).map(vm => vm.id)
  }
}

function weightOf ({ weight = 1 }: VmEntry): number {
  return weight
}

/**
 * Returns the first VM of each data centre, then others, as long as there are fewer than `candidateCount`. VMs that are cut off from endpoints
 * cannot grant keys.
 */
function candidatesOf (all: readonly VmEntry[]): readonly string[] {
  const reaching = all.filter(vm => vm.cutFrom === undefined)
  const ranked = reaching.length > 0 ? reaching : all
  const firsts = ranked.filter((vm, index) => ranked.findIndex(other => other.dataCentre === vm.dataCentre) === index)
  return [...new Set([...firsts, ...ranked])].slice(0, candidateCount).map(vm => vm.id)
}
