import { delay, describeError, errorCode, Logger, type Clock, type LifeCycle } from '@briarsaddle/common'
import { ControlReader, decodeState, encodeState, initialState, noVersion, type ControlState, type ReadRecord } from '@briarsaddle/ownership'
import type { LogClient, LogPage } from '@briarsaddle/platform'
import { LogForgottenError } from '@briarsaddle/platform'
import { parseRules, type RuleFile } from '@briarsaddle/rules'
import { ControlView } from '../contracts.js'

const logger = new Logger('log')
const pageLimit = 1000
const waitMilliseconds = 100
const retryMilliseconds = 50
const noRules: RuleFile = { rules: [], warnings: [] }

/** Receives state changes and completed reads of a `LogFollower`. */
export abstract class FollowerObserver {
  /** Called when the control state has changed. `read` holds the records that led to it; empty when it came from a peer. */
  abstract stateChanged (state: ControlState, read: readonly ReadRecord[]): void
  /** Called when a read that began at `startedAt` has reached the end of the log. */
  abstract readToEnd (startedAt: number): void
}

/** Fetches the newest control state of all reachable peers. */
export abstract class PeerStateSource {
  abstract fetch (): Promise<string | undefined>
}

/** Reads the control stream continuously and maintains the control state and the parsed rules. */
export class LogFollower extends ControlView {
  readonly #log: LogClient
  readonly #clock: Clock
  readonly #reader = new ControlReader()
  readonly #observers: FollowerObserver[] = []
  readonly #maximumRuleFileBytes: number
  #state: ControlState = initialState()
  #rules: RuleFile = noRules
  #rulesVersion = this.#state.rules.version
  #lastReadAt = -Infinity
  #retained: Pick<LogPage, 'first' | 'next'> | undefined
  #lastCheckpoint: number | undefined
  #lastCheckpointPosition = noVersion
  #waiters: Array<{ readonly position: number, readonly wake: () => void }> = []

  constructor (options: { readonly log: LogClient, readonly clock: Clock, readonly maximumRuleFileBytes: number }) {
    super()
    this.#log = options.log
    this.#clock = options.clock
    this.#maximumRuleFileBytes = options.maximumRuleFileBytes
  }

  get state (): ControlState { return this.#state }
  get rules (): RuleFile { return this.#rules }
  /** The reader, for responses to `Confirm` requests. */
  get reader (): Pick<ControlReader, 'state' | 'caughtUp'> { return this.#reader }
  /** True once there is a starting state: the beginning of the log, a checkpoint or the state of a peer. */
  get started (): boolean { return this.#reader.state !== undefined }
  /** True once this process has read the log to its end. */
  get caughtUp (): boolean { return this.#reader.caughtUp }
  /** Milliseconds since the last successful read. */
  get silentMilliseconds (): number { return this.#clock.now() - this.#lastReadAt }
  /** Oldest retained offset and next offset of the log, as of the last read. */
  get retained (): Pick<LogPage, 'first' | 'next'> | undefined { return this.#retained }
  /** Offset of the newest checkpoint that has been read. */
  get lastCheckpoint (): number | undefined { return this.#lastCheckpoint }
  /** False when the log has discarded records that the newest checkpoint does not cover, so that no VM can start from the log alone. */
  get startRetained (): boolean { return this.#lastCheckpointPosition + 1 >= (this.#retained?.first ?? 0) }

  /** Registers an observer. Observers are called in registration order. */
  observe (observer: FollowerObserver): void {
    this.#observers.push(observer)
  }

  /** Returns the control state in the encoding of checkpoints. */
  encode (): string {
    return encodeState(this.#state)
  }

  override async waitForPosition (position: number, timeoutMilliseconds: number, signal?: AbortSignal): Promise<boolean> {
    if (this.#state.position >= position) return true
    if (timeoutMilliseconds <= 0 || signal?.aborted === true) return false
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        signal?.removeEventListener('abort', finish)
        this.#waiters = this.#waiters.filter(waiter => waiter.wake !== finish)
        resolve()
      }
      const timer = setTimeout(finish, timeoutMilliseconds)
      signal?.addEventListener('abort', finish)
      this.#waiters.push({ position, wake: finish })
    })
    return this.#state.position >= position
  }

  /** Reads until the life cycle closes. `peers` supplies the state when the log has no usable starting state. */
  async run (lifeCycle: LifeCycle, peers: PeerStateSource): Promise<void> {
    while (!lifeCycle.closed) {
      try {
        await this.#readPage(lifeCycle.signal)
        if (this.#reader.needsPeerState) await this.#adoptPeerState(peers)
      } catch (error) {
        if (lifeCycle.closed) return
        if (error instanceof LogForgottenError) this.#reader.discardedBefore(error.first)
        else logger.warning('log read failed', { code: errorCode(error), reason: describeError(error) })
        if (!this.started) await this.#adoptPeerState(peers)
        await delay(retryMilliseconds, lifeCycle.signal)
      }
    }
  }

  async #readPage (signal: AbortSignal): Promise<void> {
    const startedAt = this.#clock.now()
    const page = await this.#log.read({ from: this.#reader.nextOffset, limit: pageLimit, waitMilliseconds: this.caughtUp ? waitMilliseconds : 0, signal })
    this.#lastReadAt = this.#clock.now()
    this.#retained = { first: page.first, next: page.next }
    const report = this.#reader.feed(page)
    for (const { code, message, offset } of report.problems) logger.warning('problem in the control stream', { code, offset, detail: message })
    for (const { offset, record, voidReason } of report.read) {
      if (record.kind === 'checkpoint') {
        this.#lastCheckpoint = offset
        this.#lastCheckpointPosition = record.position
      }
      if (voidReason !== undefined) logger.debug('record had no effect', { offset, kind: record.kind, reason: voidReason })
    }
    this.#adopt(report.read)
    if (report.reachedEnd) for (const observer of this.#observers) observer.readToEnd(startedAt)
  }

  async #adoptPeerState (peers: PeerStateSource): Promise<void> {
    const text = await peers.fetch()
    if (text === undefined) return
    const state = decodeState(text)
    if (!this.#reader.adoptState(state)) return
    logger.info('adopted control state from a peer', { position: state.position })
    this.#adopt([])
  }

  #adopt (read: readonly ReadRecord[]): void {
    const state = this.#reader.state
    if (state === undefined || state === this.#state) return
    this.#state = state
    this.#parseRules()
    for (const observer of this.#observers) observer.stateChanged(state, read)
    for (const { position, wake } of [...this.#waiters]) if (state.position >= position) wake()
  }

  /** Parses the current rule file. Rule files are validated before they are published; if one cannot be parsed, the previous rules stay in force. */
  #parseRules (): void {
    const { version, text } = this.#state.rules
    if (version === this.#rulesVersion) return
    this.#rulesVersion = version
    try {
      this.#rules = parseRules(text, `rules at ${version}`, this.#maximumRuleFileBytes)
      logger.info('rules in force', { version, author: this.#state.rules.author, rules: this.#rules.rules.length })
    } catch (error) {
      logger.error('published rules cannot be parsed', { version, reason: describeError(error) })
    }
  }
}
