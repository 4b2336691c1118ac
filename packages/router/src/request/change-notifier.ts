/** Lets requests wait until the key map, the endpoint directory or the routing table of this VM changes. */
export class ChangeNotifier {
  readonly #waiting = new Set<() => void>()

  /** Wakes all waiters. */
  notify (): void {
    const waiting = [...this.#waiting]
    this.#waiting.clear()
    for (const wake of waiting) wake()
  }

  /** Resolves at the next change, after the given time, or when the signal aborts. */
  async waitForChange (milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted || milliseconds <= 0) return
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        this.#waiting.delete(finish)
        signal.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      this.#waiting.add(finish)
      signal.addEventListener('abort', finish)
    })
  }
}
