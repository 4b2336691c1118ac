import { MonotonicClock, type Clock } from './clock.js'

const tasksPerPass = 2
// Tasks wait this long at most while connections are accepted, and then run for `taskMilliseconds` at least.
const acceptMilliseconds = 200
const taskMilliseconds = 100

/**
 * Spreads tasks over iterations of the event loop. libuv accepts one connection per iteration. If a process handled all requests
 * that it has read in one iteration, new connections would wait in the kernel for a time that cannot be observed. While connections
 * are accepted one after the other, tasks wait for the same reason.
 */
export class TurnQueue {
  readonly #clock: Clock
  readonly #waiting: Array<{ readonly since: number, readonly run: () => void }> = []
  #scheduled = false
  /** Whether a connection was accepted since the last pass. */
  #accepted = false
  #acceptingSince: number | undefined
  /** Until when tasks run even if connections are accepted. */
  #tasksUntil = -Infinity
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

  /** Resolves when the caller may run its task, after events that are already due. */
  async turn (): Promise<void> {
    await new Promise<void>(resolve => {
      this.#waiting.push({ since: this.#clock.now(), run: resolve })
      this.#schedule()
    })
  }

  /** Returns the longest wait of a task, and how long tasks waited because connections were accepted, since the last call. */
  takeWaits (): { readonly longestTurnMilliseconds: number, readonly heldMilliseconds: number } {
    const waits = { longestTurnMilliseconds: this.#longestWait, heldMilliseconds: this.#held }
    this.#longestWait = 0
    this.#held = 0
    return waits
  }

  #schedule (): void {
    if (this.#scheduled || this.#waiting.length === 0) return
    this.#scheduled = true
    // The outer immediate runs before the next poll for events, the inner one after it.
    setImmediate(() => setImmediate(() => this.#pass()))
  }

  #pass (): void {
    this.#scheduled = false
    const now = this.#clock.now()
    if (this.#heldSince !== undefined) this.#held += now - this.#heldSince
    this.#heldSince = undefined
    if (this.#mustAcceptFirst()) this.#heldSince = now
    else {
      for (const { since, run } of this.#waiting.splice(0, tasksPerPass)) {
        this.#longestWait = Math.max(this.#longestWait, now - since)
        run()
      }
    }
    this.#schedule()
  }

  #mustAcceptFirst (): boolean {
    const accepted = this.#accepted
    this.#accepted = false
    const now = this.#clock.now()
    if (!accepted || now < this.#tasksUntil) {
      this.#acceptingSince = undefined
      return false
    }
    this.#acceptingSince ??= now
    if (now - this.#acceptingSince < acceptMilliseconds) return true
    this.#acceptingSince = undefined
    this.#tasksUntil = now + taskMilliseconds
    return false
  }
}

/** The queue that all request handlers of the process share. */
export const processTurnQueue = new TurnQueue()
