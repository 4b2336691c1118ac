import { setTimeout as sleep } from 'node:timers/promises'
import { BriarsaddleError, errorCode } from '@briarsaddle/common'
import { ControlReader, type ControlState, type ReadRecord } from '@briarsaddle/ownership'
import { LogForgottenError, type LogClient, type LogPage } from '@briarsaddle/platform'

const pageLimit = 1000
const retryMilliseconds = 200

function unavailable (code: 'log_unavailable' | 'control_state_unavailable', message: string): BriarsaddleError {
  return new BriarsaddleError(message, { code, step: 'read control stream' })
}

/** Reads the control stream of the log and computes the control state from it. */
export class ControlLog {
  readonly #client: LogClient
  readonly #reader = new ControlReader()

  constructor (client: LogClient) {
    this.#client = client
  }

  get client (): LogClient { return this.#client }

  /** Offset at which the next read begins. */
  get nextOffset (): number { return this.#reader.nextOffset }

  /**
   * Reads to the current end of the stream and returns the control state there.
   * Throws `log_unavailable`, or `control_state_unavailable` when the log has discarded the first records and holds no
   * checkpoint of the state.
   */
  async readToEnd (onRecord: (read: ReadRecord) => void = () => {}): Promise<ControlState> {
    for (;;) {
      const page = await this.#readPage()
      if (page === undefined) continue
      const before = this.#reader.nextOffset
      const { read, problems, reachedEnd } = this.#reader.feed(page)
      read.forEach(onRecord)
      const { state } = this.#reader
      if (reachedEnd && state !== undefined) return state
      if (this.#reader.needsPeerState) throw unavailable('control_state_unavailable', 'the log retains no checkpoint of the control state; try again when a VM has written one')
      const problem = problems.find(({ code }) => code === 'records_missing' || code === 'log_went_back')
      if (problem !== undefined || this.#reader.nextOffset === before) throw unavailable('log_unavailable', `the log gave an inconsistent answer at offset ${before}: ${problem?.message ?? 'no records'}`)
    }
  }

  /** Reads until the state includes the record at `offset`. Retries while the log is unavailable, until the timeout. */
  async readPast (offset: number, timeoutMilliseconds: number, onRecord: (read: ReadRecord) => void): Promise<ControlState> {
    const deadline = performance.now() + timeoutMilliseconds
    for (;;) {
      try {
        const state = await this.readToEnd(onRecord)
        if (state.position >= offset) return state
      } catch (error) {
        if (errorCode(error) !== 'log_unavailable' || performance.now() >= deadline) throw error
      }
      if (performance.now() >= deadline) throw unavailable('log_unavailable', `the log does not show the record at offset ${offset} yet`)
      await sleep(retryMilliseconds)
    }
  }

  /** Reads a page. Returns undefined when the log has discarded the next records; the next read then begins at its oldest record. */
  async #readPage (): Promise<LogPage | undefined> {
    try {
      return await this.#client.read({ from: this.#reader.nextOffset, limit: pageLimit })
    } catch (error) {
      if (!(error instanceof LogForgottenError) || error.first <= this.#reader.nextOffset) throw error
      this.#reader.discardedBefore(error.first)
      return undefined
    }
  }
}
