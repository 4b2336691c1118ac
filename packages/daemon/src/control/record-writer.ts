import { randomUUID } from 'node:crypto'
import { describeError, errorCode, Logger, type Clock } from '@briarsaddle/common'
import type { ControlRecord } from '@briarsaddle/ownership'
import { appendSettled, type LogClient } from '@briarsaddle/platform'
import type { ControlView } from '../contracts.js'

const logger = new Logger('records')
const readBackMilliseconds = 2000
const retryMilliseconds = 200

type WithoutId<Record> = Record extends unknown ? Omit<Record, 'id'> : never

/** A record before it has an id. */
export type Proposal = WithoutId<ControlRecord>

/** Appends records to the control stream. */
export class RecordWriter {
  readonly #log: LogClient
  readonly #view: ControlView
  readonly #clock: Clock
  readonly #pending = new Set<string>()
  /** A log that is down is not asked more often than this allows. */
  readonly #retryAt = new Map<string, number>()

  constructor (log: LogClient, view: ControlView, clock: Clock) {
    this.#clock = clock
    this.#log = log
    this.#view = view
  }

  /** Appends a record for an operator. Throws `log_unavailable` or `log_unknown`. */
  async append (proposal: Proposal, signal?: AbortSignal): Promise<number> {
    const id = randomUUID()
    const from = this.#view.state.position + 1
    const offset = await appendSettled(this.#log, { id, from, body: JSON.stringify({ ...proposal, id }), ...(signal === undefined ? {} : { signal }) })
    await this.#view.waitForPosition(offset, readBackMilliseconds, signal)
    return offset
  }

  /**
   * Appends a record of the control loops and waits until this VM has read as far as its offset. Returns the offset, or undefined when the
   * log did not take it. Proposals with the same `topic` are not made twice at the same time.
   * A lost answer is not settled: the loops look at the state again, and a record that still lands is valid once by its base.
   */
  async propose (topic: string, proposal: Proposal, signal?: AbortSignal): Promise<number | undefined> {
    if (this.#pending.has(topic) || (this.#retryAt.get(topic) ?? -Infinity) > this.#clock.now()) return undefined
    this.#pending.add(topic)
    try {
      const offset = await this.#log.append(JSON.stringify({ ...proposal, id: randomUUID() }), signal)
      await this.#view.waitForPosition(offset, readBackMilliseconds, signal)
      this.#retryAt.delete(topic)
      logger.debug('appended record', { kind: proposal.kind, topic, offset })
      return offset
    } catch (error) {
      this.#retryAt.set(topic, this.#clock.now() + retryMilliseconds)
      logger.warning('record was not appended', { kind: proposal.kind, topic, code: errorCode(error), reason: describeError(error) })
      return undefined
    } finally {
      this.#pending.delete(topic)
    }
  }
}
