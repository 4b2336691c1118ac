import type { Clock } from './clock.js'
import type { LifeCycle } from './life-cycle.js'

const tickMilliseconds = 50
// Two intervals, and as much again by which a tick may be late in a process that is not held up.
const toleratedMilliseconds = 4 * tickMilliseconds

/**
 * Bounds how long an event may have waited before it was handled. In a process that is short of processor time, a request
 * is read long after it arrived, and what its sender said of the time left is out of date.
 */
export class LoopDelay {
  readonly #clock: Clock
  #lastTick: number
  #tickBefore: number

  constructor (clock: Clock) {
    this.#clock = clock
    this.#tickBefore = this.#lastTick = clock.now()
  }

  /** `onTick` learns by how many milliseconds the timers were late. */
  start (lifeCycle: LifeCycle, onTick?: (lateMilliseconds: number) => void): void {
    const timer = setInterval(() => {
      this.tick()
      onTick?.(Math.max(0, this.#lastTick - this.#tickBefore - tickMilliseconds))
    }, tickMilliseconds)
    lifeCycle.own('loop delay', () => clearInterval(timer))
  }

  /** Records that the timers of the process have had their turn. */
  tick (): void {
    this.#tickBefore = this.#lastTick
    this.#lastTick = this.#clock.now()
  }

  /** Longest time in milliseconds that an event which is handled now may have waited; 0 while the process keeps up. */
  get milliseconds (): number {
    // What is handled now arrived after the poll for events before this one, which followed the tick before the last.
    const sinceTick = this.#clock.now() - this.#tickBefore
    return sinceTick > toleratedMilliseconds ? sinceTick : 0
  }
}
