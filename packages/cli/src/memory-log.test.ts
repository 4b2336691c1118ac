import { BriarsaddleError } from '@briarsaddle/common'
import { LogClient, type LogPage, type ReadOptions } from '@briarsaddle/platform'

/** A log in memory whose calls can be made to fail. */
export class MemoryLog extends LogClient {
  readonly bodies: string[] = []
  /** Runs before each append, for example to append a competing record. */
  beforeAppend: () => void = () => {}
  /** `lost`: the next append is written, but its answer is lost. `refused`: it is not written. */
  nextAppend: 'answered' | 'lost' | 'refused' = 'answered'
  /** True when every read after the next append fails. */
  downAfterAppend = false
  #down = false

  async append (body: string): Promise<number> {
    this.beforeAppend()
    const { nextAppend } = this
    this.nextAppend = 'answered'
    this.#down = this.downAfterAppend
    if (nextAppend === 'refused') throw new BriarsaddleError('the log is down', { code: 'log_unavailable', step: 'append' })
    this.bodies.push(body)
    if (nextAppend === 'lost') throw new BriarsaddleError('the answer was lost', { code: 'log_unknown', step: 'append' })
    return this.bodies.length - 1
  }

  async read ({ from, limit = 1000 }: ReadOptions): Promise<LogPage> {
    if (this.#down) throw new BriarsaddleError('the log is down', { code: 'log_unavailable', step: 'read' })
    const records = this.bodies.slice(from, from + limit).map((body, index) => ({ offset: from + index, body }))
    return { first: 0, next: this.bodies.length, records }
  }
}
