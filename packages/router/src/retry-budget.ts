import type { Clock } from '@briarsaddle/common'

/** Retry budget of all VMs together, per pool and sliding window. */
export interface RetryBudgetLimit {
  /** Retries allowed per request of a caller. */
  readonly ratio: number
  /** Further retries allowed within a window, to all VMs together. */
  readonly slack: number
  readonly windowMilliseconds: number
}

// Part of its share that a VM uses. The rest covers the errors of the shares: the windows slide, and a VM's part of the slack
// changes with the number of VMs.
const usedShare = 0.7

/**
 * This VM's share of the retry budget per pool: `ratio` of its own requests, and an equal part of the slack. The VMs need not
 * exchange anything, since their shares add up to the budget.
 */
export class RetryBudget {
  readonly #clock: Clock
  readonly #limit: RetryBudgetLimit
  readonly #vms: () => number
  readonly #requests = new Map<string, number[]>()
  readonly #repeats = new Map<string, number[]>()

  constructor (clock: Clock, limit: RetryBudgetLimit, vms: () => number) {
    this.#clock = clock
    this.#limit = limit
    this.#vms = vms
  }

  /** Records a request of a caller. */
  recordRequest (pool: string): void {
    recent(this.#requests, pool, this.#since()).push(this.#clock.now())
  }

  /** Takes one retry from the share. Returns false when the share is used up. */
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
