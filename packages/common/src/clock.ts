/** Monotonic time in milliseconds. Code that holds rights or deadlines takes its time from here. */
export abstract class Clock {
  /** Milliseconds since an arbitrary fixed point; never goes back. */
  abstract now (): number
}

/** The process's monotonic clock. It goes on while the process is paused. */
export class MonotonicClock extends Clock {
  now (): number {
    return performance.now()
  }
}

/** A clock for tests that moves only when told to. */
export class ManualClock extends Clock {
  #now = 0

  now (): number {
    return this.#now
  }

  /** Moves the clock forward. */
  advance (milliseconds: number): void {
    this.#now += milliseconds
  }
}

/** Resolves after the given time, or at once when the signal aborts. */
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
