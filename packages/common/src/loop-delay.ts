import type { Clock } from './clock.js'
import type { LifeCycle } from './life-cycle.js'

const tickMilliseconds = 50
// Two tick intervals, plus the same time again because ticks may be late although the event loop is not blocked.
const toleratedMilliseconds = 4 * tickMilliseconds

/**
 * Estimates the event loop delay: an upper bound of how long an event may have waited before it was handled. If a process gets
 * too little processor time, it reads a request long after its arrival, when the remaining time that its sender stated is out of date.
 */
export class LoopDelay {
  readonly #clock: Clock
  #lastTick: number
  #previousTick: number

  constructor (clock: Clock) {
    this.#clock = clock
    this.#previousTick = this.#lastTick = clock.now()
  }

  /** Starts the timer that ticks until the life cycle is closed. `onTick` is called with the lateness of each tick in milliseconds. */
  start (lifeCycle: LifeCycle, onTick?: (lateMilliseconds: number) => void): void {
    const timer = setInterval(() => {
      this.tick()
      onTick?.(Math.max(0, this.#lastTick - this.#previousTick - tickMilliseconds))
    }, tickMilliseconds)
    lifeCycle.own('loop delay', () => clearInterval(timer))
  }

  /** Records that the event loop has run the timers of the process. */
  tick (): void {
    this.#previousTick = this.#lastTick
    this.#lastTick = this.#clock.now()
  }

  /** Maximum time in milliseconds that an event which is handled now may have waited; 0 while the event loop is not delayed. */
  get milliseconds (): number {
    // An event that is handled now arrived after the previous poll for events, which followed the tick before the last one.
    const sinceTick = this.#clock.now() - this.#previousTick
    return sinceTick > toleratedMilliseconds ? sinceTick : 0
  }
}
