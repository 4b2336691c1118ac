import { MonotonicClock, type Clock } from './clock.js'

interface PeriodicTask {
  readonly intervalMilliseconds: number
  readonly run: () => void
  due: number
}

// Tasks that are due within this time run too, because Node's timers are accurate to about a millisecond.
const toleranceMilliseconds = 2

/**
 * Calls periodic tasks at multiples of their intervals, measured from one common start. Tasks whose intervals are equal or divide
 * each other thus share a wake-up of the process, which in an idle process costs more than most of the tasks (about 85 µs).
 */
export class Ticker {
  readonly #clock: Clock
  readonly #tasks = new Set<PeriodicTask>()
  #timer: NodeJS.Timeout | undefined
  #timerDue = Infinity

  constructor (clock: Clock = new MonotonicClock()) {
    this.#clock = clock
  }

  /** Calls `run`, which must not throw, at every multiple of the interval. Returns a function that removes the task. */
  every (intervalMilliseconds: number, run: () => void): () => void {
    const task = { intervalMilliseconds, run, due: this.#nextDue(intervalMilliseconds) }
    this.#tasks.add(task)
    this.#schedule()
    return () => {
      this.#tasks.delete(task)
      if (this.#tasks.size === 0) this.#stop()
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

  #nextDue (intervalMilliseconds: number): number {
    return (Math.floor((this.#clock.now() + toleranceMilliseconds) / intervalMilliseconds) + 1) * intervalMilliseconds
  }

  #schedule (): void {
    const due = Math.min(...[...this.#tasks].map(task => task.due))
    if (due === this.#timerDue) return
    clearTimeout(this.#timer)
    this.#timerDue = due
    this.#timer = setTimeout(() => this.#runDueTasks(), Math.max(0, Math.ceil(due - this.#clock.now())))
  }

  #runDueTasks (): void {
    this.#timerDue = Infinity
    const now = this.#clock.now()
    for (const task of [...this.#tasks]) {
      // A task that ran earlier in this loop may have removed this one.
      if (task.due > now + toleranceMilliseconds || !this.#tasks.has(task)) continue
      task.due = this.#nextDue(task.intervalMilliseconds)
      task.run()
    }
    if (this.#tasks.size > 0) this.#schedule()
  }

  #stop (): void {
    clearTimeout(this.#timer)
    this.#timerDue = Infinity
  }
}

/** The ticker that all components of the process share. */
export const processTicker = new Ticker()
