import { expect } from 'chai'
import { ManualClock } from '@briarsaddle/common'
import { Candidacy } from './candidacy.js'

describe('Candidacy', () => {
  let clock: ManualClock
  let withoutSource: number
  let members: Set<string>
  let cutOff: Set<string>
  let leading: boolean

  beforeEach(() => {
    clock = new ManualClock()
    withoutSource = 0
    members = new Set()
    cutOff = new Set()
    leading = false
  })

  const order = ['first', 'second', 'third', 'fourth', 'last']
  const candidacyOf = (vm: string, fields: { readonly mayBegin?: boolean, readonly mustLead?: () => boolean } = {}): Candidacy => new Candidacy({
    vm,
    clock,
    ranks: { rankOf: id => order.includes(id) ? order.indexOf(id) : undefined, isCandidate: id => order.indexOf(id) < 3 && order.includes(id), isCutOff: id => cutOff.has(id) },
    mayBegin: false,
    mustLead: () => false,
    isLeading: () => leading,
    isMember: () => members.has(vm),
    withoutSourceMilliseconds: () => withoutSource,
    ...fields
  })

  it('lets the candidates by rank stand, and others only without a source', () => {
    expect(order.filter(vm => candidacyOf(vm).decide())).to.deep.equal(['first', 'second', 'third'])
    withoutSource = 3_000
    expect(order.filter(vm => candidacyOf(vm).decide())).to.deep.equal(order)
  })

  // After the loss of all VMs each one joined the group at the same time, and each that joined made another one the leader.
  it('lets VMs without a source stand one after the other, in the order of their ranks', () => {
    const since = (vm: string): number => {
      const candidacy = candidacyOf(vm)
      for (withoutSource = 0; !candidacy.decide(); withoutSource += 10) clock.advance(10)
      return withoutSource
    }
    expect(since('fourth')).to.be.greaterThan(1_200)
    expect(since('last') - since('fourth')).to.be.at.least(100)
    expect(since('not on the list')).to.be.greaterThan(since('last'))
  })

  it('keeps a VM in the group for some seconds after it has a source again', () => {
    const candidacy = candidacyOf('last')
    withoutSource = 3_000
    expect(candidacy.decide()).to.equal(true)
    members.add('last')
    withoutSource = 0
    clock.advance(4_900)
    expect(candidacy.decide()).to.equal(true)
    clock.advance(200)
    expect(candidacy.decide()).to.equal(false)
  })

  it('lets a leader of any rank stay until it may hand over, and a seed begin while it is not on the list', () => {
    let mustLead = true
    const leader = candidacyOf('last', { mustLead: () => mustLead })
    expect(leader.decide()).to.equal(true)
    mustLead = false
    expect(leader.decide()).to.equal(false)
    expect(candidacyOf('seed', { mayBegin: true }).decide()).to.equal(true)
  })

  // Guards against keys without an owner while a VM that cannot reach endpoints leads.
  it('lets no VM stand that is cut off from endpoints, not even the leader, until nobody has led for long', () => {
    cutOff.add('first')
    const candidacy = candidacyOf('first')
    leading = true
    withoutSource = 60_000
    expect(candidacy.decide()).to.equal(false)
    leading = false
    expect(candidacy.decide()).to.equal(false)
    clock.advance(2_701)
    expect(candidacy.decide()).to.equal(true)
    withoutSource = 0
    expect(candidacy.decide()).to.equal(false)
  })
})
