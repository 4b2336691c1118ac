import { MonotonicClock, type Clock } from './clock.js'

/** What a task says about its turn. */
export interface TurnOptions {
  /** Tasks with a lower number run first, equal ones in the order of their calls. Default 0. */
  readonly urgency?: number
  /** The task does not run when it would wait for longer than this, in milliseconds. Default: no limit. */
  readonly longestWaitMilliseconds?: number
}

interface WaitingTask {
  readonly urgency: number
  readonly since: number
  readonly until: number
  readonly settle: (mayRun: boolean) => void
}

const tasksPerPass = 2
// Tasks wait this long at most while connections are accepted, and then run for `taskMilliseconds` at least.
const acceptMilliseconds = 200
const taskMilliseconds = 100
// Share of its longest wait for which a task waits for connections to be accepted.
const acceptShare = 0.5
// Weight of the newest pass in the mean time of a turn.
const newestWeight = 0.2

/**
 * Spreads tasks over iterations of the event loop. libuv accepts one connection per iteration. If a process handled all requests
 * that it has read in one iteration, new connections would wait in the kernel for a time that cannot be observed. While connections
 * are accepted one after the other, tasks wait for the same reason.
 *
 * Tasks that would wait for too long do not run, so that a process that is short of processor time spends it on those that
 * can still be finished in time, the most urgent ones first.
 */
export class TurnQueue {
  readonly #clock: Clock
  /** By urgency, then in the order of their calls. */
  #waiting: WaitingTask[] = []
  /** Refusals that are told with the next pass: the caller may have gone, which is handled before it. */
  readonly #refusals: Array<() => void> = []
  #scheduled = false
  /** Whether a connection was accepted since the last pass. */
  #accepted = false
  #acceptingSince: number | undefined
  /** Until when tasks run even if connections are accepted. */
  #tasksUntil = -Infinity
  /** When the wait for the next pass that runs tasks began. */
  #waitingSince = 0
  /** Mean time between two turns while tasks wait, in milliseconds. */
  #turnMilliseconds = 0
  #longestWait = 0
  #held = 0
  #heldSince: number | undefined

  constructor (clock: Clock = new MonotonicClock()) {
    this.#clock = clock
  }

  /** Number of waiting tasks. */
  get length (): number {
    return this.#waiting.length
  }

  /** Records that a connection was accepted, so that others may wait behind it. */
  connectionAccepted (): void {
    this.#accepted = true
  }

  /**
   * Resolves to true when the caller may run its task, after events that are already due, and to false when the task would wait, or
   * has waited, for longer than its longest wait.
   */
  async turn ({ urgency = 0, longestWaitMilliseconds = Infinity }: TurnOptions = {}): Promise<boolean> {
    return await new Promise<boolean>(resolve => {
      const since = this.#clock.now()
      if (this.expectedWaitMilliseconds(urgency) > longestWaitMilliseconds) this.#refusals.push(() => resolve(false))
      else this.#insert({ urgency, since, until: since + longestWaitMilliseconds, settle: resolve })
      this.#schedule()
    })
  }

  /** Time for which a new task would probably wait for its turn, in milliseconds. */
  expectedWaitMilliseconds (urgency: number): number {
    return this.#placeOf(urgency) * this.#turnMilliseconds
  }

  /** Returns the longest wait of a task, and how long tasks waited because connections were accepted, since the last call. */
  takeWaits (): { readonly longestTurnMilliseconds: number, readonly heldMilliseconds: number } {
    const waits = { longestTurnMilliseconds: this.#longestWait, heldMilliseconds: this.#held }
    this.#longestWait = 0
    this.#held = 0
    return waits
  }

  /** Number of waiting tasks that run before a new one. */
  #placeOf (urgency: number): number {
    let place = this.#waiting.length
    while (place > 0 && (this.#waiting[place - 1] as WaitingTask).urgency > urgency) place--
    return place
  }

  #insert (task: WaitingTask): void {
    this.#waiting.splice(this.#placeOf(task.urgency), 0, task)
  }

  #schedule (): void {
    if (this.#scheduled || this.#waiting.length + this.#refusals.length === 0) return
    this.#scheduled = true
    if (this.#heldSince === undefined) this.#waitingSince = this.#clock.now()
    // The outer immediate runs before the next poll for events, the inner one after it.
    setImmediate(() => setImmediate(() => this.#pass()))
  }

  #pass (): void {
    this.#scheduled = false
    const now = this.#clock.now()
    if (this.#heldSince !== undefined) this.#held += now - this.#heldSince
    this.#heldSince = undefined
    for (const refuse of this.#refusals.splice(0)) refuse()
    this.#refuseOverdue(now)
    if (this.#waiting.length > 0) {
      if (this.#mustAcceptFirst(now)) this.#heldSince = now
      else this.#run(now)
    }
    this.#schedule()
  }

  #run (now: number): void {
    const sample = (now - this.#waitingSince) / tasksPerPass
    this.#turnMilliseconds += newestWeight * (sample - this.#turnMilliseconds)
    for (const { since, settle } of this.#waiting.splice(0, tasksPerPass)) {
      this.#longestWait = Math.max(this.#longestWait, now - since)
      settle(true)
    }
  }

  #refuseOverdue (now: number): void {
    const overdue = this.#waiting.filter(task => task.until < now)
    if (overdue.length === 0) return
    this.#waiting = this.#waiting.filter(task => task.until >= now)
    for (const { since, settle } of overdue) {
      this.#longestWait = Math.max(this.#longestWait, now - since)
      settle(false)
    }
  }

  #mustAcceptFirst (now: number): boolean {
    const accepted = this.#accepted
    this.#accepted = false
    if (!accepted || now < this.#tasksUntil) {
      this.#acceptingSince = undefined
      return false
    }
    this.#acceptingSince ??= now
    if (now - this.#acceptingSince < acceptMilliseconds && !this.#waiting.some(task => now - task.since > acceptShare * (task.until - task.since))) return true
    this.#acceptingSince = undefined
    this.#tasksUntil = now + taskMilliseconds
    return false
  }
}

/** The queue that all request handlers of the process share. */
export const processTurnQueue = new TurnQueue()
