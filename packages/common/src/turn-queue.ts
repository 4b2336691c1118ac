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
  readonly #waiting: Array<() => void> = []
  #scheduled = false
  /** Whether a connection was accepted since the last pass. */
  #accepted = false
  #acceptingSince: number | undefined
  /** Until when tasks run even if connections are accepted. */
  #tasksUntil = -Infinity

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
      this.#waiting.push(resolve)
      this.#schedule()
    })
  }

  #schedule (): void {
    if (this.#scheduled || this.#waiting.length === 0) return
    this.#scheduled = true
    // The outer immediate runs before the next poll for events, the inner one after it.
    setImmediate(() => setImmediate(() => this.#pass()))
  }

  #pass (): void {
    this.#scheduled = false
    if (!this.#mustAcceptFirst()) for (const run of this.#waiting.splice(0, tasksPerPass)) run()
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
