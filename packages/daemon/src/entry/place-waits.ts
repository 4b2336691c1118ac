import type { Clock } from '@briarsaddle/common'
import type { ControlView } from '../contracts.js'
import { noBucket, type Attempt } from './attempt.js'
import { placeOfBucket, placeOfEndpoint, type Place } from './place.js'

const defaultMaximumWaiting = 2_000
const timerToleranceMilliseconds = 2

/** Lets requests wait for changes of the control state, a bounded number at a time. */
export class PlaceWaits {
  readonly #control: ControlView
  readonly #clock: Clock
  readonly #maximumWaiting: number
  #waiting = 0

  constructor (control: ControlView, clock: Clock, maximumWaiting = defaultMaximumWaiting) {
    this.#control = control
    this.#clock = clock
    this.#maximumWaiting = maximumWaiting
  }

  /** Requests that wait now. */
  get waiting (): number {
    return this.#waiting
  }

  /** Waits for a log position. Returns false after the time, on an abort, or when too many requests wait. */
  async forPosition (attempt: Attempt, position: number, milliseconds: number): Promise<boolean> {
    if (milliseconds <= 0 || attempt.signal.aborted || this.#waiting >= this.#maximumWaiting) return false
    this.#waiting += 1
    try {
      return await this.#control.waitForPosition(position, milliseconds, attempt.signal)
    } finally {
      this.#waiting -= 1
    }
  }

  /** Waits until the place has changed or the time has come. Returns false when the request must end. */
  async forMove (attempt: Attempt, place: Place, until: number): Promise<boolean> {
    const endsAt = Math.min(until, attempt.deadlineAt)
    while (!this.hasMoved(attempt, place)) {
      const left = endsAt - this.#clock.now()
      if (left <= 0) break
      // Timers may fire a little early; a refusal to wait at all comes much earlier.
      const ended = !await this.forPosition(attempt, this.#control.state.position + 1, left)
      if (attempt.signal.aborted || (ended && this.#clock.now() < endsAt - timerToleranceMilliseconds)) return false
    }
    return attempt.deadlineAt > this.#clock.now()
  }

  /** Waits until this VM has read as far as the other one, or the place has changed. */
  async forPositionOrMove (attempt: Attempt, place: Place, position: number, endsAt: number): Promise<boolean> {
    while (this.#control.state.position < position && !this.hasMoved(attempt, place)) {
      const left = Math.min(endsAt, attempt.deadlineAt) - this.#clock.now()
      if (!await this.forPosition(attempt, this.#control.state.position + 1, left)) return false
    }
    return attempt.deadlineAt > this.#clock.now()
  }

  /** True when the request belongs elsewhere now. */
  hasMoved (attempt: Attempt, place: Place): boolean {
    const { state } = this.#control
    if (attempt.template.bucket !== noBucket) {
      const now = placeOfBucket(state, attempt.template.pool, attempt.template.bucket)
      return typeof now === 'string' || now.version !== place.version
    }
    const endpoint = state.endpoints.get(place.endpoint)
    return endpoint === undefined || endpoint.leaving || placeOfEndpoint(endpoint).version !== place.version
  }
}
