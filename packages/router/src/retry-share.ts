import type { Clock } from '@briarsaddle/common'

/** The limit of repeats that all VMs share. */
export interface RetryLimit {
  /** Repeats allowed for each request. */
  readonly ratio: number
  /** Repeats allowed besides, by all VMs together within a window. */
  readonly slack: number
  readonly windowMilliseconds: number
}

// The shares of the VMs are by their own traffic, but windows slide and a VM's share of the slack changes with their
// number; the rest of the limit covers that.
const usedShare = 0.7

/**
 * This VM's share of a limit on repeats per pool: a part of its own requests and an equal part of the slack. Nothing is
 * exchanged with other VMs, since the shares add up to the limit.
 */
export class RetryShare {
  readonly #clock: Clock
  readonly #limit: RetryLimit
  readonly #vms: () => number
  readonly #requests = new Map<string, number[]>()
  readonly #repeats = new Map<string, number[]>()

  constructor (clock: Clock, limit: RetryLimit, vms: () => number) {
    this.#clock = clock
    this.#limit = limit
    this.#vms = vms
  }

  /** Records a request of a caller. */
  requested (pool: string): void {
    recent(this.#requests, pool, this.#since()).push(this.#clock.now())
  }

  /** Takes one repeat from the share. Returns false when it is used up. */
  take (pool: string): boolean {
    const since = this.#since()
    const repeats = recent(this.#repeats, pool, since)
    const requests = recent(this.#requests, pool, since).length
    const allowed = usedShare * (this.#limit.ratio * requests + this.#limit.slack / Math.max(1, this.#vms()))
    if (repeats.length + 1 > allowed) return false
    repeats.push(this.#clock.now())
    return true
  }

  #since (): number {
    return this.#clock.now() - this.#limit.windowMilliseconds
  }
}

function recent (times: Map<string, number[]>, pool: string, since: number): number[] {
  let list = times.get(pool)
  if (list === undefined) times.set(pool, list = [])
  let expired = 0
  while (expired < list.length && (list[expired] as number) < since) expired++
  if (expired > 0) list.splice(0, expired)
  return list
}
