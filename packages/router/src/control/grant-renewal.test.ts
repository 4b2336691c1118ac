import { expect } from 'chai'
import { delay, MonotonicClock } from '@briarsaddle/common'
import { GrantLedger, type Holder, type Segment } from '@briarsaddle/key-ranges'
import { EndpointTransport, type EndpointReply, type GrantReply, type ReleaseReply } from '../endpoint-transport.js'
import { GrantRenewal } from './grant-renewal.js'
import { defaultControlTiming } from './timing.js'

const answerMilliseconds = 5

/** Endpoints that answer after a few milliseconds, or not within the timeout of a call. */
class SlowTransport extends EndpointTransport {
  readonly granted: string[] = []
  readonly silent = new Set<string>()
  inFlight = 0
  mostInFlight = 0
  override async send (): Promise<EndpointReply> { return { kind: 'unreachable' } }
  override async reach (): Promise<boolean> { return true }
  override keepOnly (): void {}
  override async release (): Promise<ReleaseReply> { return { kind: 'released', handover: '' } }
  override async grant ({ endpoint }: Holder): Promise<GrantReply> {
    this.inFlight++
    this.mostInFlight = Math.max(this.mostInFlight, this.inFlight)
    await delay(this.silent.has(endpoint) ? defaultControlTiming.grantCallMilliseconds : answerMilliseconds)
    this.inFlight--
    if (this.silent.has(endpoint)) return { kind: 'broken' }
    this.granted.push(endpoint)
    return { kind: 'granted', connection: 1 }
  }
}

describe('GrantRenewal', () => {
  const clock = new MonotonicClock()
  const segments: readonly Segment[] = Array.from({ length: 240 }, (_, index) => ({
    from: index * 10, to: index * 10 + 9, owner: { endpoint: `e${index}`, life: 1, address: '127.0.0.1:1' }, fence: 1, moving: false, former: [], handover: ''
  }))
  let transport: SlowTransport
  let renewal: GrantRenewal
  let mayRenew: boolean

  beforeEach(() => {
    transport = new SlowTransport()
    mayRenew = true
    const timing = defaultControlTiming
    const ledger = new GrantLedger({
      clock, holdMilliseconds: timing.holdMilliseconds, clockSlack: timing.clockSlack, transitMilliseconds: timing.grantCallMilliseconds, staleLeaderMilliseconds: timing.staleLeaderMilliseconds
    })
    renewal = new GrantRenewal({ clock, timing, transport, ledger, mayRenew: () => mayRenew })
  })

  // Guards against living endpoints that lose their keys: a VM with a third of a core becomes the leader of hundreds of endpoints,
  // all of their grants are due at once, and it reads the answers too late.
  it('sends few grants at a time, and all that are due without another tick (endpoints treated as lost because the leader was overloaded)', async () => {
    renewal.renewDue({ ponds: segments })
    expect(transport.inFlight).to.be.at.most(40)
    await delay(300)
    expect(transport.granted.length).to.equal(segments.length)
    expect(transport.mostInFlight).to.be.at.most(40)
  })

  it('renews the grants of the other endpoints while many do not answer', async () => {
    for (const { owner } of segments.slice(0, 120)) transport.silent.add(owner.endpoint)
    const until = clock.now() + defaultControlTiming.holdMilliseconds - defaultControlTiming.renewMilliseconds
    const answering = new Set(segments.slice(120).map(({ owner }) => owner.endpoint))
    while (clock.now() < until && ![...answering].every(endpoint => transport.granted.includes(endpoint))) {
      renewal.renewDue({ ponds: segments })
      await delay(100)
    }
    expect(transport.granted).to.include.members([...answering])
  })

  it('sends no queued renewal after the keys were assigned to another owner', async () => {
    renewal.renewDue({ ponds: segments })
    mayRenew = false
    await delay(100)
    expect(transport.granted.length).to.be.at.most(40)
  })
})
