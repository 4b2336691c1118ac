import { expect } from 'chai'
import { ManualClock } from '@briarsaddle/common'
import type { FormerHolder } from '@briarsaddle/ownership'
import { JournalStage, type Journal, type JournalAcknowledgement } from '@briarsaddle/protocol'
import { JournalCopies } from './journal-copies.js'
import { emptyJournal, IdempotencyJournal, journalRetentionMilliseconds, JournalSink, unknownJournal, type JournalKey } from './journal.js'

/** Passes changes to the copies of one standby while it is connected. */
class DirectSink extends JournalSink {
  connected = true
  readonly #copies: JournalCopies

  constructor (copies: JournalCopies) {
    super()
    this.#copies = copies
  }

  override async send (_vm: string, journal: Omit<Journal, 'id'>): Promise<JournalAcknowledgement | undefined> {
    return this.connected ? this.#copies.receive({ ...journal, id: 1 }) : undefined
  }
}

describe('IdempotencyJournal', () => {
  let clock: ManualClock
  let copies: JournalCopies
  let sink: DirectSink

  beforeEach(() => {
    clock = new ManualClock()
    copies = new JournalCopies(clock)
    sink = new DirectSink(copies)
  })

  function key (name: string, bucket = 1, former?: FormerHolder): JournalKey {
    return { key: name, fingerprint: 'print', bucket, former }
  }

  function journal (token: number): IdempotencyJournal {
    return new IdempotencyJournal({ endpoint: 'ponds-1', token, standby: 'vm-2', clock, sink })
  }

  async function firstJournal (): Promise<IdempotencyJournal> {
    const first = journal(1)
    first.load(emptyJournal)
    await first.copyAll()
    return first
  }

  it('passes the answer of a request that ran to the successor, and "unknown" for a request that may have run', async () => {
    const former = await firstJournal()
    for (const name of ['answered', 'running']) {
      former.begin(key(name))
      expect(await former.replicate(name)).to.equal(true)
    }
    former.finish('answered', JournalStage.JOURNAL_STAGE_ANSWERED, { id: 0, outcome: 1, status: 200, headers: [], body: Buffer.from('done'), reason: '', retryAfterMilliseconds: 0, outstanding: 0, serviceMilliseconds: 0, position: 0 })
    const successor = journal(5)
    successor.load(copies.end('ponds-1', 1))
    expect(successor.find(key('answered')).kind).to.equal('answered')
    expect(successor.find(key('running')).kind).to.equal('unknown')
    expect(successor.find(key('other')).kind).to.equal('new')
  })

  it('tells the second successor that keys are missing, so that it does not run a request again', async () => {
    const incomplete = journal(5)
    incomplete.load(unknownJournal)
    await incomplete.copyAll()
    const successor = journal(9)
    successor.load(copies.end('ponds-1', 5))
    expect(successor.find(key('lost')).kind).to.equal('incomplete')
    clock.advance(journalRetentionMilliseconds)
    expect(successor.find(key('lost')).kind).to.equal('new')
  })

  it('does not count an interrupted full copy as complete, so that the successor does not run missing keys again', async () => {
    const former = await firstJournal()
    former.begin(key('first'))
    former.begin(key('second'))
    const send = sink.send.bind(sink)
    let sent = 0
    sink.send = async (vm, change) => ++sent > 1 ? undefined : await send(vm, change)
    former.replaceStandby(2, 'vm-2')
    expect(await former.copyAll()).to.equal(false)
    const successor = journal(5)
    successor.load(copies.end('ponds-1', 2))
    expect(successor.find(key('second')).kind).to.equal('incomplete')
  })

  it('adds no key after the successor has fetched the copy, so that not both run the request', async () => {
    const former = await firstJournal()
    copies.end('ponds-1', 1)
    former.begin(key('late'))
    expect(await former.replicate('late')).to.equal(false)
    expect(copies.end('ponds-1', 1).entries).to.deep.equal([])
  })

  it('accepts no key after its content was returned for the successor, so that not both run the request', async () => {
    const former = await firstJournal()
    former.begin(key('early'))
    expect(former.end().entries.map(({ idempotencyKey }) => idempotencyKey)).to.deep.equal(['early'])
    expect(former.begin(key('late'))).to.equal('ended')
    expect(await former.replicate('early')).to.equal(false)
  })

  it('keeps a copy for some time after another standby was named, for a successor that reads the records late', async () => {
    const former = await firstJournal()
    former.begin(key('kept'))
    await former.replicate('kept')
    copies.keepOnly(new Set())
    clock.advance(10_000)
    copies.keepOnly(new Set())
    expect(copies.end('ponds-1', 1).entries).to.have.length(1)
    clock.advance(30_000)
    copies.keepOnly(new Set())
    expect(copies.end('ponds-1', 1)).to.deep.equal(unknownJournal)
  })

  it('sends a full copy after the standby has missed a change, so that the copy does not lack a key', async () => {
    const former = await firstJournal()
    sink.connected = false
    former.begin(key('missed'))
    expect(await former.replicate('missed')).to.equal(false)
    sink.connected = true
    former.begin(key('next'))
    expect(await former.replicate('next')).to.equal(true)
    expect(copies.end('ponds-1', 1).entries.map(({ idempotencyKey }) => idempotencyKey)).to.deep.equal(['missed', 'next'])
  })

  describe('of a bucket that another endpoint held before', () => {
    const formerHolder = { endpoint: 'ponds-2', releasedAt: 7 }

    it('reports new keys as incomplete until those of the former holder are imported, so that no request runs again', async () => {
      const holder = await firstJournal()
      expect(holder.find(key('moved', 3, formerHolder)).kind).to.equal('incomplete')
      expect(holder.find(key('own', 4)).kind).to.equal('new')
      const from = new IdempotencyJournal({ endpoint: 'ponds-2', token: 2, standby: undefined, clock, sink })
      from.load(emptyJournal)
      from.begin(key('moved', 3))
      from.begin(key('stays', 5))
      await holder.import(new Map([[3, 7]]), from.export([3]))
      expect(holder.find(key('moved', 3, formerHolder)).kind).to.equal('unknown')
      expect(holder.find(key('fresh', 3, formerHolder)).kind).to.equal('new')
      expect(holder.size).to.equal(1)
    })

    it('passes imported keys on to the successor, and needs a new import after a further move', async () => {
      const holder = await firstJournal()
      await holder.import(new Map([[3, 7]]), { ...emptyJournal, entries: [] })
      const successor = journal(5)
      successor.load(copies.end('ponds-1', 1))
      expect(successor.hasImported(3, 7)).to.equal(true)
      expect(successor.find(key('fresh', 3, formerHolder)).kind).to.equal('new')
      expect(successor.find(key('fresh', 3, { endpoint: 'ponds-2', releasedAt: 8 })).kind).to.equal('incomplete')
    })

    it('does not export a bucket as known while its own import is missing, so that the next holder does not run a request again', async () => {
      const holder = await firstJournal()
      holder.expectImport(3)
      expect(holder.export([3]).knownMilliseconds).to.equal(0)
      expect(holder.export([4]).knownMilliseconds).to.be.at.least(journalRetentionMilliseconds)
    })

    it('reports new keys of a bucket whose keys are lost as incomplete until the lost keys would have expired', async () => {
      const holder = await firstJournal()
      await holder.import(new Map([[3, 7]]), unknownJournal)
      expect(holder.find(key('fresh', 3, formerHolder)).kind).to.equal('incomplete')
      clock.advance(journalRetentionMilliseconds)
      expect(holder.find(key('fresh', 3, formerHolder)).kind).to.equal('new')
    })
  })

  it('refuses a new key when it is full, so that no other key is dropped early', async () => {
    const former = await firstJournal()
    for (let number = 0; number < 100_000; number++) former.begin(key(`key-${number}`))
    expect(former.begin(key('one-more'))).to.equal('full')
    clock.advance(journalRetentionMilliseconds)
    expect(former.begin(key('one-more'))).to.equal(undefined)
  })
})
