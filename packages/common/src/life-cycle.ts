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
    // Every operation of the component listens to this signal, so Node's warning about many listeners does not apply.
    setMaxListeners(0, this.#abortController.signal)
  }

  /** Signal that is aborted when closing begins. */
  get signal (): AbortSignal {
    return this.#abortController.signal
  }

  /** True once closing has begun. */
  get closed (): boolean {
    return this.#closing !== undefined
  }

  /** Registers a clean-up step. Throws `already_closed` if closing has begun. */
  own (name: string, cleanUp: CleanUp): void {
    if (this.closed) throw new BriarsaddleError(`${this.#name} is closed and cannot register the clean-up of ${name}`, { code: 'already_closed', step: `own ${name}` })
    this.#cleanUps.push({ name, cleanUp })
  }

  /** Creates a life cycle that is closed with this one. */
  child (name: string): LifeCycle {
    const child = new LifeCycle(name)
    this.own(name, async () => await child.close())
    return child
  }

  /**
   * Runs `task` at every multiple of `intervalMilliseconds` by `processTicker`, until closing. A run is skipped while the previous
   * one is in progress. Errors of a run are passed to `onError`; the task goes on.
   */
  every (name: string, intervalMilliseconds: number, task: () => void | Promise<void>, onError: (error: unknown) => void): void {
    let running = false
    let end = (): void => {}
    // Registered before the task starts: if the life cycle is closed, `own` throws and no task is left running.
    this.own(name, () => end())
    end = processTicker.every(intervalMilliseconds, () => {
      if (running) return
      running = true
      Promise.resolve().then(task).catch(onError).finally(() => { running = false })
    })
  }

  /** Runs all clean-up steps. If some of them fail, throws `clean_up_failed` with all causes after every step has run. */
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
