const tasksPerIteration = 2

/**
 * Spreads tasks over iterations of the event loop. libuv accepts one connection in each iteration, so a process that
 * handles everything it has read in one iteration leaves new callers waiting in the kernel, where nobody knows for how long.
 */
export class TurnQueue {
  readonly #waiting: Array<() => void> = []
  #scheduled = 0

  /** Tasks that wait for their turn. */
  get length (): number {
    return this.#waiting.length
  }

  /** Resolves when it is the caller's turn, after the events that are already due. */
  async turn (): Promise<void> {
    await new Promise<void>(resolve => {
      this.#waiting.push(resolve)
      this.#schedule()
    })
  }

  #schedule (): void {
    while (this.#scheduled < Math.min(tasksPerIteration, this.#waiting.length)) {
      this.#scheduled++
      // The first one runs before the next poll for events, the second one after it.
      setImmediate(() => setImmediate(() => this.#next()))
    }
  }

  #next (): void {
    this.#scheduled--
    this.#waiting.shift()?.()
    this.#schedule()
  }
}

/** The turns of this process. */
export const processTurns = new TurnQueue()
