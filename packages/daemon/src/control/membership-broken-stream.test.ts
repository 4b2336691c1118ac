import { expect } from 'chai'
import { delay, LifeCycle, MonotonicClock } from '@briarsaddle/common'
import { KeyHasher } from '@briarsaddle/ownership'
import { VmListClient, type ListedVm } from '@briarsaddle/platform'
import type { PeerPool } from '@briarsaddle/protocol'
import { Membership } from './membership.js'

class TwoVms extends VmListClient {
  override async fetch (): Promise<readonly ListedVm[]> {
    return ['vm-1', 'vm-2'].map(id => ({ id, role: 'entry', dataCentre: 'a', host: '127.0.0.1', port: 1, state: 'live' }))
  }
}

/** The connection to the other VM, as far as membership uses it. */
class TestPeer {
  streamOpen = true
  answersFresh = true
  freshChecks = 0
  get silentMilliseconds (): number { return this.streamOpen ? 0 : Infinity }

  async heartbeat (): Promise<{ readonly leaving: boolean }> {
    if (!this.streamOpen) throw new Error('no stream')
    return { leaving: false }
  }

  async freshHeartbeat (): Promise<void> {
    this.freshChecks += 1
    if (!this.answersFresh) throw new Error('refused')
  }
}

describe('Membership, after the stream of a VM has ended', () => {
  const timing = { heartbeatMilliseconds: 20, suspectMilliseconds: 1000, vmListMilliseconds: 1000 }
  let suspicionBegan: () => void
  let peer: TestPeer
  let membership: Membership
  let lifeCycle: LifeCycle

  beforeEach(async () => {
    peer = new TestPeer()
    suspicionBegan = () => {}
    lifeCycle = new LifeCycle('test')
    const peers = { get: () => peer, update: () => {} } as unknown as PeerPool
    membership = new Membership({ self: { id: 'vm-1', dataCentre: 'a' }, list: new TwoVms(), peers, hasher: await KeyHasher.create(), clock: new MonotonicClock(), timing, position: () => 0, changed: () => {}, suspicionBegan: () => suspicionBegan() })
    await membership.start(lifeCycle)
    await delay(50)
  })

  afterEach(async () => await lifeCycle.close())

  it('suspects a VM that closed its stream and refuses new connections before suspectMilliseconds have passed, as a killed process does', async () => {
    peer.streamOpen = false
    peer.answersFresh = false
    await delay(300)
    expect([...membership.suspected]).to.deep.equal(['vm-2'])
    expect(peer.freshChecks).to.equal(2)
  })

  it('checks a VM at once when its stream has ended, and again one interval later, without waiting for the next heartbeat', async () => {
    const suspicion = new Promise<number>(resolve => { suspicionBegan = () => resolve(performance.now()) })
    peer.streamOpen = false
    peer.answersFresh = false
    const endedAt = performance.now()
    membership.streamEnded('vm-2')
    expect(peer.freshChecks).to.equal(1)
    expect(await suspicion - endedAt).to.be.at.least(timing.heartbeatMilliseconds)
    expect(peer.freshChecks).to.equal(2)
  })

  it('does not suspect a VM whose stream broke but that responds over a new connection, so that a lost connection is not taken for a lost VM', async () => {
    peer.streamOpen = false
    await delay(300)
    expect([...membership.suspected]).to.deep.equal([])
    expect(peer.freshChecks).to.be.greaterThan(1)
  })

  it('does not suspect a VM before suspectMilliseconds have passed while its stream is open, so that a short delay has no effect', async () => {
    peer.answersFresh = false
    await delay(300)
    expect(peer.freshChecks).to.equal(0)
    expect([...membership.suspected]).to.deep.equal([])
  })
})
