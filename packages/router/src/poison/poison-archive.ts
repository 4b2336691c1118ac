import { describeError, errorCode, Logger, withTimeLimit, type LifeCycle } from '@briarsaddle/common'
import type { WritableTopic } from '../control/state-topic.js'
import type { PoisonList } from './poison-list.js'

const logger = new Logger('poison')

/** What the archive needs from the VM. */
export interface PoisonArchiveOptions {
  readonly list: PoisonList
  readonly topic: WritableTopic<string>
  readonly callMilliseconds: number
  readonly isLeading: () => boolean
  /** Era of the log; after it went back, the list is written again. */
  readonly era: () => number
}

const tickMilliseconds = 250

/** Keeps the list of requests that crash endpoints in the log while this VM leads, so that it outlasts the loss of all VMs. */
export class PoisonArchive {
  readonly #options: PoisonArchiveOptions
  /** Position of the log at the last read or write; undefined before the first and after a lost race. */
  #position: number | undefined
  #era = 0
  #writtenVersion = 0

  constructor (options: PoisonArchiveOptions) {
    this.#options = options
  }

  /** Starts to read and write the list, until the life cycle closes. */
  start (lifeCycle: LifeCycle): void {
    lifeCycle.every('poison archive', tickMilliseconds, async () => await this.#tick(lifeCycle.signal), error => {
      this.#position = undefined
      logger.warning('list of requests that crash endpoints could not be read or written', { code: errorCode(error), error: describeError(error) })
    })
  }

  async #tick (signal: AbortSignal): Promise<void> {
    const { list, topic, callMilliseconds, isLeading, era } = this.#options
    if (!isLeading() || this.#era !== era()) {
      this.#position = undefined
      this.#era = era()
    }
    if (!isLeading()) return
    if (this.#position === undefined) {
      const { position, state } = await withTimeLimit(callMilliseconds, signal, async limited => await topic.read(limited))
      list.merge(state)
      list.ensureSalt()
      this.#writtenVersion = state === list.encode() ? list.version : -1
      this.#position = position
    }
    if (list.version === this.#writtenVersion || list.size === 0) return
    const { version } = list
    const position = this.#position
    this.#position = await withTimeLimit(callMilliseconds, signal, async limited => await topic.write(list.encode(), position, limited))
    this.#writtenVersion = version
  }
}
