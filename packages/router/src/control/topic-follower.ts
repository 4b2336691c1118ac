import { delay, describeError, errorCode, Logger, withTimeLimit, type Clock, type LifeCycle } from '@briarsaddle/common'
import { eraOf } from './log-position.js'
import type { StateTopic, TopicState } from './state-topic.js'

const logger = new Logger('log')

/** What a follower needs; times in milliseconds. */
export interface TopicFollowerOptions<State> {
  /** Name of the topic in log lines. */
  readonly name: string
  readonly topic: StateTopic<State>
  readonly clock: Clock
  /** How long one read may wait for a change. */
  readonly waitMilliseconds: number
  /** Pause between reads. */
  readonly pauseMilliseconds: number
  /** Whether `one` replaces `other`, so that a state that arrives late does not replace a newer one. */
  readonly isNewer: (one: TopicState<State>, other: TopicState<State>) => boolean
  /**
   * Returns the state after the log came back from an older copy, from the one that this VM holds and the one of the copy. Absent: `isNewer` decides.
   * The topic is then read once more as a whole, when its writers have written again what was lost.
   */
  readonly merge?: (held: State, copy: State) => State
  /** Resolves when this VM has to read the topic itself, because it does not receive the state from another VM. Absent: always. */
  readonly untilNeeded?: (signal: AbortSignal) => Promise<void>
}

const firstBackoffMilliseconds = 100
// A log that is available again is noticed within this time.
const longestBackoffMilliseconds = 800
// Endpoints write their records again within some heartbeats, and the store drops those that do not.
const rewriteMilliseconds = 5_000

/** Follows a topic and holds its latest state. */
export class TopicFollower<State> {
  readonly #options: TopicFollowerOptions<State>
  readonly #listeners: Array<(state: State) => void> = []
  #current: TopicState<State> | undefined
  #confirmedAt = -Infinity
  #confirmedByPeerAt = -Infinity
  #answeredAt = -Infinity
  #failures = 0
  #onStandby = true
  #readController = new AbortController()
  #backoffController = new AbortController()
  #failingSince = -Infinity
  #peerPosition = 0
  /** When to read the whole topic once more after the log went back, in clock milliseconds. */
  #rereadAt = Infinity
  #peerPositionAt = -Infinity

  constructor (options: TopicFollowerOptions<State>) {
    this.#options = options
  }

  /** The latest state; undefined before the first read. */
  get current (): TopicState<State> | undefined { return this.#current }
  /** When the last successful read was started, in clock milliseconds; -Infinity before the first. */
  get confirmedAt (): number { return this.#confirmedAt }
  /** When the state that another VM sent was last confirmed at the log, in clock milliseconds; -Infinity before the first. */
  get confirmedByPeerAt (): number { return this.#confirmedByPeerAt }
  /**
   * How much longer than planned the answer to a read has been awaited, in milliseconds; Infinity before the first state. A state from another
   * VM counts as an answer.
   */
  get overdueMilliseconds (): number {
    const { clock, waitMilliseconds, pauseMilliseconds } = this.#options
    return Math.max(0, clock.now() - Math.max(this.#answeredAt, this.#confirmedByPeerAt) - waitMilliseconds - pauseMilliseconds)
  }

  /** False before the first read and while reads fail. */
  get connected (): boolean { return this.#failures === 0 && this.#current !== undefined }

  /** True while reads fail. */
  get failing (): boolean { return this.#failures > 0 }
  /** True while this VM reads the topic itself and reads succeed. */
  get reading (): boolean { return !this.#onStandby && this.connected }

  /** True when another VM has reported a higher position and no read that started after the report has succeeded. */
  get behind (): boolean { return this.#peerPosition > (this.#current?.position ?? 0) && this.#confirmedAt < this.#peerPositionAt }

  /** Calls the listener after each change of the state. */
  onChange (listener: (state: State) => void): void {
    this.#listeners.push(listener)
  }

  /** Starts to read the topic, until the life cycle closes. */
  start (lifeCycle: LifeCycle): void {
    void this.#run(lifeCycle.signal)
  }

  /** Applies a state that did not come from a read, for example one that this VM has written, unless it is not newer. */
  offer (state: TopicState<State>): void {
    const { merge } = this.#options
    if (this.#current !== undefined && merge !== undefined && eraOf(state.position) > eraOf(this.#current.position)) {
      this.#rereadAt = this.#options.clock.now() + rewriteMilliseconds
      return this.#use({ position: state.position, state: merge(this.#current.state, state.state) })
    }
    if (this.#current !== undefined && !this.#options.isNewer(state, this.#current)) {
      this.#current = { position: Math.max(state.position, this.#current.position), state: this.#current.state }
      return
    }
    this.#use(state)
  }

  #use (state: TopicState<State>): void {
    const changed = state.state !== this.#current?.state
    this.#current = state
    if (changed) for (const listener of this.#listeners) listener(state.state)
  }

  /** Records when another VM, whose state was offered, last confirmed it at the log. */
  confirmByPeer (at: number): void {
    this.#confirmedByPeerAt = Math.max(this.#confirmedByPeerAt, at)
  }

  /** Records how far another VM has read, and starts a new read when this VM is behind. */
  observePeerPosition (position: number): void {
    if (position <= (this.#current?.position ?? 0)) return
    this.#peerPosition = Math.max(this.#peerPosition, position)
    this.#peerPositionAt = this.#options.clock.now()
    this.interrupt()
  }

  /** Cancels the pending read, which may be waiting on a dead connection, and starts a new one. */
  interrupt (): void {
    this.#readController.abort()
  }

  /** Starts a new read at once, also while this VM waits after a failure. For use when the log is known to answer again. */
  restart (): void {
    this.interrupt()
    this.#backoffController.abort()
  }

  /** Reads the latest state now. Throws `log_unavailable`. */
  async refresh (signal: AbortSignal): Promise<TopicState<State>> {
    const startedAt = this.#options.clock.now()
    const state = await this.#options.topic.read(signal)
    this.offer(state)
    this.#confirm(startedAt)
    return this.#current ?? state
  }

  async #run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const reading = this.#readController = new AbortController()
      const backoff = this.#backoffController = new AbortController()
      const end = (): void => {
        reading.abort()
        backoff.abort()
      }
      signal.addEventListener('abort', end)
      try {
        this.#onStandby = true
        await this.#options.untilNeeded?.(reading.signal)
        this.#onStandby = false
        if (reading.signal.aborted) continue
        await this.#read(reading.signal)
        if (this.#failures > 0) logger.info('dependency regained', { topic: this.#options.name, failures: this.#failures, lostMilliseconds: Math.round(this.#options.clock.now() - this.#failingSince), position: this.#current?.position })
        this.#failures = 0
        await delay(this.#options.pauseMilliseconds, signal)
      } catch (error) {
        if (signal.aborted) return
        if (reading.signal.aborted) continue
        this.#failed(error)
        await delay(Math.min(longestBackoffMilliseconds, firstBackoffMilliseconds * 2 ** (this.#failures - 1)), backoff.signal)
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
    if (startedAt >= this.#rereadAt) {
      const whole = await this.#options.topic.read(signal)
      this.#rereadAt = Infinity
      if (eraOf(whole.position) === eraOf(current.position)) this.#use(whole)
      this.#confirm(startedAt)
      return
    }
    const next = await this.#options.topic.next(current, this.#options.waitMilliseconds, signal)
    if (next !== undefined) this.offer(next)
    this.#confirm(startedAt)
  }

  #confirm (startedAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, startedAt)
    this.#answeredAt = this.#options.clock.now()
  }

  #failed (error: unknown): void {
    if (this.#failures++ === 0) this.#failingSince = this.#options.clock.now()
    const fields = { topic: this.#options.name, code: errorCode(error), error: describeError(error), positionHeld: this.#current?.position }
    if (errorCode(error) === 'log_forgotten') {
      // Reads the latest state as a whole, since the records up to it are deleted or lost; the current state stays in use until then.
      logger.info('the log deleted records that were not read yet', fields)
      void withTimeLimit(longestBackoffMilliseconds, undefined, async limited => await this.refresh(limited)).catch((failure: unknown) => logger.warning('the latest state could not be read', { topic: this.#options.name, error: describeError(failure) }))
      return
    }
    if (this.#failures === 1) logger.warning('dependency lost', fields)
  }
}
