import type { ControlReader } from './control-reader.js'
import type { WitnessesState } from './control-state.js'
import { newestWitnessList } from './reducer.js'

/** Durations that govern coordinator leases and grants. A lease is called a right in settings, reason codes and the state dump. */
export interface LeaseOptions {
  /** Duration of a lease in milliseconds, counted from the start of the log read or witness round that extends it. */
  readonly leaseDuration: number
  /** Maximum drift between two clocks, as a fraction of elapsed time. */
  readonly margin: number
}

/** Default lease duration and clock margin. */
export const defaultLeaseOptions: LeaseOptions = { leaseDuration: 500, margin: 0.02 }

/**
 * The lease under which a coordinator may grant the buckets of an endpoint, measured on the coordinator's clock.
 * A lease lasts for the configured duration less the margin. The margin that the waiting side adds is not enough on its
 * own, because two clocks that each deviate by 1 % differ by 2.02 %.
 */
export class CoordinatorLease {
  readonly #duration: number
  #validUntil = Number.NEGATIVE_INFINITY

  constructor (options: LeaseOptions = defaultLeaseOptions) {
    this.#duration = options.leaseDuration * (1 - options.margin)
  }

  /** Expiry time; the lease is no longer valid at this time. */
  get validUntil (): number { return this.#validUntil }

  /** Extends the lease after a log read that began at `startedAt` reached the end of the log, and whose records are applied to the state. */
  extendFromLogRead (startedAt: number): void { this.#extend(startedAt) }

  /** Extends the lease after a witness round that began at `roundStartedAt` and was confirmed by a majority. */
  extendFromWitnesses (roundStartedAt: number): void { this.#extend(roundStartedAt) }

  /** True while the lease has not expired. */
  isValid (now: number): boolean { return now < this.#validUntil }

  #extend (startedAt: number): void {
    this.#validUntil = Math.max(this.#validUntil, startedAt + this.#duration)
  }
}

/**
 * Converts the expiry of a grant from the coordinator's clock to the endpoint's clock, so that it is never later in real
 * time. Keeps the best clock observation, so that a later expiry always converts to a later time: the endpoint compares
 * these times to detect a delayed `renew`. Use one instance for each process start of the endpoint.
 */
export class EndpointClock {
  readonly #slowestRate: number
  #offset = Number.NEGATIVE_INFINITY

  constructor (options: LeaseOptions = defaultLeaseOptions) {
    // 1 / (1 + margin) would be too fast for clocks with rates of 0.99 and 1.01, whose ratio is 0.9802.
    this.#slowestRate = 1 - options.margin
  }

  /** Records the endpoint's clock from a response that arrived at `receivedAt` on the local clock. */
  observe (clock: number, receivedAt: number): void {
    this.#offset = Math.max(this.#offset, clock - receivedAt * this.#slowestRate)
  }

  /** Returns the `validUntil` of a grant that expires at `end` on the local clock. `end` must be later than the last observation. */
  validUntil (end: number): number {
    return this.#offset + end * this.#slowestRate
  }
}

/** A `Confirm` request: asks a witness whether it has read newer records of the given endpoints. */
export interface WitnessRequest {
  /** `newestWitnessList` of the requester's state. */
  readonly witnessList: number
  /** The endpoints, each with the `EndpointState.version` that the requester knows. */
  readonly endpoints: ReadonlyArray<{ readonly id: string, readonly version: number }>
}

/** The response of one witness. */
export interface WitnessAnswer {
  /** False when the response counts as a confirmation for no endpoint. */
  readonly ready: boolean
  /** Offset of the last record that the witness has read. */
  readonly position: number
  /** Endpoints for which the witness has read a newer record than the requester. */
  readonly outdated: readonly string[]
}

/** Returns the response of a witness, given the state of its own reader. */
export function witnessAnswer (reader: Pick<ControlReader, 'state' | 'caughtUp'>, request: WitnessRequest): WitnessAnswer {
  const { state, caughtUp } = reader
  if (state === undefined) return { ready: false, position: -1, outdated: [] }
  const ready = caughtUp && newestWitnessList(state.witnesses) <= request.witnessList
  const outdated = request.endpoints.filter(({ id, version }) => {
    const known = state.endpoints.get(id)
    // An endpoint that the witness does not know was removed if the witness has read up to the requester's version.
    return known === undefined ? state.position >= version : known.version > version
  })
  return { ready, position: state.position, outdated: outdated.map(({ id }) => id) }
}

/**
 * Returns the witness lists in each of which a requester needs a majority.
 * A requester that knows a pending list needs a majority of both. The pending list takes effect once a majority of the
 * previous list has read it, and that majority no longer confirms requesters that do not know the new list. Requesters
 * that do know it can only be refused by the new list.
 */
export function witnessLists (witnesses: WitnessesState): ReadonlyArray<readonly string[]> {
  if (witnesses.vms.length === 0) return []
  return witnesses.pending === undefined ? [witnesses.vms] : [witnesses.vms, witnesses.pending.vms]
}

/** Outcome of a witness round for one endpoint: undecided, confirmed by a majority, or a majority can no longer be reached. */
export type RoundOutcome = 'open' | 'majority' | 'impossible'

/** Counts the responses to one round of `Confirm` requests. */
export class WitnessRound {
  readonly #lists: ReadonlyArray<readonly string[]>
  readonly #answers = new Map<string, WitnessAnswer | undefined>()

  /** `startedAt` is a time before the first request was sent. */
  constructor (witnesses: WitnessesState, readonly startedAt: number) {
    this.#lists = witnessLists(witnesses)
  }

  /** The witnesses to ask. */
  get vms (): readonly string[] { return [...new Set(this.#lists.flat())] }

  /** Counts the first response of a witness; undefined means that it failed or timed out. */
  answer (vm: string, answer: WitnessAnswer | undefined): void {
    if (!this.#answers.has(vm)) this.#answers.set(vm, answer)
  }

  /** Returns whether a majority has confirmed the endpoint's version or still can. Without witnesses it is always `impossible`. */
  outcome (endpoint: string): RoundOutcome {
    const confirms = (vm: string): boolean => {
      const answer = this.#answers.get(vm)
      return answer?.ready === true && !answer.outdated.includes(endpoint)
    }
    if (this.#lists.length === 0) return 'impossible'
    if (this.#lists.every(list => isMajority(list, confirms))) return 'majority'
    const mayConfirm = (vm: string): boolean => !this.#answers.has(vm) || confirms(vm)
    return this.#lists.every(list => isMajority(list, mayConfirm)) ? 'open' : 'impossible'
  }
}

/** True when the condition holds for more than half of the list. */
export function isMajority (list: readonly string[], condition: (vm: string) => boolean): boolean {
  return list.filter(condition).length * 2 > list.length
}

/** Options of `LeaseExpiryTracker`. */
export interface LeaseExpiryOptions extends LeaseOptions {
  /** Additional wait in milliseconds: the longest deadline of the pool's rules for endpoints that do not verify fencing tokens, otherwise 0. */
  readonly extraWait: number
}

/**
 * Finds the time from which no coordinator acts on the state before the record at `offset` any more: a majority of the
 * witnesses has read the record, and every lease that was extended before has expired.
 */
export class LeaseExpiryTracker {
  readonly #options: LeaseExpiryOptions
  readonly #readers = new Set<string>()
  #list: readonly string[]
  #majorityAt: number | undefined

  /** `witnesses` is the list in effect at the record, or any later one. This VM must have read the record from the log. */
  constructor (readonly offset: number, witnesses: WitnessesState, now: number, options: LeaseExpiryOptions = { ...defaultLeaseOptions, extraWait: 0 }) {
    this.#options = options
    this.#list = witnesses.vms
    this.#check(now)
  }

  /** Records that a witness has read the log up to `position`. */
  observe (vm: string, position: number, now: number): void {
    if (position < this.offset) return
    this.#readers.add(vm)
    this.#check(now)
  }

  /**
   * Switches to a witness list that took effect after the record. A VM that knows this list has read the record, and the
   * list took effect only after a majority of the previous list had stopped confirming older states.
   */
  replaceWitnesses (witnesses: WitnessesState, now: number): void {
    this.#list = witnesses.vms
    this.#check(now)
  }

  /** The time on the local clock from which the earlier leases have expired; undefined until a majority is known to have read the record. */
  get leasesExpiredAt (): number | undefined {
    if (this.#majorityAt === undefined) return undefined
    const { leaseDuration, margin, extraWait } = this.#options
    return this.#majorityAt + leaseDuration * (1 + margin) + extraWait
  }

  #check (now: number): void {
    // Without witnesses, leases come only from log reads, and reads that miss the record began before it was read here.
    const reached = this.#list.length === 0 || isMajority(this.#list, vm => this.#readers.has(vm))
    if (reached) this.#majorityAt ??= now
  }
}

/** Fencing token of a coordinator. `provisional` is 0 for a coordinator in the log and counts up for each provisional one that follows it. */
export interface CoordinatorToken {
  readonly offset: number
  readonly provisional: number
}

/** Compares tokens by offset, then by `provisional`. Negative when `one` is lower. */
export function compareTokens (one: CoordinatorToken, other: CoordinatorToken): number {
  return one.offset - other.offset || one.provisional - other.provisional
}
