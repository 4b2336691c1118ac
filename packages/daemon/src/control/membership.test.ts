import { expect } from 'chai'
import { delay, LifeCycle, ManualClock, MonotonicClock } from '@briarsaddle/common'
import { KeyHasher } from '@briarsaddle/ownership'
import { VmListClient, type ListedVm } from '@briarsaddle/platform'
import type { PeerPool } from '@briarsaddle/protocol'
import { Membership } from './membership.js'

class TestList extends VmListClient {
  listed: readonly ListedVm[] = []

  override async fetch (): Promise<readonly ListedVm[]> { return this.listed }
}

/** A peer that responds to no heartbeat. */
class SilentPeer {
  silentMilliseconds = Infinity
  /** Real time in milliseconds until a new connection fails. The test's clock advances in the meantime. */
  freshMilliseconds = 0
  reachable = false

  async heartbeat (): Promise<never> { throw new Error('no answer') }

  async freshHeartbeat (): Promise<void> {
    await delay(this.freshMilliseconds)
    if (!this.reachable) throw new Error('no answer')
  }
}

describe('Membership', () => {
  const timing = { heartbeatMilliseconds: 20, suspectMilliseconds: 300, vmListMilliseconds: 40 }
  const self = { id: 'vm-1', dataCentre: 'a' }
  let clock: ManualClock
  let lifeCycle: LifeCycle
  let list: TestList
  let peer: SilentPeer
  let events: string[]
  let membership: Membership

  function entry (id: string): ListedVm {
    return { id, role: 'entry', dataCentre: 'b', host: '127.0.0.1', port: 1, state: 'live' }
  }

  beforeEach(async () => {
    clock = new ManualClock()
    lifeCycle = new LifeCycle('test')
    list = new TestList()
    list.listed = [entry('vm-1'), entry('vm-2')]
    peer = new SilentPeer()
    events = []
    membership = new Membership({
      self,
      list,
      peers: { get: () => peer, update: () => {} } as unknown as PeerPool,
      hasher: await KeyHasher.create(),
      clock,
      timing,
      position: () => 1,
      changed: () => events.push('changed'),
      suspicionBegan: () => events.push('suspicion')
    })
    await membership.start(lifeCycle)
  })

  afterEach(async () => await lifeCycle.close())

  /** Advances the clock in steps that are too short to look like a pause of the process. */
  async function pass (milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      clock.advance(50)
      // Time for two heartbeats, so that the clock does not advance without one.
      await delay(50)
    }
  }

  it('suspects a VM that responds neither on its stream nor over a new connection and reports it at once, so that a lost VM is replaced in time', async () => {
    await pass(200)
    expect(membership.suspected.size).to.equal(0)
    await pass(250)
    expect([...membership.suspected]).to.deep.equal(['vm-2'])
    expect(events).to.include('suspicion')
  })

  it('suspects a VM that does not respond although its own heartbeats arrive, so that a one-way failure towards a coordinator is detected', async () => {
    for (let step = 0; step < 9; step++) {
      membership.answerHeartbeat({ vm: 'vm-2', instance: 'two', position: 1 })
      await pass(50)
    }
    expect([...membership.suspected]).to.deep.equal(['vm-2'])
    membership.answerHeartbeat({ vm: 'vm-2', instance: 'two', position: 1 })
    await delay(50)
    expect([...membership.suspected]).to.deep.equal(['vm-2'])
  })

  it('checks a suspected VM at once when its heartbeat arrives, so that a VM that has recovered gets work again', async () => {
    await pass(450)
    expect([...membership.suspected]).to.deep.equal(['vm-2'])
    peer.reachable = true
    membership.answerHeartbeat({ vm: 'vm-2', instance: 'two', position: 1 })
    await delay(10)
    expect(membership.suspected.size).to.equal(0)
  })

  it('does not suspect a VM whose frames arrive during the check, so that a busy VM is not taken for a lost one', async () => {
    peer.silentMilliseconds = 10
    peer.freshMilliseconds = 60
    await pass(800)
    expect(membership.suspected.size).to.equal(0)
  })

  it('starts the check of a silent VM as soon as it is due, so that the suspicion does not wait for the next heartbeat', async () => {
    const slow = new Membership({
      self,
      list,
      peers: { get: () => slowPeer, update: () => {} } as unknown as PeerPool,
      hasher: await KeyHasher.create(),
      clock: new MonotonicClock(),
      timing: { ...timing, heartbeatMilliseconds: 200, suspectMilliseconds: 450 },
      position: () => 1,
      changed: () => {},
      suspicionBegan: () => {}
    })
    const calls: string[] = []
    const slowPeer = {
      silentMilliseconds: 1_000,
      heartbeat: async () => {
        calls.push('heartbeat')
        if (calls.length === 1) return { leaving: false }
        await delay(150)
        throw new Error('no answer')
      },
      freshHeartbeat: async () => {
        calls.push('check')
        throw new Error('no answer')
      }
    }
    await slow.start(lifeCycle)
    while (slow.suspected.size === 0) await delay(5)
    // The check is due 300 ms after the first heartbeat and fails after 450 ms; the third heartbeat is sent after 400 ms.
    expect(calls).to.deep.equal(['heartbeat', 'heartbeat', 'check', 'heartbeat'])
  })

  it('does not count frames from before the check, so that a lost VM is not suspected later under traffic', async () => {
    peer.silentMilliseconds = 250
    peer.freshMilliseconds = 60
    await pass(600)
    expect([...membership.suspected]).to.deep.equal(['vm-2'])
  })

  it('reports the VM list only when it has changed, so that no change is missed and unchanged polls cause no work', async () => {
    events.length = 0
    await delay(150)
    expect(events).to.deep.equal([])
    list.listed = [entry('vm-1'), entry('vm-2'), entry('vm-3')]
    await delay(150)
    expect(events).to.deep.equal(['changed'])
    expect(membership.vms.map(({ id }) => id)).to.include('vm-3')
  })

  it('counts the time a VM is missing from its last listing, even if the list was unchanged for long before, so that it is not replaced too early', async () => {
    await pass(1000)
    list.listed = [entry('vm-1')]
    await delay(150)
    expect(membership.missingFor('vm-2')).to.be.lessThan(200)
    clock.advance(500)
    expect(membership.missingFor('vm-2')).to.be.within(500, 700)
  })
})
