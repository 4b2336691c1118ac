/** Source of monotonic time in milliseconds, for leases, deadlines and other time limits. */
export abstract class Clock {
  /** Returns the milliseconds since an arbitrary fixed point. Never decreases. */
  abstract now (): number
}

/** The monotonic clock of the process. It also advances while the process is paused. */
export class MonotonicClock extends Clock {
  now (): number {
    return performance.now()
  }
}

/** A clock for tests that only advances by calls of `advance`. */
export class ManualClock extends Clock {
  #now = 0

  now (): number {
    return this.#now
  }

  /** Advances the clock. */
  advance (milliseconds: number): void {
    this.#now += milliseconds
  }
}

/** Resolves after the given time, or as soon as the signal aborts. Never rejects. */
export async function delay (milliseconds: number, signal?: AbortSignal): Promise<void> {
  await new Promise<void>(resolve => {
    if (signal?.aborted === true) return resolve()
    const finish = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimeout(finish, milliseconds)
    signal?.addEventListener('abort', finish)
  })
}
