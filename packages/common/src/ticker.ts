import { MonotonicClock, type Clock } from './clock.js'

interface Entry {
  readonly intervalMilliseconds: number
  readonly run: () => void
  due: number
}

// Tasks that are due within this time run too, because Node's timers are accurate to about a millisecond.
const slackMilliseconds = 2

/**
 * Calls periodic tasks at multiples of their intervals, measured from one common start. Tasks whose intervals are equal or divide
 * each other thus share a wake-up of the process, which in an idle process costs more than most of the tasks (about 85 µs).
 */
export class Ticker {
  readonly #clock: Clock
  readonly #entries = new Set<Entry>()
  #timer: NodeJS.Timeout | undefined
  #timerDue = Infinity

  constructor (clock: Clock = new MonotonicClock()) {
    this.#clock = clock
  }

  /** Calls `run`, which must not throw, at every multiple of the interval. Returns a function that removes the task. */
  every (intervalMilliseconds: number, run: () => void): () => void {
    const entry = { intervalMilliseconds, run, due: this.#next(intervalMilliseconds) }
    this.#entries.add(entry)
    this.#schedule()
    return () => {
      this.#entries.delete(entry)
      if (this.#entries.size === 0) this.#stop()
    }
  }

  /** Resolves at the next multiple of the interval, or as soon as the signal aborts. */
  async wait (intervalMilliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        end()
        signal.removeEventListener('abort', finish)
        resolve()
      }
      const end = this.every(intervalMilliseconds, finish)
      signal.addEventListener('abort', finish)
    })
  }

  #next (intervalMilliseconds: number): number {
    return (Math.floor((this.#clock.now() + slackMilliseconds) / intervalMilliseconds) + 1) * intervalMilliseconds
  }

  #schedule (): void {
    const due = Math.min(...[...this.#entries].map(entry => entry.due))
    if (due === this.#timerDue) return
    clearTimeout(this.#timer)
    this.#timerDue = due
    this.#timer = setTimeout(() => this.#fire(), Math.max(0, Math.ceil(due - this.#clock.now())))
  }

  #fire (): void {
    this.#timerDue = Infinity
    const now = this.#clock.now()
    for (const entry of [...this.#entries]) {
      // A task that ran before in this loop may have removed the entry.
      if (entry.due > now + slackMilliseconds || !this.#entries.has(entry)) continue
      entry.due = this.#next(entry.intervalMilliseconds)
      entry.run()
    }
    if (this.#entries.size > 0) this.#schedule()
  }

  #stop (): void {
    clearTimeout(this.#timer)
    this.#timerDue = Infinity
  }
}

/** The ticker that all components of the process share. */
export const processTicker = new Ticker()
