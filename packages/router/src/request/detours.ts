import type { Clock } from '@briarsaddle/common'
import { processKeyOf, type EndpointEntry } from '../endpoint-entry.js'

// After this time a VM that did not reach an endpoint is tried again; until then it costs no request more time.
const avoidMilliseconds = 2_000
const lostMilliseconds = 1_000
// An endpoint that so many VMs do not reach has probably crashed.
const vmsToCountAsLost = 5

/** VMs that did not reach endpoints lately, so that requests take another way. */
export class Detours {
  readonly #clock: Clock
  /** Until when a VM is avoided, by VM, for each pool and each process of an endpoint. */
  readonly #avoidedUntil = new Map<string, Map<string, number>>()
  /** Until when a process of an endpoint counts as lost. */
  readonly #lostUntil = new Map<string, number>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Avoids a VM for all endpoints of a pool. */
  avoidForPool (vm: string, { pool }: EndpointEntry): void {
    this.#avoid(poolKey(pool), vm)
  }

  /** Avoids a VM for one process of an endpoint. */
  avoidForEndpoint (vm: string, endpoint: EndpointEntry): void {
    if (this.#avoid(processKeyOf(endpoint), vm) >= vmsToCountAsLost) this.countAsLost(endpoint)
  }

  /** Records that no VM reaches an endpoint, so that no other way to it is tried for a while. */
  countAsLost (endpoint: EndpointEntry): void {
    const now = this.#clock.now()
    for (const [key, until] of this.#lostUntil) if (until <= now) this.#lostUntil.delete(key)
    this.#lostUntil.set(processKeyOf(endpoint), now + lostMilliseconds)
    this.#avoidedUntil.delete(processKeyOf(endpoint))
  }

  /** Whether a VM is avoided for an endpoint. */
  isAvoided (vm: string, endpoint: EndpointEntry): boolean {
    const now = this.#clock.now()
    return [poolKey(endpoint.pool), processKeyOf(endpoint)].some(key => (this.#avoidedUntil.get(key)?.get(vm) ?? -Infinity) > now)
  }

  /** Whether an endpoint counts as lost. */
  isLost (endpoint: EndpointEntry): boolean {
    return (this.#lostUntil.get(processKeyOf(endpoint)) ?? -Infinity) > this.#clock.now()
  }

  /** Returns the number of VMs that are avoided under the key. */
  #avoid (key: string, vm: string): number {
    const now = this.#clock.now()
    for (const [other, vms] of this.#avoidedUntil) {
      for (const [avoided, until] of vms) if (until <= now) vms.delete(avoided)
      if (vms.size === 0) this.#avoidedUntil.delete(other)
    }
    const vms = this.#avoidedUntil.get(key) ?? new Map<string, number>()
    this.#avoidedUntil.set(key, vms.set(vm, now + avoidMilliseconds))
    return vms.size
  }
}

function poolKey (pool: string): string {
  return `pool ${pool}`
}
