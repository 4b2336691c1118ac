import { randomUUID } from 'node:crypto'
import { describeError, errorCode, Logger, type Clock } from '@briarsaddle/common'
import type { ControlRecord } from '@briarsaddle/ownership'
import { appendSettled, type LogClient } from '@briarsaddle/platform'
import type { ControlView } from '../contracts.js'

const logger = new Logger('records')
/** Maximum wait until this VM has read its own record back. */
const readBackMilliseconds = 2000
const retryMilliseconds = 200

type WithoutId<Record> = Record extends unknown ? Omit<Record, 'id'> : never

/** A control record without its id, which the writer adds. */
export type Proposal = WithoutId<ControlRecord>

/** Appends records to the control stream. */
export class RecordWriter {
  readonly #log: LogClient
  readonly #view: ControlView
  readonly #clock: Clock
  readonly #pending = new Set<string>()
  /** Time by topic before which no record is appended, so that an unavailable log is not called too often. */
  readonly #retryAt = new Map<string, number>()

  constructor (log: LogClient, view: ControlView, clock: Clock) {
    this.#clock = clock
    this.#log = log
    this.#view = view
  }

  /** Appends a record for an operator and returns its offset. Throws `log_unavailable`, or `log_unknown` when it is unknown whether the record was appended. */
  async append (proposal: Proposal, signal?: AbortSignal): Promise<number> {
    const id = randomUUID()
    const from = this.#view.state.position + 1
    const offset = await appendSettled(this.#log, { id, from, body: JSON.stringify({ ...proposal, id }), ...(signal === undefined ? {} : { signal }) })
    await this.#view.waitForPosition(offset, readBackMilliseconds, signal)
    return offset
  }

  /**
   * Appends a record of a control loop and waits until this VM has read up to its offset. Returns the offset, or undefined
   * when the append failed or another proposal with the same `topic` is in progress or failed a short time ago.
   * A lost response is not resolved: the control loop reads the state again, and a record that was appended after all
   * takes effect at most once because of its base.
   */
  async propose (topic: string, proposal: Proposal, signal?: AbortSignal): Promise<number | undefined> {
    if (this.#pending.has(topic) || (this.#retryAt.get(topic) ?? -Infinity) > this.#clock.now()) return undefined
    this.#pending.add(topic)
    try {
      const offset = await this.#log.append(JSON.stringify({ ...proposal, id: randomUUID() }), signal)
      await this.#view.waitForPosition(offset, readBackMilliseconds, signal)
      this.#retryAt.delete(topic)
      logger.debug('record appended', { kind: proposal.kind, topic, offset })
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
