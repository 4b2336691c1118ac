import type { Clock } from '@briarsaddle/common'
import type { ConfirmRequest, ConfirmResponse } from '@briarsaddle/protocol'
import { witnessAnswer } from '@briarsaddle/ownership'
import type { LogFollower } from './log-follower.js'

/**
 * Answers `Confirm` requests. Remembers when it last confirmed each endpoint to each VM, which lets requesters shorten
 * their waits. The times are not stored: after a restart they count from the start of the process, so waits are longer.
 */
export class Witness {
  readonly #follower: LogFollower
  readonly #clock: Clock
  readonly #startedAt: number
  readonly #confirmations = new Map<string, Map<string, number>>()

  constructor (follower: LogFollower, clock: Clock) {
    this.#follower = follower
    this.#clock = clock
    this.#startedAt = clock.now()
  }

  /** Answers one request. */
  answer (request: ConfirmRequest): ConfirmResponse {
    const { ready, position, outdated } = witnessAnswer(this.#follower.reader, {
      witnessList: request.witnessesVersion,
      endpoints: request.endpoints.map(({ endpoint, version }) => ({ id: endpoint, version }))
    })
    if (ready && !request.queryOnly) {
      for (const { endpoint } of request.endpoints) if (!outdated.includes(endpoint)) this.#remember(endpoint, request.vm)
    }
    return {
      ready,
      position: Math.max(0, position),
      outdated: [...outdated],
      quietMilliseconds: request.endpoints.map(({ endpoint }) => this.#millisecondsSinceConfirmation(endpoint, request.vm))
    }
  }

  #remember (endpoint: string, vm: string): void {
    const byVm = this.#confirmations.get(endpoint) ?? new Map<string, number>()
    byVm.set(vm, this.#clock.now())
    this.#confirmations.set(endpoint, byVm)
  }

  #millisecondsSinceConfirmation (endpoint: string, asker: string): number {
    let last = this.#startedAt
    for (const [vm, at] of this.#confirmations.get(endpoint) ?? []) if (vm !== asker) last = Math.max(last, at)
    return this.#clock.now() - last
  }
}
