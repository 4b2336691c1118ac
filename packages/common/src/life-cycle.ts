import { setMaxListeners } from 'node:events'
import { BriarsaddleError } from './errors.js'
import { processTicker } from './ticker.js'

type CleanUp = () => void | Promise<void>

/**
 * Owns the resources of a component and releases them in the reverse order of registration.
 * Closing is idempotent: every call returns the same promise.
 */
export class LifeCycle {
  readonly #name: string
  readonly #cleanUps: Array<{ readonly name: string, readonly cleanUp: CleanUp }> = []
  readonly #abortController = new AbortController()
  #closing: Promise<void> | undefined

  constructor (name: string) {
    this.#name = name
    // Everything that the component does ends with this signal.
    setMaxListeners(0, this.#abortController.signal)
  }

  /** Aborted when closing begins. */
  get signal (): AbortSignal {
    return this.#abortController.signal
  }

  /** True once closing has begun. */
  get closed (): boolean {
    return this.#closing !== undefined
  }

  /** Registers a clean-up step. Throws `already_closed` when closing has begun. */
  own (name: string, cleanUp: CleanUp): void {
    if (this.closed) throw new BriarsaddleError(`${this.#name} is closed and cannot own ${name}`, { code: 'already_closed', step: `own ${name}` })
    this.#cleanUps.push({ name, cleanUp })
  }

  /** Creates a life cycle that closes with this one. */
  child (name: string): LifeCycle {
    const child = new LifeCycle(name)
    this.own(name, async () => await child.close())
    return child
  }

  /**
   * Runs `task` at every multiple of `intervalMilliseconds` on the grid of the process; a run that is still in progress is not overlapped.
   * An error of one run goes to `onError` and does not stop the next.
   */
  every (name: string, intervalMilliseconds: number, task: () => void | Promise<void>, onError: (error: unknown) => void): void {
    let running = false
    let end = (): void => {}
    // Registered first: a closed life cycle must not leave a task behind that nobody ends.
    this.own(name, () => end())
    end = processTicker.every(intervalMilliseconds, () => {
      if (running) return
      running = true
      Promise.resolve().then(task).catch(onError).finally(() => { running = false })
    })
  }

  /** Releases everything. Throws `clean_up_failed` with all causes after every step has run. */
  async close (): Promise<void> {
    this.#closing ??= this.#closeAll()
    return await this.#closing
  }

  async #closeAll (): Promise<void> {
    this.#abortController.abort()
    const failures: unknown[] = []
    for (const { cleanUp } of this.#cleanUps.reverse()) {
      try {
        await cleanUp()
      } catch (error) {
        failures.push(error)
      }
    }
    if (failures.length > 0) {
      throw new BriarsaddleError(`${this.#name} did not close cleanly`, { code: 'clean_up_failed', step: `close ${this.#name}`, cause: new AggregateError(failures) })
    }
  }
}
