import { randomUUID } from 'node:crypto'
import { describeError, errorCode, Logger } from '@briarsaddle/common'
import type { ControlRecord } from '@briarsaddle/ownership'
import { appendSettled, type LogClient } from '@briarsaddle/platform'
import type { ControlView } from '../contracts.js'

const logger = new Logger('records')
const readBackMilliseconds = 2000

type WithoutId<Record> = Record extends unknown ? Omit<Record, 'id'> : never

/** A record before it has an id. */
export type Proposal = WithoutId<ControlRecord>

/** Appends records to the control stream. */
export class RecordWriter {
  readonly #log: LogClient
  readonly #view: ControlView
  readonly #pending = new Set<string>()

  constructor (log: LogClient, view: ControlView) {
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
   * Appends a record and waits until this VM has read as far as its offset. Returns the offset, or undefined when the
   * log did not take it. Proposals with the same `topic` are not made twice at the same time.
   */
  async propose (topic: string, proposal: Proposal, signal?: AbortSignal): Promise<number | undefined> {
    if (this.#pending.has(topic)) return undefined
    this.#pending.add(topic)
    try {
      const offset = await this.append(proposal, signal)
      logger.debug('appended record', { kind: proposal.kind, topic, offset })
      return offset
    } catch (error) {
      logger.warning('record was not appended', { kind: proposal.kind, topic, code: errorCode(error), reason: describeError(error) })
      return undefined
    } finally {
      this.#pending.delete(topic)
    }
  }
}
