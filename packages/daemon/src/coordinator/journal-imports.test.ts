import { expect } from 'chai'
import { LifeCycle, MonotonicClock, delay } from '@briarsaddle/common'
import type { FetchJournalRequest, FetchJournalResponse, JournalAcknowledgement } from '@briarsaddle/protocol'
import { FormerHolderJournals, JournalImports } from './journal-imports.js'
import { emptyJournal, IdempotencyJournal, JournalSink } from './journal.js'

class NoSink extends JournalSink {
  override async send (): Promise<JournalAcknowledgement | undefined> { return undefined }
}

class ScriptedJournals extends FormerHolderJournals {
  readonly requests: FetchJournalRequest[] = []
  answers: Array<FetchJournalResponse | undefined> = []

  override async fetch (request: FetchJournalRequest): Promise<FetchJournalResponse | undefined> {
    this.requests.push(request)
    await delay(10)
    return this.answers.length > 1 ? this.answers.shift() : this.answers[0]
  }
}

describe('JournalImports', () => {
  const clock = new MonotonicClock()
  let lifeCycle: LifeCycle
  let journals: ScriptedJournals
  let journal: IdempotencyJournal
  let imports: JournalImports

  beforeEach(() => {
    lifeCycle = new LifeCycle('test')
    journals = new ScriptedJournals()
    journal = new IdempotencyJournal({ endpoint: 'ponds-1', token: 1, standby: undefined, clock, sink: new NoSink() })
    journal.load(emptyJournal)
    imports = new JournalImports({ endpoint: 'ponds-1', journal, journals, clock, lifeCycle })
  })

  afterEach(async () => { await lifeCycle.close() })

  it('asks the coordinator of each former holder once for all buckets, at a log position from which it accepts no request for them', async () => {
    journals.answers = [emptyJournal]
    const buckets = [{ bucket: 3, from: 'ponds-2', releasedAt: 7 }, { bucket: 4, from: 'ponds-2', releasedAt: 9 }, { bucket: 5, from: 'ponds-3', releasedAt: 7 }, { bucket: 6, from: 'ponds-1', releasedAt: 7 }]
    imports.review(buckets)
    imports.review(buckets)
    await Promise.all([3, 4, 5].map(async bucket => await imports.running(bucket)))
    imports.review(buckets)
    expect(journals.requests.map(({ endpoint, buckets, position }) => ({ endpoint, buckets, position }))).to.deep.equal([
      { endpoint: 'ponds-2', buckets: [3, 4], position: 9 }, { endpoint: 'ponds-3', buckets: [5], position: 7 }
    ])
  })

  it('asks again while the coordinator of the former holder is being replaced, so that its keys are not treated as lost', async () => {
    journals.answers = [undefined, undefined, emptyJournal]
    imports.review([{ bucket: 3, from: 'ponds-2', releasedAt: 7 }])
    expect(journal.hasImported(3, 7)).to.equal(false)
    await imports.running(3)
    expect(journals.requests).to.have.length(3)
    expect(journal.hasImported(3, 7)).to.equal(true)
  })
})
