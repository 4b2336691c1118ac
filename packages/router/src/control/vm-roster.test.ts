import { expect } from 'chai'
import { ManualClock } from '@briarsaddle/common'
import type { VmEntry } from '@briarsaddle/key-ranges'
import { VmRanks } from './vm-ranks.js'
import { VmRoster, type RosterReport } from './vm-roster.js'

const vm = (id: string, fields: Partial<VmEntry> = {}): VmEntry => ({ id, host: '127.0.0.1', port: 1, dataCentre: 'a', weight: 0.27, ...fields })
const quiet: RosterReport = { watchers: [], leaving: false, cutOffPools: [], reachedPools: [] }
const watchedBy = (...ids: string[]): RosterReport => ({ ...quiet, watchers: ids.map(id => ({ vm: vm(id), openMilliseconds: 100 })) })

describe('VmRoster', () => {
  let clock: ManualClock
  let roster: VmRoster
  const ids = (): readonly string[] => roster.vms.map(({ id }) => id)

  beforeEach(() => {
    clock = new ManualClock()
    roster = new VmRoster(vm('leader'), clock)
  })

  it('lists a whole fleet that watches a few VMs, whatever the number of partitions of the group', () => {
    const fleet = Array.from({ length: 654 }, (_, index) => `vm-${index}`)
    roster.applyRound(new Map([['vm-1', watchedBy(...fleet.slice(300))]]), watchedBy(...fleet.slice(0, 300)))
    expect(roster.vms.length).to.equal(655)
  })

  it('removes a VM that does not answer twice in a row, and one that is stopping at once', () => {
    roster.reset([vm('a'), vm('b'), vm('c')])
    roster.applyRound(new Map([['a', undefined], ['b', { ...quiet, leaving: true }], ['c', quiet]]), quiet)
    expect(ids()).to.deep.equal(['a', 'c', 'leader'])
    roster.applyRound(new Map([['a', undefined], ['c', quiet]]), quiet)
    expect(ids()).to.deep.equal(['c', 'leader'])
  })

  it('keeps a VM that answers in between', () => {
    roster.reset([vm('a'), vm('b'), vm('c')])
    for (const answer of [undefined, quiet, undefined]) roster.applyRound(new Map([['a', answer], ['b', quiet], ['c', quiet]]), quiet)
    expect(ids()).to.include('a')
  })

  it('removes nobody for a while when most VMs are silent, since the leader itself may have been held up', () => {
    roster.reset([vm('a'), vm('b'), vm('c')])
    for (let round = 0; round < 4; round++) roster.applyRound(new Map([['a', undefined], ['b', undefined], ['c', quiet]]), quiet)
    expect(ids()).to.deep.equal(['a', 'b', 'c', 'leader'])
  })

  it('removes nobody when all VMs are silent, since the leader itself is then cut off', () => {
    roster.reset([vm('a'), vm('b'), vm('c')])
    for (let round = 0; round < 20; round++) roster.applyRound(new Map([['a', undefined], ['b', undefined], ['c', undefined]]), quiet)
    expect(ids()).to.deep.equal(['a', 'b', 'c', 'leader'])
  })

  // Any number of VMs may be lost for good. Those that stayed on the list went on being chosen as coordinators.
  it('removes most of the VMs when they are lost for good', () => {
    const lost = Array.from({ length: 12 }, (_, index) => `lost-${index}`)
    roster.reset([...lost, 'a', 'b'].map(id => vm(id)))
    for (let round = 0; round < 5; round++) roster.applyRound(new Map<string, RosterReport | undefined>([...lost.map(id => [id, undefined] as const), ['a', quiet], ['b', quiet]]), quiet)
    expect(ids()).to.deep.equal(['a', 'b', 'leader'])
  })

  // Guards against a leader that reaches no endpoint, and against VMs that take turns at leading when nobody reaches any (RECOVER).
  it('names the pools that a VM is cut off from only while another VM reaches them, and makes it no candidate', () => {
    const cutOff: RosterReport = { ...quiet, cutOffPools: ['ponds'] }
    const reaching: RosterReport = { ...quiet, reachedPools: ['ponds'] }
    roster.reset([vm('a'), vm('b', { dataCentre: 'b' }), vm('c', { dataCentre: 'c' })])
    const named = (): readonly string[] => roster.vms.filter(({ cutFrom }) => cutFrom?.join() === 'ponds').map(({ id }) => id)
    roster.applyRound(new Map([['a', cutOff], ['b', cutOff], ['c', cutOff]]), cutOff)
    expect(named()).to.deep.equal([])
    const before = roster.vms
    roster.applyRound(new Map([['a', cutOff], ['b', reaching], ['c', quiet]]), cutOff)
    expect(roster.vms).not.to.equal(before)
    expect(named()).to.deep.equal(['a', 'leader'])
    const ranks = new VmRanks()
    ranks.update(roster.vms)
    expect(['a', 'b', 'c', 'leader'].filter(id => ranks.isCandidate(id))).to.deep.equal(['b', 'c'])
    expect(['a', 'b', 'c', 'leader'].filter(id => ranks.isCutOff(id))).to.deep.equal(['a', 'leader'])
    ranks.update(roster.vms.map(entry => ({ ...entry, cutFrom: ['ponds'] })))
    expect(ranks.isCutOff('a')).to.equal(false)
    roster.applyRound(new Map([['a', undefined], ['b', reaching], ['c', quiet]]), reaching)
    expect(named()).to.deep.equal(['a'])
    const successor = new VmRoster(vm('b', { dataCentre: 'b' }), clock)
    successor.reset(roster.vms)
    expect(successor.isCutOff('a')).to.equal(true)
    successor.applyRound(new Map([['a', quiet], ['c', quiet]]), reaching)
    expect(successor.vms.some(({ cutFrom }) => cutFrom !== undefined)).to.equal(false)
  })

  // A VM that was lost without a reset stays a watcher of others until the keepalive of its stream fails.
  it('does not add a removed VM again for a stream that is older than its removal, but for a later one', () => {
    roster.reset([vm('a'), vm('b'), vm('c')])
    for (let round = 0; round < 2; round++) roster.applyRound(new Map([['a', undefined], ['b', watchedBy('a')], ['c', quiet]]), quiet)
    expect(ids()).not.to.include('a')
    clock.advance(1_000)
    roster.applyRound(new Map([['b', { ...quiet, watchers: [{ vm: vm('a'), openMilliseconds: 5_000 }] }]]), quiet)
    expect(ids()).not.to.include('a')
    roster.applyRound(new Map([['b', { ...quiet, watchers: [{ vm: vm('a'), openMilliseconds: 300 }] }]]), quiet)
    expect(ids()).to.include('a')
  })

  it('keeps the same list object until something changes, so that nobody computes anew', () => {
    roster.reset([vm('a')])
    const before = roster.vms
    roster.addMembers([vm('a')])
    roster.applyRound(new Map([['a', quiet]]), watchedBy('a'))
    expect(roster.vms).to.equal(before)
  })
})

describe('VmRanks', () => {
  const fleet = ['x', 'y', 'z'].flatMap(dataCentre => Array.from({ length: 13 }, (_, index) => vm(`${dataCentre}-${index}`, { dataCentre, weight: index === 4 ? 0.675 : 0.27 })))
  const ranks = new VmRanks()

  before(() => ranks.update(fleet))

  it('takes the largest VM of each data centre as candidates and relays', () => {
    expect(fleet.filter(({ id }) => ranks.isCandidate(id)).map(({ id }) => id)).to.have.members(['x-4', 'y-4', 'z-4'])
    for (const { id, dataCentre } of fleet) {
      if (!id.endsWith('-4')) expect(ranks.sourcesOf({ id, dataCentre }, 'y-4').slice(0, 1)).to.deep.equal([`${dataCentre}-4`])
    }
  })

  it('lets one VM of each data centre watch the leader, so that a change crosses to a data centre once', () => {
    const crossing = fleet.filter(({ id, dataCentre }) => dataCentre !== 'y' && ranks.sourcesOf({ id, dataCentre }, 'y-4')[0]?.startsWith('y') === true)
    expect(crossing.map(({ id }) => id)).to.deep.equal(['x-4', 'z-4'])
  })

  it('names no VM as its own source, and none that is not on the list', () => {
    for (const { id, dataCentre } of fleet) expect(ranks.sourcesOf({ id, dataCentre }, 'gone')).not.to.include.members([id])
    expect(ranks.sourcesOf({ id: 'x-4', dataCentre: 'x' }, 'gone')).to.have.members(['y-4', 'z-4'])
  })
})
