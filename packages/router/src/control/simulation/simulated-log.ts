import { BriarsaddleError, delay, type Random } from '@briarsaddle/common'
import type { VmEntry } from '@briarsaddle/key-ranges'
import { eraOf, logPosition, offsetOf } from '../log-position.js'
import { MembershipService, type MembershipReport } from '../leadership.js'
import { WritableTopic, type TopicState } from '../state-topic.js'

/**
 * How the log treats the calls of one VM: it answers them, rejects them, applies them at once without an answer, or leaves
 * them hanging and applies them up to 1.5 s later without an answer.
 */
export type LogMode = 'answers' | 'turns_away' | 'hangs' | 'loses_answers'

const mostAnswerMilliseconds = 10
const mostLateMilliseconds = 1_500
const waitStepMilliseconds = 5

/** The access of one VM to the log. */
export class LogAccess {
  mode: LogMode = 'answers'
  readonly #random: Random

  constructor (random: Random) {
    this.#random = random
  }

  /** Makes one call. `carryOut` applies it and returns its answer; `late` applies it when no answer is sent. */
  async call<Result> (signal: AbortSignal, carryOut: () => Result, late: () => void): Promise<Result> {
    await delay(this.#random.integer(1, mostAnswerMilliseconds), signal)
    const { mode } = this
    if (mode === 'turns_away') throw unavailable('log_unavailable')
    if (mode === 'answers') return carryOut()
    if (mode === 'loses_answers') late()
    else void delay(this.#random.integer(0, mostLateMilliseconds)).then(late)
    await new Promise<void>(resolve => {
      if (signal.aborted) resolve()
      else signal.addEventListener('abort', () => resolve())
    })
    throw unavailable('log_unknown')
  }
}

/** A topic that all VMs of a simulation share. */
export class SharedTopic<State> {
  /** States by offset, of which the last one is the newest. */
  readonly #states: State[]
  #era = 0
  /** Number of states that were appended. */
  writes = 0

  constructor (state: State) {
    this.#states = [state]
  }

  get newest (): TopicState<State> {
    return { position: logPosition(this.#era, this.#states.length), state: this.#states.at(-1) as State }
  }

  /** Appends a state. */
  put (state: State): void {
    this.#states.push(state)
    this.writes++
  }

  /** Comes back from an older copy, without the last states, in a new era. */
  restore (lost: number): void {
    this.#states.splice(Math.max(1, this.#states.length - lost))
    this.#era++
  }
}

/** A shared topic as one VM accesses it. */
export class SimulatedTopic<State> extends WritableTopic<State> {
  readonly #shared: SharedTopic<State>
  readonly #access: LogAccess

  constructor (shared: SharedTopic<State>, access: LogAccess) {
    super()
    this.#shared = shared
    this.#access = access
  }

  override async read (signal: AbortSignal): Promise<TopicState<State>> {
    return await this.#access.call(signal, () => this.#shared.newest, () => {})
  }

  override async next (current: TopicState<State>, waitMilliseconds: number, signal: AbortSignal): Promise<TopicState<State> | undefined> {
    const until = performance.now() + waitMilliseconds
    await this.#access.call(signal, () => undefined, () => {})
    while (performance.now() < until && this.#shared.newest.position <= current.position && !signal.aborted) await delay(waitStepMilliseconds)
    const newest = await this.read(signal)
    if (eraOf(newest.position) !== eraOf(current.position)) throw new BriarsaddleError('the log went back', { code: 'log_forgotten', step: 'read' })
    return newest.position > current.position ? newest : undefined
  }

  override async write (state: State, position: number, signal: AbortSignal): Promise<number> {
    // The condition names an offset only, which a log that went back gives out again.
    const isNext = (): boolean => offsetOf(position) === offsetOf(this.#shared.newest.position)
    const carryOut = (): number => {
      if (isNext()) this.#shared.put(state)
      else throw new BriarsaddleError('another write came first', { code: 'lost_race', step: 'write' })
      if (eraOf(position) !== eraOf(this.#shared.newest.position)) throw new BriarsaddleError('the log went back', { code: 'lost_race', step: 'write' })
      return this.#shared.newest.position
    }
    return await this.#access.call(signal, carryOut, () => { if (isNext()) this.#shared.put(state) })
  }
}

/** The group of the VMs. The member that comes first leads; `reassign` moves it to the end, as the platform may elect another one at any time. */
export class SharedGroup {
  readonly #timeToLiveMilliseconds: number
  readonly #members = new Map<string, { readonly vm: VmEntry, confirmedAt: number }>()
  #generation = 1

  constructor (timeToLiveMilliseconds: number) {
    this.#timeToLiveMilliseconds = timeToLiveMilliseconds
  }

  /** Adds a VM, or confirms its membership. */
  join (vm: VmEntry): MembershipReport {
    this.#expire()
    if (!this.#members.has(vm.id)) this.#generation++
    const member = this.#members.get(vm.id)
    if (member === undefined) this.#members.set(vm.id, { vm, confirmedAt: performance.now() })
    else member.confirmedAt = performance.now()
    return { generation: this.#generation, leads: [...this.#members.keys()][0] === vm.id }
  }

  /** Removes a VM. */
  leave (vm: VmEntry): void {
    if (this.#members.delete(vm.id)) this.#generation++
  }

  /** Makes the next member the leader, as the platform may at any time. */
  reassign (): void {
    const [first] = this.#members
    if (first === undefined) return
    this.#members.delete(first[0])
    this.#members.set(...first)
    this.#generation++
  }

  /** VMs whose membership has not expired. */
  get members (): readonly VmEntry[] {
    this.#expire()
    return [...this.#members.values()].map(({ vm }) => vm)
  }

  #expire (): void {
    for (const [id, { confirmedAt }] of this.#members) {
      if (performance.now() - confirmedAt <= this.#timeToLiveMilliseconds) continue
      this.#members.delete(id)
      this.#generation++
    }
  }
}

/** The group as one VM accesses it. */
export class SimulatedMembership extends MembershipService {
  readonly #group: SharedGroup
  readonly #access: LogAccess

  constructor (group: SharedGroup, access: LogAccess) {
    super()
    this.#group = group
    this.#access = access
  }

  override async join (self: VmEntry, signal: AbortSignal): Promise<MembershipReport> {
    return await this.#access.call(signal, () => this.#group.join(self), () => { this.#group.join(self) })
  }

  override async leave (self: VmEntry, signal: AbortSignal): Promise<void> {
    await this.#access.call(signal, () => this.#group.leave(self), () => this.#group.leave(self))
  }

  override async members (signal: AbortSignal): Promise<readonly VmEntry[]> {
    return await this.#access.call(signal, () => this.#group.members, () => {})
  }
}

function unavailable (code: 'log_unavailable' | 'log_unknown'): BriarsaddleError {
  return new BriarsaddleError('the log does not answer', { code, step: 'call the log' })
}
