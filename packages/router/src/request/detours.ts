import type { Clock } from '@briarsaddle/common'
import type { EndpointEntry } from '../endpoint-entry.js'

// After this time a VM that did not reach an endpoint is tried again; until then it costs no request more time.
const avoidMilliseconds = 2_000
const lostMilliseconds = 1_000

/** VMs that did not reach endpoints lately, so that requests take another way. */
export class Detours {
  readonly #clock: Clock
  /** Until when a VM is avoided, by VM and pool or by VM and process of an endpoint. */
  readonly #avoidedUntil = new Map<string, number>()
  /** Until when a process of an endpoint counts as lost, because two VMs did not reach it. */
  readonly #lostUntil = new Map<string, number>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Avoids a VM for all endpoints of a pool. */
  avoidForPool (vm: string, { pool }: EndpointEntry): void {
    this.#put(this.#avoidedUntil, poolKey(vm, pool), avoidMilliseconds)
  }

  /** Records that a VM did not reach an endpoint. When another VM did not reach it before, it counts as lost instead. */
  avoidForEndpoint (vm: string, endpoint: EndpointEntry, before: string | undefined): void {
    if (before === undefined) return this.#put(this.#avoidedUntil, endpointKey(vm, endpoint), avoidMilliseconds)
    this.#avoidedUntil.delete(endpointKey(before, endpoint))
    this.#put(this.#lostUntil, processKey(endpoint), lostMilliseconds)
  }

  /** Whether a VM is avoided for an endpoint. */
  isAvoided (vm: string, endpoint: EndpointEntry): boolean {
    return this.#isCurrent(this.#avoidedUntil, poolKey(vm, endpoint.pool)) || this.#isCurrent(this.#avoidedUntil, endpointKey(vm, endpoint))
  }

  /** Whether an endpoint counts as lost, so that no other way to it is tried. */
  isLost (endpoint: EndpointEntry): boolean {
    return this.#isCurrent(this.#lostUntil, processKey(endpoint))
  }

  #put (times: Map<string, number>, key: string, milliseconds: number): void {
    const now = this.#clock.now()
    for (const [other, until] of times) if (until <= now) times.delete(other)
    times.set(key, now + milliseconds)
  }

  #isCurrent (times: Map<string, number>, key: string): boolean {
    return (times.get(key) ?? -Infinity) > this.#clock.now()
  }
}

function processKey ({ id, life }: EndpointEntry): string {
  return `${id} ${life}`
}

function endpointKey (vm: string, endpoint: EndpointEntry): string {
  return `endpoint ${vm} ${processKey(endpoint)}`
}

function poolKey (vm: string, pool: string): string {
  return `pool ${vm} ${pool}`
}
