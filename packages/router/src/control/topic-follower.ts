import { delay, describeError, errorCode, Logger, withTimeLimit, type Clock, type LifeCycle } from '@briarsaddle/common'
import type { StateTopic, TopicState } from './state-topic.js'

const logger = new Logger('log')

/** Settings of a follower; times in milliseconds. */
export interface TopicFollowerOptions<State> {
  readonly name: string
  readonly topic: StateTopic<State>
  readonly clock: Clock
  /** How long one read may wait for a change. */
  readonly waitMilliseconds: number
  /** Pause between reads. */
  readonly pauseMilliseconds: number
  /** True when the first state replaces the second; guards against states that are older than what is in force. */
  readonly isNewer: (one: TopicState<State>, other: TopicState<State>) => boolean
}

const firstBackoffMilliseconds = 100
// A log that is back is noticed within this time.
const longestBackoffMilliseconds = 800

/** Follows a topic and holds its newest state. */
export class TopicFollower<State> {
  readonly #options: TopicFollowerOptions<State>
  readonly #listeners: Array<(state: State) => void> = []
  #current: TopicState<State> | undefined
  #confirmedAt = -Infinity
  #failures = 0
  #reading = new AbortController()
  #lostAt = -Infinity
  #heardOf = 0
  #heardAt = -Infinity

  constructor (options: TopicFollowerOptions<State>) {
    this.#options = options
  }

  /** The newest state; undefined before the first read. */
  get current (): TopicState<State> | undefined { return this.#current }
  /** Start of the last read that succeeded, in clock milliseconds. */
  get confirmedAt (): number { return this.#confirmedAt }
  /** False while reads fail. */
  get connected (): boolean { return this.#failures === 0 && this.#current !== undefined }

  /** True while another VM has read further, and no read since then has shown otherwise. */
  get behind (): boolean { return this.#heardOf > (this.#current?.position ?? 0) && this.#confirmedAt < this.#heardAt }

  /** Calls the listener after each change. */
  onChange (listener: (state: State) => void): void {
    this.#listeners.push(listener)
  }

  /** Reads until the life cycle closes. */
  start (lifeCycle: LifeCycle): void {
    void this.#run(lifeCycle.signal)
  }

  /** Takes a state that was learned in another way, for example written by this VM, unless it is older. */
  offer (state: TopicState<State>): void {
    if (this.#current !== undefined && !this.#options.isNewer(state, this.#current)) {
      this.#current = { position: Math.max(state.position, this.#current.position), state: this.#current.state }
      return
    }
    const changed = state.state !== this.#current?.state
    this.#current = state
    if (changed) for (const listener of this.#listeners) listener(state.state)
  }

  /** Learns how far another VM has read. */
  heardOf (position: number): void {
    if (position <= (this.#current?.position ?? 0)) return
    this.#heardOf = Math.max(this.#heardOf, position)
    this.#heardAt = this.#options.clock.now()
    this.interrupt()
  }

  /** Gives up a read that may wait on a dead connection and reads anew. */
  interrupt (): void {
    this.#reading.abort()
  }

  /** Reads the newest state now. Throws `log_unavailable`. */
  async refresh (signal: AbortSignal): Promise<TopicState<State>> {
    const startedAt = this.#options.clock.now()
    const state = await this.#options.topic.read(signal)
    this.offer(state)
    this.#confirm(startedAt)
    return this.#current ?? state
  }

  async #run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const reading = this.#reading = new AbortController()
      const end = (): void => reading.abort()
      signal.addEventListener('abort', end)
      try {
        await this.#read(reading.signal)
        if (this.#failures > 0) logger.info('dependency regained', { topic: this.#options.name, failures: this.#failures, lostMilliseconds: Math.round(this.#options.clock.now() - this.#lostAt), position: this.#current?.position })
        this.#failures = 0
        await delay(this.#options.pauseMilliseconds, signal)
      } catch (error) {
        if (signal.aborted) return
        if (reading.signal.aborted) continue
        this.#failed(error)
        await delay(Math.min(longestBackoffMilliseconds, firstBackoffMilliseconds * 2 ** (this.#failures - 1)), signal)
      } finally {
        signal.removeEventListener('abort', end)
      }
    }
  }

  async #read (signal: AbortSignal): Promise<void> {
    const current = this.#current
    if (current === undefined) {
      await this.refresh(signal)
      return
    }
    const startedAt = this.#options.clock.now()
    const next = await this.#options.topic.next(current, this.#options.waitMilliseconds, signal)
    if (next !== undefined) this.offer(next)
    this.#confirm(startedAt)
  }

  #confirm (startedAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, startedAt)
  }

  #failed (error: unknown): void {
    if (this.#failures++ === 0) this.#lostAt = this.#options.clock.now()
    const fields = { topic: this.#options.name, code: errorCode(error), error: describeError(error), positionHeld: this.#current?.position }
    if (errorCode(error) === 'log_forgotten') {
      // The next read starts from the newest state; what is in force stays until then.
      logger.info('log forgot records that were not read yet', fields)
      void withTimeLimit(longestBackoffMilliseconds, undefined, async limited => await this.refresh(limited)).catch((failure: unknown) => logger.warning('newest state could not be read', { topic: this.#options.name, error: describeError(failure) }))
      return
    }
    if (this.#failures === 1) logger.warning('dependency lost', fields)
  }
}
