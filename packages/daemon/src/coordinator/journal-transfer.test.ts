import { expect } from 'chai'
import { ManualClock } from '@briarsaddle/common'
import { initialState, type ControlState } from '@briarsaddle/ownership'
import type { FetchJournalRequest, FetchJournalResponse, JournalAcknowledgement } from '@briarsaddle/protocol'
import type { RuleFile } from '@briarsaddle/rules'
import { ControlView } from '../contracts.js'
import { CoordinatorHistory } from './coordinator-history.js'
import { emptyJournal, IdempotencyJournal, JournalSink, unknownJournal } from './journal.js'
import { JournalSource, JournalTransfer } from './journal-transfer.js'

class FixedView extends ControlView {
  state: ControlState = { ...initialState(), position: 5 }
  readonly rules: RuleFile = { rules: [], warnings: [] }
  override async waitForPosition (): Promise<boolean> { return true }
}

class NoSource extends JournalSource {
  override async fetch (): Promise<FetchJournalResponse | undefined> { throw new Error('not reachable') }
}

class NoSink extends JournalSink {
  override async send (): Promise<JournalAcknowledgement | undefined> { return undefined }
}

describe('JournalTransfer', () => {
  const clock = new ManualClock()
  let view: FixedView
  let current: IdempotencyJournal | undefined
  let transfer: JournalTransfer

  beforeEach(() => {
    view = new FixedView()
    current = undefined
    transfer = new JournalTransfer({
      self: 'vm-1',
      view,
      clock,
      source: new NoSource(),
      history: new CoordinatorHistory(clock),
      sessionJournal: () => current === undefined ? undefined : { journal: current, loaded: Promise.resolve() }
    })
  })

  function journal (token: number, ...keys: string[]): IdempotencyJournal {
    const created = new IdempotencyJournal({ endpoint: 'ponds-1', token, standby: undefined, clock, sink: new NoSink() })
    created.load(emptyJournal)
    for (const key of keys) created.begin({ key, fingerprint: 'print', bucket: 3, former: undefined })
    return created
  }

  function request (fields: Partial<FetchJournalRequest>): FetchJournalRequest {
    return { endpoint: 'ponds-1', token: 2, buckets: [], position: 0, ...fields }
  }

  function keysOf ({ entries }: FetchJournalResponse): readonly string[] {
    return entries.map(({ idempotencyKey }) => idempotencyKey)
  }

  it('returns the keys of a provisional session that has ended, so that the successor does not run their requests again', async () => {
    transfer.sessionEnded('ponds-1', journal(2, 'provisional'))
    expect(keysOf(await transfer.answer(request({})))).to.deep.equal(['provisional'])
    expect(await transfer.answer(request({ token: 1 })), 'another coordinator').to.deep.equal(unknownJournal)
  })

  it('returns the keys of a bucket only after it has read the release of the bucket, so that it adds no key afterwards', async () => {
    current = journal(2, 'moved')
    expect((await transfer.answer(request({ buckets: [3], position: 6 }))).notReady).to.equal(true)
    view.state = { ...view.state, position: 6 }
    expect(keysOf(await transfer.answer(request({ buckets: [3], position: 6 })))).to.deep.equal(['moved'])
    expect(keysOf(await transfer.answer(request({ buckets: [4], position: 6 })))).to.deep.equal([])
  })

  it('keeps the keys of an endpoint that has left the state, and reports those of an unknown endpoint as unknown', async () => {
    transfer.sessionEnded('ponds-1', journal(2, 'removed'))
    expect(keysOf(await transfer.answer(request({ buckets: [3], position: 5 })))).to.deep.equal(['removed'])
    expect(await transfer.answer(request({ endpoint: 'ponds-9', buckets: [3], position: 5 }))).to.deep.equal(unknownJournal)
  })

  it('returns an unknown journal when the standby of the former coordinator does not answer, so that missing keys do not count as new', async () => {
    expect(await transfer.fetchFormer('ponds-1', { vm: 'vm-2', standby: 'vm-3', token: 2 })).to.deep.equal(unknownJournal)
  })
})
