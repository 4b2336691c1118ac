import { BriarsaddleError } from '@briarsaddle/common'
import { LogClient, type LogPage, type ReadOptions } from '@briarsaddle/platform'

/** In-memory log whose calls can be made to fail. */
export class MemoryLog extends LogClient {
  readonly bodies: string[] = []
  /** Runs before each append, for example to append a competing record. */
  beforeAppend: () => void = () => {}
  /** Result of the next append. `lost`: the record is written, but the answer is lost. `refused`: the record is not written. */
  nextAppend: 'answered' | 'lost' | 'refused' = 'answered'
  /** True if all reads after the next append are to fail. */
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
