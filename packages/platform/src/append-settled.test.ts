import { expect } from 'chai'
import { BriarsaddleError, delay, errorCode } from '@briarsaddle/common'
import { appendSettled, type SettledAppend } from './append-settled.js'
import { LogClient, type LogPage, type LogRecord, type ReadOptions } from './log-client.js'

const pageSize = 2

/** Log whose appends all fail without writing; the test sets the records that reads return. */
class LossyLog extends LogClient {
  records: LogRecord[] = []
  readError: string | undefined
  appendError = 'log_unknown'

  async append (): Promise<number> {
    throw new BriarsaddleError('answer lost', { code: this.appendError, step: 'append record' })
  }

  async read ({ from, waitMilliseconds = 0 }: ReadOptions): Promise<LogPage> {
    if (this.readError !== undefined) throw new BriarsaddleError('no answer', { code: this.readError, step: 'read records' })
    if (this.records.length <= from) await delay(Math.min(waitMilliseconds, 10))
    return { first: 0, next: this.records.length, records: this.records.slice(from, from + pageSize) }
  }

  add (...ids: string[]): void {
    for (const id of ids) this.records.push({ offset: this.records.length, body: JSON.stringify({ id }) })
  }
}

describe('appendSettled', () => {
  const append: SettledAppend = { body: '{"id":"mine"}', id: 'mine', from: 0, lateWriteMilliseconds: 60, settleTimeoutMilliseconds: 150 }
  const outcome = async (log: LogClient, further: Partial<SettledAppend> = {}): Promise<number | string> => await appendSettled(log, { ...append, ...further }).catch(errorCode)

  it('finds a record whose append answer was lost, so that it is not appended twice', async () => {
    const log = new LossyLog()
    log.records.push({ offset: 0, body: 'not JSON' })
    log.add('other', 'another', 'mine', 'later')
    expect(await outcome(log)).to.equal(3)
  })

  it('waits for a late write, so that a record that appears after the first read is found', async () => {
    const log = new LossyLog()
    setTimeout(() => log.add('mine'), 30)
    expect(await outcome(log)).to.equal(0)
  })

  // A log service was seen to write a record 5 s after its append began, so absence from the log does not prove a loss.
  it('reports an absent record as unknown, not as unwritten, and only after the time for late writes', async () => {
    const startedAt = performance.now()
    expect(await outcome(new LossyLog())).to.equal('log_unknown')
    // Below the 60 ms of `lateWriteMilliseconds`, because timers may fire up to a millisecond early.
    expect(performance.now() - startedAt).to.be.greaterThan(58)
  })

  it('reports an unknown outcome when the log cannot be read, so that an unread record is not reported as unwritten', async () => {
    const log = new LossyLog()
    log.readError = 'log_unavailable'
    expect(await outcome(log)).to.equal('log_unknown')
  })

  it('reports an unknown outcome when the log has discarded the offsets that the record may have', async () => {
    const log = new LossyLog()
    log.readError = 'log_forgotten'
    expect(await outcome(log)).to.equal('log_unknown')
  })

  it('reports an unknown outcome when cancelled during the search', async () => {
    expect(await outcome(new LossyLog(), { signal: AbortSignal.timeout(20) })).to.equal('log_unknown')
  })

  it('does not search when the record was certainly not written, so that a refused append is reported at once', async () => {
    const log = new LossyLog()
    log.appendError = 'log_unavailable'
    log.readError = 'log_forgotten'
    expect(await outcome(log)).to.equal('log_unavailable')
  })
})
