import type { Clock } from '@briarsaddle/common'
import type { VmRanks } from './vm-ranks.js'

// A VM that is not a candidate by its rank stands for election when it has had no source for this long: by then lost candidates
// have expired. The others follow in the order of their ranks, since each VM that joins may make another one the leader.
const candidacyAgeMilliseconds = 1_200
const candidacyStepMilliseconds = 150
const longestDelayMilliseconds = 1_500
// It leaves the group again when it has had a source for this long.
const candidacyEndMilliseconds = 5_000

/** What the decision needs from the VM. The functions return the current state. */
export interface CandidacyOptions {
  /** Id of this VM. */
  readonly vm: string
  readonly clock: Clock
  readonly ranks: Pick<VmRanks, 'rankOf' | 'isCandidate' | 'isCutOff'>
  /** Whether this VM may stand for election while it is not on the list of VMs, as the seeds may at the first start. */
  readonly mayBegin: boolean
  /** Whether this VM leads and cannot hand over, because no other candidate is there or moves are under way. */
  readonly mustLead: () => boolean
  /** Whether this VM leads. */
  readonly isLeading: () => boolean
  /** Whether this VM is a member of the group of candidates. */
  readonly isMember: () => boolean
  /** Time for which this VM has received no state that is confirmed at the log, in milliseconds. */
  readonly withoutSourceMilliseconds: () => number
}

/** Decides whether this VM stands for election: by its rank, or because no other VM sends it state that is confirmed at the log. */
export class Candidacy {
  readonly #options: CandidacyOptions
  #withoutSourceAt = -Infinity
  #ledAt = -Infinity

  constructor (options: CandidacyOptions) {
    this.#options = options
  }

  /** Returns the decision. Called periodically. */
  decide (): boolean {
    const { vm, clock, ranks, mayBegin, mustLead, isLeading, isMember, withoutSourceMilliseconds } = this.#options
    const now = clock.now()
    if (isLeading()) this.#ledAt = now
    // A VM that became the leader without the rank, for example at the first start, hands over once the candidates are there.
    if (mustLead()) return true
    // A VM that cannot grant keys stands only when no other one has led for long. A leader has no source.
    if (ranks.isCutOff(vm)) return Math.min(withoutSourceMilliseconds(), now - this.#ledAt) > candidacyAgeMilliseconds + longestDelayMilliseconds
    const rank = ranks.rankOf(vm)
    if (rank === undefined ? mayBegin : ranks.isCandidate(vm)) return true
    const delay = rank === undefined ? longestDelayMilliseconds : Math.min(longestDelayMilliseconds, rank * candidacyStepMilliseconds)
    if (withoutSourceMilliseconds() > candidacyAgeMilliseconds + delay) {
      this.#withoutSourceAt = now
      return true
    }
    return isMember() && now - this.#withoutSourceAt < candidacyEndMilliseconds
  }
}
