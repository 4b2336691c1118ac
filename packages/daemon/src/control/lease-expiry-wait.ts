import { delay, type Clock } from '@briarsaddle/common'
import { isMajority, LeaseExpiryTracker, type LeaseOptions } from '@briarsaddle/ownership'
import type { LogFollower } from './log-follower.js'
import type { WitnessPoll } from './witness-poll.js'

const pollMilliseconds = 20

/**
 * Waits until a record that revokes buckets or coordination is safe to act on without an acknowledgement of the previous
 * holder: a majority of the witnesses has read the record, and every lease that was extended before has expired.
 */
export class LeaseExpiryWait {
  readonly #follower: LogFollower
  readonly #poll: WitnessPoll
  readonly #clock: Clock
  readonly #leaseOptions: LeaseOptions

  constructor (options: { readonly follower: LogFollower, readonly poll: WitnessPoll, readonly clock: Clock, readonly leaseOptions: LeaseOptions }) {
    this.#follower = options.follower
    this.#poll = options.poll
    this.#clock = options.clock
    this.#leaseOptions = options.leaseOptions
  }

  /**
   * Returns the local time from which no lease of another VM under the state before `offset` is valid, or undefined when
   * the signal aborts before a majority of the witnesses has read the record.
   *
   * With `ownRecord`, this VM is the coordinator in the log and other VMs can only hold leases from witnesses. If a
   * majority has confirmed the endpoint to no other VM for longer than a lease lasts, no such lease is valid, and the
   * result is the current time.
   */
  async expiry (endpoint: string, offset: number, ownRecord: boolean, signal: AbortSignal): Promise<number | undefined> {
    const { leaseDuration, margin } = this.#leaseOptions
    const tracker = new LeaseExpiryTracker(offset, this.#follower.state.witnesses, this.#clock.now(), { ...this.#leaseOptions, extraWait: 0 })
    while (!signal.aborted) {
      const { state } = this.#follower
      const { vms } = state.witnesses
      const withoutConfirmation = new Set<string>()
      const replied = new Set<string>()
      const majorityWithoutConfirmation = (): boolean => ownRecord && vms.length > 0 && isMajority(vms, vm => withoutConfirmation.has(vm))
      tracker.replaceWitnesses(state.witnesses, this.#clock.now())
      await this.#poll.ask(state, vms, [endpoint], true, ({ vm, answer, quietMilliseconds }) => {
        tracker.observe(vm, answer.position, this.#clock.now())
        if (answer.position >= offset && (quietMilliseconds[0] ?? 0) > leaseDuration * (1 + margin)) withoutConfirmation.add(vm)
        replied.add(vm)
        // Waiting for a witness that does not respond would delay the next round, and with it the majority, by the time-out of 200 ms.
        return majorityWithoutConfirmation() || (!ownRecord && isMajority(vms, witness => replied.has(witness)))
      })
      if (majorityWithoutConfirmation()) return this.#clock.now()
      if (tracker.leasesExpiredAt !== undefined) return tracker.leasesExpiredAt
      await delay(pollMilliseconds, signal)
    }
    return undefined
  }
}
