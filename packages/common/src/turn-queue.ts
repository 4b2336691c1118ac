const tasksPerIteration = 2

/**
 * Spreads tasks over iterations of the event loop. libuv accepts one connection per iteration. If a process handled all requests
 * that it has read in one iteration, new connections would wait in the kernel for a time that cannot be observed.
 */
export class TurnQueue {
  readonly #waiting: Array<() => void> = []
  #scheduled = 0

  /** Number of waiting tasks. */
  get length (): number {
    return this.#waiting.length
  }

  /** Resolves when the caller may run its task, after events that are already due. */
  async turn (): Promise<void> {
    await new Promise<void>(resolve => {
      this.#waiting.push(resolve)
      this.#schedule()
    })
  }

  #schedule (): void {
    while (this.#scheduled < Math.min(tasksPerIteration, this.#waiting.length)) {
      this.#scheduled++
      // The outer immediate runs before the next poll for events, the inner one after it.
      setImmediate(() => setImmediate(() => this.#next()))
    }
  }

  #next (): void {
    this.#scheduled--
    this.#waiting.shift()?.()
    this.#schedule()
  }
}

/** The queue that all request handlers of the process share. */
export const processTurnQueue = new TurnQueue()
