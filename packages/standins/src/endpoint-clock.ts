import { Random, type Clock } from '@briarsaddle/common'

/** A point in time: the endpoint's monotonic clock and the wall clock, in milliseconds. */
export interface RecordedTime {
  readonly clock: number
  readonly wall: number
}

const maximumOffsetMilliseconds = 1_000_000_000

/**
 * The clock of one endpoint. Its zero point is random, so that a caller that mixes up the clocks of two machines
 * fails in tests on one machine too.
 */
export class EndpointClock {
  readonly #clock: Clock
  readonly #offset: number
  readonly #wallOffset: number

  constructor (clock: Clock, seed: number) {
    this.#clock = clock
    this.#offset = new Random(seed).integer(0, maximumOffsetMilliseconds)
    this.#wallOffset = performance.timeOrigin + performance.now() - this.now()
  }

  /** Milliseconds; never goes back. */
  now (): number {
    return this.#clock.now() + this.#offset
  }

  /** A time of this clock, by default now, together with the wall clock. */
  recorded (clock: number = this.now()): RecordedTime {
    return { clock, wall: clock + this.#wallOffset }
  }
}
