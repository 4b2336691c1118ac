import type { KeyHasher } from './hash.js'

/** Number of watchers of each VM: the VMs that monitor it by heartbeats. */
export const watchersPerVm = 4

/** A VM on the membership ring. */
export interface RingVm {
  readonly id: string
  readonly dataCentre: string
}

/** An endpoint that needs a coordinator. */
export interface CoordinatedEndpoint {
  readonly id: string
  readonly dataCentre: string
}

/** The ring of live VMs, ordered by the hash of their ids. Immutable: build a new ring when the VM list changes. */
export class MembershipRing {
  readonly #hasher: KeyHasher
  readonly #vms: readonly RingVm[]
  readonly #suspected: ReadonlySet<string>
  readonly #indexes: ReadonlyMap<string, number>
  readonly #usableDataCentres: ReadonlySet<string>

  /** `suspected` holds the ids of listed VMs that are suspected to have failed. They keep their position but monitor no other VM. */
  constructor (hasher: KeyHasher, vms: readonly RingVm[], suspected: ReadonlySet<string> = new Set()) {
    this.#hasher = hasher
    const positions = new Map(vms.map(vm => [vm.id, hasher.ringPosition(vm.id)]))
    this.#vms = [...vms].sort((one, other) => (positions.get(one.id) ?? 0) - (positions.get(other.id) ?? 0) || compareIds(one.id, other.id))
    this.#suspected = suspected
    this.#indexes = new Map(this.#vms.map(({ id }, index) => [id, index]))
    this.#usableDataCentres = new Set(this.#vms.filter(({ id }) => !suspected.has(id)).map(({ dataCentre }) => dataCentre))
  }

  /**
   * The watchers of `id`, which monitor it by heartbeats, nearest first: its nearest predecessors on the ring that are not suspected. The last is
   * replaced by a VM of another data centre if there would be none otherwise.
   */
  nearestWatchers (id: string): readonly RingVm[] {
    const index = this.#indexes.get(id)
    const self = this.#vms[index ?? -1]
    if (index === undefined || self === undefined) return []
    const watchers: RingVm[] = []
    const otherDataCentreExists = [...this.#usableDataCentres].some(dataCentre => dataCentre !== self.dataCentre)
    let outsider: RingVm | undefined
    for (let distance = 1; distance < this.#vms.length; distance++) {
      if (watchers.length === watchersPerVm && (outsider !== undefined || !otherDataCentreExists)) break
      const vm = this.#vms[(index - distance + this.#vms.length) % this.#vms.length]
      if (vm === undefined || this.#suspected.has(vm.id)) continue
      if (watchers.length < watchersPerVm) watchers.push(vm)
      if (vm.dataCentre !== self.dataCentre) outsider ??= vm
    }
    // The loss of a data centre must be detected from outside, so one watcher is in another data centre if there is one.
    if (outsider !== undefined && !watchers.includes(outsider)) watchers[watchers.length - 1] = outsider
    return watchers
  }

  /** The watchers of `id` in the order in which they take over from it: first one in another data centre if there is one, then the others by distance. */
  rankedWatchers (id: string): readonly RingVm[] {
    const watchers = this.nearestWatchers(id)
    const dataCentre = this.#vms[this.#indexes.get(id) ?? -1]?.dataCentre
    const first = watchers.find(vm => vm.dataCentre !== dataCentre)
    return first === undefined ? watchers : [first, ...watchers.filter(vm => vm !== first)]
  }

  /** The VMs that `id` monitors, that is whose watcher it is. */
  watchedVms (id: string): readonly RingVm[] {
    return this.#vms.filter(vm => vm.id !== id && this.nearestWatchers(vm.id).some(watcher => watcher.id === id))
  }

  /**
   * Chooses the coordinator of an endpoint by rendezvous hashing with bounded loads: no VM gets more than one endpoint
   * above the rounded-up average. Prefers VMs outside the endpoint's data centre among those below the bound.
   * `counts` holds the number of other endpoints that each VM coordinates. Returns undefined when every VM is suspected.
   */
  preferredCoordinator (endpoint: CoordinatedEndpoint, counts: ReadonlyMap<string, number>): RingVm | undefined {
    const usable = this.#vms.filter(vm => !this.#suspected.has(vm.id))
    const total = 1 + [...counts.values()].reduce((sum, count) => sum + count, 0)
    const bound = Math.ceil(total / usable.length) + 1
    const free = usable.filter(vm => (counts.get(vm.id) ?? 0) < bound)
    const elsewhere = free.filter(vm => vm.dataCentre !== endpoint.dataCentre)
    return this.#highestScoring(elsewhere.length > 0 ? elsewhere : free, endpoint.id)
  }

  /** The standby of a coordinator: the first VM of `rankedWatchers`. */
  preferredStandby (coordinator: string): RingVm | undefined {
    return this.rankedWatchers(coordinator)[0]
  }

  #highestScoring (vms: readonly RingVm[], key: string): RingVm | undefined {
    let best: { readonly vm: RingVm, readonly score: number } | undefined
    for (const vm of vms) {
      const score = this.#hasher.ringPosition(`${vm.id} ${key}`)
      if (best === undefined || score > best.score) best = { vm, score }
    }
    return best?.vm
  }
}

function compareIds (one: string, other: string): number {
  return one < other ? -1 : one > other ? 1 : 0
}
