import type { Clock } from '@briarsaddle/common'
import type { ControlView } from '../contracts.js'
import { noBucket, type RequestProgress } from './request-progress.js'
import { bucketDestination, endpointDestination, type Destination } from './destination.js'

const defaultMaximumWaiting = 2_000
const timerToleranceMilliseconds = 2

/** Lets a bounded number of requests wait for changes of the control state. */
export class DestinationWaiter {
  readonly #control: ControlView
  readonly #clock: Clock
  readonly #maximumWaiting: number
  #waiting = 0

  constructor (control: ControlView, clock: Clock, maximumWaiting = defaultMaximumWaiting) {
    this.#control = control
    this.#clock = clock
    this.#maximumWaiting = maximumWaiting
  }

  /** Number of requests that are waiting. */
  get waiting (): number {
    return this.#waiting
  }

  /** Waits until this VM has read the log up to a position. Returns false after the time, on an abort, or when too many requests wait. */
  async waitForPosition (progress: RequestProgress, position: number, milliseconds: number): Promise<boolean> {
    if (milliseconds <= 0 || progress.signal.aborted || this.#waiting >= this.#maximumWaiting) return false
    this.#waiting += 1
    try {
      return await this.#control.waitForPosition(position, milliseconds, progress.signal)
    } finally {
      this.#waiting -= 1
    }
  }

  /** Waits until the destination has changed or the time `until`. Returns false when the request must not be sent again. */
  async waitForChange (progress: RequestProgress, destination: Destination, until: number): Promise<boolean> {
    const endsAt = Math.min(until, progress.deadlineAt)
    while (!this.hasChanged(progress, destination)) {
      const left = endsAt - this.#clock.now()
      if (left <= 0) break
      // Timers may fire slightly early. A false result that comes much earlier means that too many requests wait.
      const ended = !await this.waitForPosition(progress, this.#control.state.position + 1, left)
      if (progress.signal.aborted || (ended && this.#clock.now() < endsAt - timerToleranceMilliseconds)) return false
    }
    return progress.deadlineAt > this.#clock.now()
  }

  /** Waits until this VM has read the log up to a position or the destination has changed. Returns false when neither happened in time. */
  async waitForPositionOrChange (progress: RequestProgress, destination: Destination, position: number, endsAt: number): Promise<boolean> {
    while (this.#control.state.position < position && !this.hasChanged(progress, destination)) {
      const left = Math.min(endsAt, progress.deadlineAt) - this.#clock.now()
      if (!await this.waitForPosition(progress, this.#control.state.position + 1, left)) return false
    }
    return progress.deadlineAt > this.#clock.now()
  }

  /** True when the destination is no longer valid for the request. */
  hasChanged (progress: RequestProgress, destination: Destination): boolean {
    const { state } = this.#control
    if (progress.template.bucket !== noBucket) {
      const now = bucketDestination(state, progress.template.pool, progress.template.bucket)
      return typeof now === 'string' || now.version !== destination.version
    }
    const endpoint = state.endpoints.get(destination.endpoint)
    return endpoint === undefined || endpoint.leaving || endpointDestination(endpoint).version !== destination.version
  }
}
