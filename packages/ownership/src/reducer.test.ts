import { expect } from 'chai'
import { applyRecord, grantableBuckets, bucketsToRelease, initialState, parseRecord } from './index.js'
import type { ControlRecord, ControlState, VoidReason } from './index.js'

const pool = 'ledger'
let ids = 0
const uuid = (): string => `00000000-0000-4000-8000-${String(ids++).padStart(12, '0')}`

/** Applies records at consecutive offsets and returns why each was rejected, if it was. */
class Log {
  state: ControlState = initialState()
  readonly reasons: Array<VoidReason | undefined> = []

  add (record: Record<string, unknown>): VoidReason | undefined {
    const parsed = parseRecord(JSON.stringify({ id: uuid(), ...record })).record as ControlRecord
    const applied = applyRecord(this.state, this.state.position + 1, parsed)
    this.state = applied.state
    return applied.voidReason
  }

  endpoint (id: string, changes: Record<string, unknown> = {}): VoidReason | undefined {
    const base = this.state.endpoints.get(id)?.coordinator.token ?? -1
    return this.add({ kind: 'coordinator', base, vm: 'vm', endpoint: { id, pool, dataCentre: 'a', host: 'h', port: 1, checks: true, ...changes } })
  }

  assign (to: string, ...buckets: number[]): VoidReason | undefined {
    return this.add({ kind: 'assignment', pool, base: this.state.pools.get(pool)?.version ?? -1, moves: buckets.map(bucket => ({ bucket, to })) })
  }

  release (assignment: number, ...buckets: number[]): VoidReason | undefined {
    return this.add({ kind: 'released', pool, assignment, buckets })
  }

  remove (kind: 'drain' | 'endpointRemoved', endpoint: string): VoidReason | undefined {
    return this.add({ kind, endpoint, base: this.state.endpoints.get(endpoint)?.version ?? -1, ...(kind === 'drain' ? { author: 'x' } : {}) })
  }
}

function withEndpoints (): Log {
  const log = new Log()
  for (const id of ['a', 'b', 'c']) log.endpoint(id)
  return log
}

describe('applyRecord', () => {
  it('keeps the holder from before the first move pending over several moves, because only it may still hold the bucket', () => {
    const log = withEndpoints()
    log.assign('a', 0, 1)
    expect(grantableBuckets(log.state, 'a')).to.deep.equal([{ bucket: 0, token: 3 }, { bucket: 1, token: 3 }])
    log.assign('b', 0)
    log.assign('c', 0)
    expect(log.state.pools.get(pool)?.buckets[0]).to.deep.equal({ owner: 'c', token: 5, pendingFrom: 'a', former: undefined })
    expect(bucketsToRelease(log.state, 'a')).to.deep.equal([{ bucket: 0, token: 5 }])
    expect(grantableBuckets(log.state, 'c')).to.deep.equal([])
    expect(log.release(4, 0), 'a release for the older assignment').to.equal('not_pending')
    expect(log.release(5, 0, 1), 'buckets of the record that are not pending are skipped').to.equal(undefined)
    expect(grantableBuckets(log.state, 'c')).to.deep.equal([{ bucket: 0, token: 5 }])
  })

  it('records the previous holder of a bucket, not an owner that was never granted it, so that its idempotency keys are found', () => {
    const log = withEndpoints()
    log.assign('a', 0)
    log.assign('b', 0)
    log.assign('c', 0)
    log.release(5, 0)
    const former = { endpoint: 'a', releasedAt: 6 }
    expect(log.state.pools.get(pool)?.buckets[0]?.former).to.deep.equal(former)
    log.assign('b', 0)
    log.assign('c', 0)
    expect(log.state.pools.get(pool)?.buckets[0]?.former, 'the bucket returned before it was released').to.deep.equal(former)
  })

  it('leaves nothing pending when a bucket returns to the endpoint that still holds it', () => {
    const log = withEndpoints()
    log.assign('a', 0)
    log.assign('b', 0)
    log.assign('a', 0)
    expect(grantableBuckets(log.state, 'a')).to.deep.equal([{ bucket: 0, token: 5 }])
    expect(log.release(4, 0)).to.equal('not_pending')
  })

  it('rejects records with a stale base, a duplicate id or unknown names, so that all readers agree on one outcome', () => {
    const log = withEndpoints()
    expect(log.assign('a', 0)).to.equal(undefined)
    expect(log.add({ kind: 'assignment', pool, base: -1, moves: [{ bucket: 1, to: 'a' }] })).to.equal('stale_base')
    expect(log.assign('x', 1)).to.equal('unknown_endpoint')
    expect(log.assign('b', 1024)).to.equal('unknown_bucket')
    expect(log.assign('b', 1, 1)).to.equal('invalid')
    expect(log.assign('a', 0), 'a move to the owner').to.equal('invalid')
    expect(log.endpoint('a', { pool: 'other' }), 'an endpoint that owns buckets cannot change its pool').to.equal('still_owner')
    expect(log.add({ kind: 'rules', base: 3, text: '', author: 'x' })).to.equal('stale_base')
    expect(log.release(3, 0)).to.equal('not_pending')
    const id = uuid()
    expect(log.add({ id, kind: 'drain', endpoint: 'x', base: -1, author: 'x' })).to.equal('unknown_endpoint')
    expect(log.add({ id, kind: 'rules', base: -1, text: '', author: 'x' }), 'ids of rejected records are kept too').to.equal('duplicate')
  })

  it('removes an endpoint only when it neither owns nor still holds a bucket', () => {
    const log = withEndpoints()
    log.assign('a', 0)
    expect(log.remove('drain', 'a')).to.equal(undefined)
    expect(log.assign('a', 1)).to.equal('leaving_endpoint')
    expect(log.remove('endpointRemoved', 'a')).to.equal('still_owner')
    log.assign('b', 0)
    expect(log.remove('endpointRemoved', 'a'), 'pending').to.equal('still_owner')
    log.release(log.state.pools.get(pool)?.version ?? -1, 0)
    expect(log.remove('endpointRemoved', 'a')).to.equal(undefined)
    expect(log.state.endpoints.has('a')).to.equal(false)
  })

  it('updates the description of a known endpoint', () => {
    const log = withEndpoints()
    expect(log.endpoint('a', { port: 2 })).to.equal(undefined)
    expect(log.state.endpoints.get('a')).to.deep.include({ version: 3, leaving: false }).and.have.nested.property('description.port', 2)
  })

  it('keeps a later witness list pending and accepts only one of two concurrent proposals', () => {
    const log = new Log()
    const propose = (base: number, ...vms: string[]): VoidReason | undefined => log.add({ kind: 'witnesses', base, vms })
    expect(propose(-1, 'a', 'b', 'c')).to.equal(undefined)
    expect(propose(0, 'b', 'c', 'd')).to.equal(undefined)
    expect(propose(0, 'x')).to.equal('stale_base')
    expect(log.state.witnesses.vms).to.deep.equal(['a', 'b', 'c'])
    expect(log.add({ kind: 'witnessesReleased', base: 0, lost: ['a', 'd'], author: 'x' })).to.equal(undefined)
    expect(log.state.witnesses).to.deep.equal({ version: 3, vms: ['b', 'c'], pending: { offset: 1, vms: ['b', 'c'] } })
    expect(log.add({ kind: 'witnessesReleased', base: 3, lost: ['b', 'c'], author: 'x' }), 'an empty list').to.equal('invalid')
    expect(log.add({ kind: 'witnessesSettled', base: 0 })).to.equal('stale_base')
    expect(log.add({ kind: 'witnessesSettled', base: 1 })).to.equal(undefined)
    expect(log.state.witnesses).to.deep.equal({ version: 6, vms: ['b', 'c'], pending: undefined })
  })
})

describe('parseRecord', () => {
  it('returns a reason instead of throwing, so that a malformed record does not stop the readers', () => {
    expect(parseRecord('{').malformed?.reason).to.equal('not_json')
    expect(parseRecord('{"kind":"rules"}').malformed?.reason).to.equal('not_a_record')
  })
})
