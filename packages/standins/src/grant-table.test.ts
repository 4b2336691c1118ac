import { expect } from 'chai'
import { ManualClock } from '@briarsaddle/common'
import { EndpointClock } from './endpoint-clock.js'
import { readRequestGrant, type RequestGrant } from './endpoint-protocol.js'
import { EndpointRecord } from './endpoint-record.js'
import { GrantTable, type RunningRight } from './grant-table.js'

describe('GrantTable', () => {
  const instance = 'instance-1'
  const token = { offset: 5, provisional: 0 }
  let manual: ManualClock
  let clock: EndpointClock
  let record: EndpointRecord
  let table: GrantTable

  beforeEach(() => {
    manual = new ManualClock()
    clock = new EndpointClock(manual, 1)
    record = new EndpointRecord(clock)
    table = new GrantTable({ clock, record, instance, checks: true })
    table.hello({ coordinator: 'vm-1', token })
  })

  const renew = (buckets: readonly number[], milliseconds: number, by: object = {}): string | undefined =>
    table.renew({ instance, coordinator: 'vm-1', token, list: 1, buckets: buckets.map(bucket => ({ bucket, token: 9 })), validUntil: clock.now() + milliseconds, ...by })
  const request = (headers: Readonly<Record<string, string>> = {}): RequestGrant => readRequestGrant({
    'briarsaddle-instance': instance, 'briarsaddle-coordinator': 'vm-1', 'briarsaddle-token': '5.0', 'briarsaddle-bucket': '1', 'briarsaddle-bucket-token': '9', ...headers
  })
  const admit = (headers?: Readonly<Record<string, string>>): string => {
    const right = table.admit(request(headers))
    return typeof right === 'string' ? right : 'admitted'
  }

  it('orders tokens as pairs and binds each to one VM, so that a former coordinator is fenced off', () => {
    expect(table.hello({ coordinator: 'vm-2', token })).to.equal('stale-coordinator')
    expect(table.hello({ coordinator: 'vm-2', token: { offset: 5, provisional: 1 } })).to.equal(undefined)
    expect(table.hello({ coordinator: 'vm-1', token })).to.equal('stale-coordinator')
    expect(renew([1], 100)).to.equal('stale-coordinator')
    expect(admit()).to.equal('stale-coordinator')
  })

  for (const [name, headers, expected] of [
    ['another instance', { 'briarsaddle-instance': 'former' }, 'wrong-instance'],
    ['another coordinator', { 'briarsaddle-coordinator': 'vm-2' }, 'stale-coordinator'],
    ['another token', { 'briarsaddle-token': '5.1' }, 'stale-coordinator'],
    ['no token', { 'briarsaddle-token': '' }, 'stale-coordinator'],
    ['a bucket that is not granted', { 'briarsaddle-bucket': '2' }, 'not-granted'],
    ['a malformed bucket', { 'briarsaddle-bucket': 'x' }, 'not-granted'],
    ['another bucket token', { 'briarsaddle-bucket-token': '8' }, 'not-granted'],
    ['a matching grant', {}, 'admitted'],
    ['no bucket, for pools without keys', { 'briarsaddle-bucket': '', 'briarsaddle-bucket-token': '' }, 'admitted']
  ] as const) {
    it(`answers a request with ${name}: ${expected}`, () => {
      renew([1], 100)
      expect(admit(headers)).to.equal(expected)
    })
  }

  it('refuses work and effects after validUntil, so that a paused holder does not act for a bucket with a new owner', () => {
    renew([1], 100)
    const running = table.admit(request()) as RunningRight
    expect(running.stillValid()).to.equal(true)
    manual.advance(100)
    expect(running.stillValid()).to.equal(false)
    expect(admit()).to.equal('no-right')
    expect(renew([1], 0)).to.equal('no-right')
    renew([1], 100)
    expect(running.stillValid(), 'the grant was interrupted').to.equal(false)
    const spans = record.toData().held.map(({ from, until }) => until.clock - from.clock)
    expect(spans).to.deep.equal([100, 100])
  })

  it('never lets an overtaken renewal bring a bucket back, because its new owner may already serve it', () => {
    renew([1], 100)
    renew([], 120)
    expect(renew([1], 100)).to.equal('overtaken')
    expect(renew([1], 120)).to.equal('overtaken')
    expect(admit()).to.equal('not-granted')
    renew([1], 121)
    expect(admit()).to.equal('admitted')
  })

  it('renews a numbered list without its buckets, and refuses a number that it does not know, so that no bucket is kept by mistake', () => {
    expect(table.hello({ coordinator: 'vm-1', token })).to.equal(undefined)
    renew([1, 2], 100)
    const short = { instance, coordinator: 'vm-1', token }
    expect(table.renew({ ...short, list: 1, validUntil: clock.now() + 150 })).to.equal('extended')
    expect(table.granted.map(({ bucket }) => bucket)).to.deep.equal([1, 2])
    expect(table.renew({ ...short, list: 2, validUntil: clock.now() + 200 })).to.equal('list-unknown')
    const newer = { ...token, offset: token.offset + 1 }
    table.hello({ coordinator: 'vm-2', token: newer })
    expect(table.renew({ instance, coordinator: 'vm-2', token: newer, list: 1, validUntil: clock.now() + 250 })).to.equal('list-unknown')
  })

  it('holds a revoked bucket until its running request ends and admits no further one, so that the move interrupts nothing', () => {
    renew([1], 100)
    const running = table.admit(request()) as RunningRight
    renew([], 120)
    expect(table.stillHeld).to.deep.equal([1])
    expect(table.granted).to.deep.equal([])
    expect(admit()).to.equal('not-granted')
    expect(running.stillValid()).to.equal(true)
    manual.advance(10)
    running.release()
    expect(table.stillHeld).to.deep.equal([])
    expect(record.toData().held.map(({ from, until }) => until.clock - from.clock)).to.deep.equal([10])
  })

  it('sends no work without a bucket before a renewal, so that a coordinator without a lease has no effect', () => {
    expect(admit({ 'briarsaddle-bucket': '', 'briarsaddle-bucket-token': '' })).to.equal('no-right')
  })
})
