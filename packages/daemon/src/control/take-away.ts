import { delay, type Clock } from '@briarsaddle/common'
import { isMajority, TakeAway, type RightOptions } from '@briarsaddle/ownership'
import type { LogFollower } from './log-follower.js'
import type { WitnessPoll } from './witness-poll.js'

const pollMilliseconds = 20

/**
 * Waits until a record that takes something away from an endpoint or coordinator is in effect without the consent of
 * the former holder: a majority of the witnesses has read it, and every right that was given before has expired.
 */
export class TakeAwayWait {
  readonly #follower: LogFollower
  readonly #poll: WitnessPoll
  readonly #clock: Clock
  readonly #rightOptions: RightOptions

  constructor (options: { readonly follower: LogFollower, readonly poll: WitnessPoll, readonly clock: Clock, readonly rightOptions: RightOptions }) {
    this.#follower = options.follower
    this.#poll = options.poll
    this.#clock = options.clock
    this.#rightOptions = options.rightOptions
  }

  /**
   * Returns the local time from which no right under the state before `offset` is valid, as far as other VMs are
   * concerned, or undefined when no majority could be asked before the signal aborted.
   *
   * When this VM is the coordinator on record, other VMs can hold only rights from witnesses, and a majority that has
   * been quiet about the endpoint for longer than a right lasts shows that there are none: then the time is now.
   */
  async expiry (endpoint: string, offset: number, ownRecord: boolean, signal: AbortSignal): Promise<number | undefined> {
    const { rightDuration, margin } = this.#rightOptions
    const takeAway = new TakeAway(offset, this.#follower.state.witnesses, this.#clock.now(), { ...this.#rightOptions, extraWait: 0 })
    while (!signal.aborted) {
      const { state } = this.#follower
      const { vms } = state.witnesses
      const quiet = new Set<string>()
      const replied = new Set<string>()
      const allQuiet = (): boolean => ownRecord && vms.length > 0 && isMajority(vms, vm => quiet.has(vm))
      takeAway.useWitnesses(state.witnesses, this.#clock.now())
      await this.#poll.ask(state, vms, [endpoint], true, ({ vm, answer, quietMilliseconds }) => {
        takeAway.observe(vm, answer.position, this.#clock.now())
        if (answer.position >= offset && (quietMilliseconds[0] ?? 0) > rightDuration * (1 + margin)) quiet.add(vm)
        replied.add(vm)
        // Waiting for a silent witness would hold up the next round, and with it the majority, by its time-out of 200 ms.
        return allQuiet() || (!ownRecord && isMajority(vms, witness => replied.has(witness)))
      })
      if (allQuiet()) return this.#clock.now()
      if (takeAway.effectiveAt !== undefined) return takeAway.effectiveAt
      await delay(pollMilliseconds, signal)
    }
    return undefined
  }
}
