import { expect } from 'chai'
import { ManualClock } from '@briarsaddle/common'
import { PoisonList } from './poison-list.js'
import type { RequestContent } from './request-fingerprint.js'

const acquittalMilliseconds = 500
const endpoint = (number: number): { readonly id: string, readonly life: number } => ({ id: `e${number}`, life: 1 })
const request = (target: string, fields: Partial<RequestContent> = {}): RequestContent => ({ pool: 'ponds', method: 'GET', target, bucket: 7, headers: [{ name: 'Host', value: 'clubs.example' }], body: Buffer.alloc(0), ...fields })

describe('PoisonList', () => {
  let clock: ManualClock
  let list: PoisonList

  beforeEach(() => {
    clock = new ManualClock()
    list = new PoisonList(clock)
    list.ensureSalt()
  })

  /** Crashes as many endpoints under a request, one after the other. */
  function crash (content: RequestContent, count: number, into = list): void {
    for (let number = 0; number < count; number++) into.recordCrash(content, endpoint(number), into.isSuspect(content))
  }

  // Guards against a request that crashes server after server, with a new id each time (BUDGET).
  it('refuses a request that has crashed three endpoints, and no other one', () => {
    crash(request('/deadly'), 2)
    clock.advance(acquittalMilliseconds)
    expect(list.refusedFor(request('/deadly'))).to.equal(undefined)
    list.recordCrash(request('/deadly'), endpoint(2), true)
    clock.advance(acquittalMilliseconds)
    expect(list.refusedFor(request('/deadly'))).to.be.greaterThan(0)
    const others = [request('/harmless'), request('/deadly', { body: Buffer.from('x') }), request('/deadly', { bucket: 8 }), request('/deadly', { headers: [{ name: 'Host', value: 'clubs.example' }, { name: 'Cookie', value: 'other caller' }] })]
    for (const other of others) expect(list.refusedFor(other)).to.equal(undefined)
  })

  // Guards against a busy, harmless path that is refused because it was in flight at each crash under another request.
  it('does not refuse a request that is answered between crashes, or within half a second of the third', () => {
    crash(request('/busy'), 2)
    list.acquit(request('/busy'))
    list.recordCrash(request('/busy'), endpoint(2), true)
    list.recordCrash(request('/busy'), endpoint(3), true)
    clock.advance(acquittalMilliseconds)
    expect(list.refusedFor(request('/busy'))).to.equal(undefined)
    list.recordCrash(request('/busy'), endpoint(4), true)
    clock.advance(acquittalMilliseconds - 1)
    expect(list.refusedFor(request('/busy'))).to.equal(undefined)
    list.acquit(request('/busy'))
    clock.advance(acquittalMilliseconds)
    expect(list.refusedFor(request('/busy'))).to.equal(undefined)
  })

  // Guards against requests that are refused because several servers crashed by themselves at the same time.
  it('does not refuse a request that was in flight at many endpoints which crashed together', () => {
    for (let number = 0; number < 10; number++) list.recordCrash(request('/busy'), endpoint(number), false)
    clock.advance(acquittalMilliseconds)
    expect(list.refusedFor(request('/busy'))).to.equal(undefined)
  })

  it('counts a crash once that several VMs report, in whatever order lists are merged', () => {
    const other = new PoisonList(clock)
    other.merge(list.encode())
    crash(request('/deadly'), 2)
    for (let round = 0; round < 3; round++) {
      other.merge(list.encode())
      list.merge(other.encode())
      list.recordCrash(request('/deadly'), endpoint(1), true)
    }
    clock.advance(acquittalMilliseconds)
    expect(other.refusedFor(request('/deadly'))).to.equal(undefined)
    other.recordCrash(request('/deadly'), endpoint(2), true)
    list.merge(other.encodeRecent())
    const { version } = list
    list.merge(other.encode())
    expect(list.version).to.equal(version)
    clock.advance(acquittalMilliseconds)
    expect(list.refusedFor(request('/deadly'))).to.be.greaterThan(0)
  })

  it('refuses at once on a VM that learns of crashes long after they happened', () => {
    crash(request('/deadly'), 3)
    clock.advance(10_000)
    const later = new PoisonList(clock)
    later.merge(list.encode())
    expect(later.refusedFor(request('/deadly'))).to.be.greaterThan(0)
  })

  it('refuses at once after one further crash when the refusal has ended, and not after an operator has lifted it', () => {
    crash(request('/deadly'), 3)
    clock.advance(60 * 60_000)
    expect(list.refusedFor(request('/deadly'))).to.equal(undefined)
    list.recordCrash(request('/deadly'), endpoint(3), true)
    expect(list.refusedFor(request('/deadly'))).to.be.greaterThan(0)
    const [known] = list.snapshot()
    expect(list.lift(String(known?.['fingerprint']))).to.equal(true)
    expect(list.refusedFor(request('/deadly'))).to.equal(undefined)
    expect(list.lift('unknown')).to.equal(false)
  })

  // Guards against memory and messages that grow with the number of different requests that somebody sends.
  it('stays small with any number of requests, keeps those that are refused, and forgets the others', () => {
    crash(request('/deadly'), 3)
    for (let number = 0; number < 5_000; number++) {
      clock.advance(10)
      list.recordCrash(request(`/${number}${'x'.repeat(1_000)}`), endpoint(10), false)
    }
    expect(list.size).to.equal(256)
    expect(list.encode().length).to.be.lessThan(256 * 600)
    expect(list.refusedFor(request('/deadly'))).to.be.greaterThan(0)
    clock.advance(10 * 60_000 + 1)
    list.recordCrash(request('/last'), endpoint(11), false)
    expect(list.size).to.equal(2)
  })

  // Guards against a list that cannot be written because a record of the log has at most 262,144 bytes.
  it('fits into a record of the log when it is full, and still renews refusals', () => {
    const targets = Array.from({ length: 256 }, (_, number) => `/"${number}${'x'.repeat(1_000)}`)
    for (const target of targets) crash(request(target, { pool: 'p'.repeat(60) }), 20)
    expect(list.size).to.equal(256)
    expect(list.encode().length).to.be.lessThan(262_144)
    const other = new PoisonList(clock)
    other.merge(list.encode())
    const last = request(targets[255] as string, { pool: 'p'.repeat(60) })
    clock.advance(60 * 60_000)
    expect(list.refusedFor(last)).to.equal(undefined)
    list.recordCrash(last, endpoint(99), true)
    other.merge(list.encode())
    for (const each of [list, other]) expect(each.refusedFor(last)).to.be.greaterThan(0)
  })

  it('does not pass requests to and fro between two VMs with full lists', () => {
    const other = new PoisonList(clock)
    other.merge(list.encode())
    for (let number = 0; number < 300; number++) {
      list.recordCrash(request(`/a${number}`), endpoint(1), false)
      other.recordCrash(request(`/b${number}`), endpoint(1), false)
    }
    for (let round = 0; round < 3; round++) {
      other.merge(list.encode())
      list.merge(other.encode())
    }
    const versions = [list.version, other.version]
    other.merge(list.encode())
    list.merge(other.encode())
    expect([list.version, other.version]).to.deep.equal(versions)
  })

  it('goes on with one salt after two VMs have created one each, and ignores what it cannot read', () => {
    const other = new PoisonList(clock)
    other.ensureSalt()
    other.merge(list.encode())
    list.merge(other.encode())
    crash(request('/deadly'), 3)
    other.merge(list.encode())
    for (const text of ['', 'x', '{}', '{"salt":"","requests":[]}']) other.merge(text)
    clock.advance(acquittalMilliseconds)
    expect(other.refusedFor(request('/deadly'))).to.be.greaterThan(0)
  })
})
