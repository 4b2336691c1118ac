import type { ControlReader } from './control-reader.js'
import type { WitnessesState } from './control-state.js'
import { newestWitnessList } from './reducer.js'

/** Durations of the rules for rights and grants. */
export interface RightOptions {
  /** Milliseconds from the start of the proof to the end of the right. */
  readonly rightDuration: number
  /** Allowed difference between the rates of two clocks, as a fraction. */
  readonly margin: number
}

/** The durations that the design page gives. */
export const defaultRightOptions: RightOptions = { rightDuration: 500, margin: 0.02 }

/**
 * The time during which a coordinator may grant an endpoint's buckets, in the coordinator's clock.
 * A right lasts for the right duration less the margin: two clocks that each deviate by 1 % differ by 2.02 %, so the
 * margin that the other side adds does not cover them alone.
 */
export class Right {
  readonly #duration: number
  #validUntil = Number.NEGATIVE_INFINITY

  constructor (options: RightOptions = defaultRightOptions) {
    this.#duration = options.rightDuration * (1 - options.margin)
  }

  /** End of the right; it is no longer valid at this instant. */
  get validUntil (): number { return this.#validUntil }

  /** Extends the right by a log read that began at `startedAt`, reached the log's end and is part of the state. */
  extendFromLogRead (startedAt: number): void { this.#extend(startedAt) }

  /** Extends the right by a round of questions that began at `roundStartedAt` and that a majority confirmed. */
  extendFromWitnesses (roundStartedAt: number): void { this.#extend(roundStartedAt) }

  isValid (now: number): boolean { return now < this.#validUntil }

  #extend (startedAt: number): void {
    this.#validUntil = Math.max(this.#validUntil, startedAt + this.#duration)
  }
}

/**
 * Converts the end of a grant from the coordinator's clock to the endpoint's, so that it is never later in real time.
 * Keeps the best reading: the results for increasing ends increase too, which the endpoint needs to tell a late
 * `renew` from the newest one. One instance serves one process start of the endpoint.
 */
export class EndpointClock {
  readonly #slowest: number
  #offset = Number.NEGATIVE_INFINITY

  constructor (options: RightOptions = defaultRightOptions) {
    // 1 / (1 + margin) would be too fast for rates of 0.99 and 1.01, whose ratio is 0.9802.
    this.#slowest = 1 - options.margin
  }

  /** Notes the endpoint's clock from a response that arrived at `receivedAt` in the own clock. */
  observe (clock: number, receivedAt: number): void {
    this.#offset = Math.max(this.#offset, clock - receivedAt * this.#slowest)
  }

  /** Returns the `validUntil` of a grant that ends at `end` in the own clock; `end` must be later than the last reading. */
  validUntil (end: number): number {
    return this.#offset + end * this.#slowest
  }
}

/** The question `Confirm`. */
export interface WitnessRequest {
  /** `newestWitnessList` of the asker's state. */
  readonly witnessList: number
  /** The endpoints and the `EndpointState.version` that the asker knows. */
  readonly endpoints: ReadonlyArray<{ readonly id: string, readonly version: number }>
}

/** The answer of one witness. */
export interface WitnessAnswer {
  /** False when the answer must not be counted for any endpoint. */
  readonly ready: boolean
  readonly position: number
  /** Endpoints of which the witness has read a newer record. */
  readonly outdated: readonly string[]
}

/** What a witness answers, given its own reader. */
export function witnessAnswer (reader: Pick<ControlReader, 'state' | 'caughtUp'>, request: WitnessRequest): WitnessAnswer {
  const { state, caughtUp } = reader
  if (state === undefined) return { ready: false, position: -1, outdated: [] }
  const ready = caughtUp && newestWitnessList(state.witnesses) <= request.witnessList
  const outdated = request.endpoints.filter(({ id, version }) => {
    const known = state.endpoints.get(id)
    // An endpoint that the witness does not know was removed if the witness has read as far as the asker's version.
    return known === undefined ? state.position >= version : known.version > version
  })
  return { ready, position: state.position, outdated: outdated.map(({ id }) => id) }
}

/**
 * The lists in each of which an asker needs a majority.
 * An asker that knows a pending list needs both: the list takes effect once a majority of the former list has read it,
 * which stops askers that do not know it; those that do must be stopped by the new list.
 */
export function witnessLists (witnesses: WitnessesState): ReadonlyArray<readonly string[]> {
  if (witnesses.vms.length === 0) return []
  return witnesses.pending === undefined ? [witnesses.vms] : [witnesses.vms, witnesses.pending.vms]
}

/** State of a round of questions for one endpoint. */
export type RoundOutcome = 'open' | 'majority' | 'impossible'

/** Counts the answers to one round of `Confirm` questions. */
export class WitnessRound {
  readonly #lists: ReadonlyArray<readonly string[]>
  readonly #answers = new Map<string, WitnessAnswer | undefined>()

  /** `startedAt` is the time before the first question was sent. */
  constructor (witnesses: WitnessesState, readonly startedAt: number) {
    this.#lists = witnessLists(witnesses)
  }

  /** The VMs to ask. */
  get vms (): readonly string[] { return [...new Set(this.#lists.flat())] }

  /** Counts the first answer of a VM; undefined means that none will come. */
  answer (vm: string, answer: WitnessAnswer | undefined): void {
    if (!this.#answers.has(vm)) this.#answers.set(vm, answer)
  }

  /** Whether a majority has confirmed the endpoint's version, or no longer can. Without witnesses it never can. */
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

/** True when more than half of the list fulfils the condition. */
export function isMajority (list: readonly string[], condition: (vm: string) => boolean): boolean {
  return list.filter(condition).length * 2 > list.length
}

/** What a `TakeAway` waits for. */
export interface TakeAwayOptions extends RightOptions {
  /** For endpoints that do not check: the longest deadline of the rules in their pool, in milliseconds; otherwise 0. */
  readonly extraWait: number
}

/** Finds the instant at which rule (b) holds for the record at `offset`: nobody acts on the state before it any more. */
export class TakeAway {
  readonly #options: TakeAwayOptions
  readonly #readers = new Set<string>()
  #list: readonly string[]
  #majorityAt: number | undefined

  /** `witnesses` is the list in effect at the record, or any later one. The record must have been read from the log. */
  constructor (readonly offset: number, witnesses: WitnessesState, now: number, options: TakeAwayOptions = { ...defaultRightOptions, extraWait: 0 }) {
    this.#options = options
    this.#list = witnesses.vms
    this.#check(now)
  }

  /** Notes that a witness has read the log up to `position`. */
  observe (vm: string, position: number, now: number): void {
    if (position < this.offset) return
    this.#readers.add(vm)
    this.#check(now)
  }

  /**
   * Uses a list that came into effect after the record: whoever knows it has read the record, and it took effect only
   * once a majority of the list before it could no longer confirm older states.
   */
  useWitnesses (witnesses: WitnessesState, now: number): void {
    this.#list = witnesses.vms
    this.#check(now)
  }

  /** When rule (b) holds, in the clock of the caller; undefined while no majority is known to have read the record. */
  get effectiveAt (): number | undefined {
    if (this.#majorityAt === undefined) return undefined
    const { rightDuration, margin, extraWait } = this.#options
    return this.#majorityAt + rightDuration * (1 + margin) + extraWait
  }

  #check (now: number): void {
    // Without a witness list there are only rights from log reads, and those began before the record was read here.
    const reached = this.#list.length === 0 || isMajority(this.#list, vm => this.#readers.has(vm))
    if (reached) this.#majorityAt ??= now
  }
}

/** A coordinator's token; provisional coordinators count up from the last coordinator record. */
export interface CoordinatorToken {
  readonly offset: number
  readonly provisional: number
}

/** Orders tokens as pairs: negative when `one` is lower. */
export function compareTokens (one: CoordinatorToken, other: CoordinatorToken): number {
  return one.offset - other.offset || one.provisional - other.provisional
}
