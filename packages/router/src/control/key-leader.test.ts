import { expect } from 'chai'
import { BriarsaddleError, delay, LifeCycle, MonotonicClock } from '@briarsaddle/common'
import { emptyKeyMap, raiseFences, type Holder, type KeyMap, type Segment, type VmEntry } from '@briarsaddle/key-ranges'
import type { Directory, EndpointEntry } from '../endpoint-entry.js'
import { EndpointTransport, type EndpointReply, type Grant, type GrantReply, type ReleaseReply } from '../endpoint-transport.js'
import { RouterMetrics } from '../router-metrics.js'
import { LeavingEndpoints } from '../leaving-endpoints.js'
import type { RoutingTable } from '../routing-table.js'
import { DemandSource, KeyLeader, type MeasuredDemand } from './key-leader.js'
import { MembershipService, type MembershipReport } from './leadership.js'
import { GroupMember } from './group-member.js'
import { StateTopic, WritableTopic, type TopicState } from './state-topic.js'
import { defaultControlTiming } from './timing.js'
import { TopicFollower } from './topic-follower.js'
import { VmRoster } from './vm-roster.js'

const self: VmEntry = { id: 'vm-1', host: '127.0.0.1', port: 1, dataCentre: 'a' }
const other: VmEntry = { ...self, id: 'vm-2', port: 2 }
const timing = { ...defaultControlTiming, settleMilliseconds: 50, confirmMilliseconds: 50, renewMilliseconds: 60, holdMilliseconds: 400, grantCallMilliseconds: 50, logCallMilliseconds: 100 }

class LeadingService extends MembershipService {
  override async join (): Promise<MembershipReport> { return { generation: 1, leads: true } }
  override async leave (): Promise<void> {}
  override async members (): Promise<readonly VmEntry[]> { return [self] }
}

class FixedTopic<State> extends StateTopic<State> {
  constructor (readonly state: State) { super() }
  override async read (): Promise<TopicState<State>> { return { position: 1, state: this.state } }
  override async next (): Promise<undefined> { return undefined }
}

/** The key map in memory; while `away` is set, reads and writes fail. */
class MapTopic extends WritableTopic<KeyMap> {
  away = false
  /** Writes are applied, but their answers are lost, and the log is unavailable from then on. */
  losesAnswers = false
  /** Called after a write was applied and before its answer. */
  afterWrite = (): void => {}
  writes = 0
  newest: TopicState<KeyMap> = { position: 0, state: emptyKeyMap }

  override async read (): Promise<TopicState<KeyMap>> {
    this.#failWhenAway()
    return this.newest
  }

  override async next (): Promise<undefined> {
    this.#failWhenAway()
    return undefined
  }

  override async write (state: KeyMap, position: number): Promise<number> {
    this.writes++
    this.#failWhenAway()
    if (position !== this.newest.position) throw new BriarsaddleError('another write came first', { code: 'lost_race', step: 'write key map' })
    const written = { position: position + 1, state }
    this.newest = written
    this.afterWrite()
    if (this.losesAnswers) {
      this.away = true
      throw new BriarsaddleError('no answer', { code: 'log_unknown', step: 'write key map' })
    }
    return written.position
  }

  #failWhenAway (): void {
    if (this.away) throw new BriarsaddleError('the log does not answer', { code: 'log_unavailable', step: 'use key map' })
  }
}

class GrantingTransport extends EndpointTransport {
  readonly grants: Array<{ readonly endpoint: string, readonly grant: Grant }> = []
  /** Endpoints that do not answer grants. */
  readonly silent = new Set<string>()
  /** Delays the answers to releases until it resolves. */
  released: Promise<void> = Promise.resolve()
  override async send (): Promise<EndpointReply> { return { kind: 'unreachable' } }
  override async reach (): Promise<boolean> { return true }
  override keepOnly (): void {}
  override async release (): Promise<ReleaseReply> {
    await this.released
    return { kind: 'released', handover: '' }
  }

  override async grant ({ endpoint }: Holder, grant: Grant): Promise<GrantReply> {
    this.grants.push({ endpoint, grant })
    return this.silent.has(endpoint) ? { kind: 'broken' } : { kind: 'granted', connection: 1 }
  }
}

class NoDemand extends DemandSource {
  override async collect (): Promise<ReadonlyMap<string, MeasuredDemand>> { return new Map() }
}

const entry = (id: string): EndpointEntry => ({ id, pool: 'ponds', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 2, leaving: false, life: 1, warmUpMilliseconds: 0 })
const directoryState: Directory = new Map([['a', entry('a')], ['b', entry('b')]])
const table: RoutingTable = { version: 1, routes: [], pools: [{ name: 'ponds', keyed: true, maximumConnections: 100 }] }

describe('KeyLeader', () => {
  const clock = new MonotonicClock()
  let lifeCycle: LifeCycle
  let topic: MapTopic
  let transport: GrantingTransport
  let map: TopicFollower<KeyMap>
  let directory: TopicFollower<Directory>
  let leader: KeyLeader
  let metrics: RouterMetrics

  const follow = <State>(name: string, source: StateTopic<State>): TopicFollower<State> =>
    new TopicFollower({ name, topic: source, clock, waitMilliseconds: 50, pauseMilliseconds: 20, isNewer: (one, before) => one.position > before.position })

  beforeEach(async () => {
    lifeCycle = new LifeCycle('test')
    metrics = new RouterMetrics()
    topic = new MapTopic()
    transport = new GrantingTransport()
    map = follow('key map', topic)
    directory = follow('directory', new FixedTopic(directoryState))
    const routing = follow('routing table', new FixedTopic(table))
    const member = new GroupMember({ self, service: new LeadingService(), clock, confirmEveryMilliseconds: timing.confirmMilliseconds, callMilliseconds: 100, isCandidate: () => true, onRegained: () => {} })
    leader = new KeyLeader({ leaving: new LeavingEndpoints(clock), self, clock, timing, member, topic, map, directory, routing, transport, demand: new NoDemand(), roster: new VmRoster(self, clock), metrics })
    for (const follower of [map, directory, routing]) follower.start(lifeCycle)
    member.start(lifeCycle)
    leader.start(lifeCycle)
    while (map.current?.state.pools.ponds?.every(segment => !segment.moving) !== true) await delay(10)
  })

  afterEach(async () => await lifeCycle.close())

  /** Returns the next key map, written by another VM that took over and moves all keys of endpoint `a` to `b`. */
  function mapOfOther (): KeyMap {
    const raised = raiseFences({ ...topic.newest.state, author: other.id, vms: [other] })
    const ponds = (raised.pools.ponds ?? []).map(segment => segment.owner.endpoint === 'a' ? { ...segment, moving: true, owner: { ...segment.owner, endpoint: 'b' }, former: [segment.owner] } : segment)
    return { ...raised, pools: { ponds } }
  }

  it('sends no grant with the tokens of another leader whose key map it learns from other VMs while it cannot reach the log (a key at two endpoints, and an older token after a newer one)', async () => {
    topic.away = true
    map.offer({ position: topic.newest.position + 1, state: mapOfOther() })
    expect(leader.leading).to.equal(false)
    await delay(timing.grantCallMilliseconds)
    const before = transport.grants.length
    await delay(6 * timing.renewMilliseconds)
    expect(transport.grants.slice(before)).to.deep.equal([])
  })

  // Guards against two owners of a key: until a former leader reads the newer key map, it would renew keys that its successor moves.
  it('sends no grant from when another VM reports a newer key map until it has read that map itself', async () => {
    topic.away = true
    map.observePeerPosition(topic.newest.position + 1)
    await delay(timing.grantCallMilliseconds)
    const before = transport.grants.length
    await delay(6 * timing.renewMilliseconds)
    expect(transport.grants.slice(before)).to.deep.equal([])
    topic.away = false
    while (transport.grants.length === before) await delay(10)
  })

  it('leads again with new tokens of its own when the log is available and it is still the elected leader', async () => {
    const foreign = mapOfOther()
    topic.newest = { position: topic.newest.position + 1, state: foreign }
    map.offer(topic.newest)
    while (!leader.leading) await delay(10)
    expect(map.current?.state).to.include({ author: self.id })
    expect(map.current?.state.fence).to.be.greaterThan(foreign.fence)
  })

  // Guards against keys that no endpoint serves: a new leader that moves keys too soon has to wait for as long as a former leader may
  // renew their grants.
  it('moves no keys after a takeover before their owner has acknowledged a new token', async () => {
    transport.silent.add('a')
    topic.newest = { position: topic.newest.position + 1, state: raiseFences({ ...topic.newest.state, author: other.id }) }
    map.offer(topic.newest)
    while (!leader.leading) await delay(10)
    directory.offer({ position: 2, state: new Map([...directoryState, ['a', { ...entry('a'), leaving: true }]]) })
    await delay(300)
    expect(map.current?.state.pools.ponds?.filter(segment => segment.moving)).to.deep.equal([])
    transport.silent.delete('a')
    while (map.current?.state.pools.ponds?.every(segment => segment.owner.endpoint === 'b' && !segment.moving) !== true) await delay(10)
  })

  function leave (endpoint: string): void {
    directory.offer({ position: (directory.current?.position ?? 0) + 1, state: new Map([...directory.current?.state ?? [], [endpoint, { ...entry(endpoint), leaving: true }]]) })
  }

  // Guards against two owners of a key: a successor that takes over while keys move waits only for grants from before its takeover.
  it('does not renew keys that its own write moves when the write was applied without an answer and the log is unavailable', async () => {
    topic.losesAnswers = true
    leave('a')
    while (!topic.away) await delay(5)
    expect(topic.newest.state.pools.ponds?.some(({ moving, former }) => moving && former.some(({ endpoint }) => endpoint === 'a'))).to.equal(true)
    await delay(timing.grantCallMilliseconds)
    const before = transport.grants.length
    await delay(6 * timing.renewMilliseconds)
    expect(transport.grants.slice(before).filter(({ endpoint }) => endpoint === 'a')).to.deep.equal([])
  })

  // Guards against two owners of a key, like the test before, for the first grant of a move that a later write replaces.
  it('sends no grant for a move that its own later write replaces when that write was applied without an answer and the log is unavailable', async () => {
    let release = (): void => {}
    transport.released = new Promise(resolve => { release = resolve })
    directory.offer({ position: 2, state: new Map([...directoryState, ['c', entry('c')]]) })
    while (map.current?.state.pools.ponds?.some(({ moving, owner }) => moving && owner.endpoint === 'c') !== true) await delay(5)
    topic.losesAnswers = true
    leave('c')
    while (!topic.away) await delay(5)
    expect(topic.newest.state.pools.ponds?.some(({ owner }) => owner.endpoint === 'c')).to.equal(false)
    release()
    await delay(200)
    expect(transport.grants.filter(({ endpoint }) => endpoint === 'c')).to.deep.equal([])
  })

  // Guards against two owners of a key: this VM must not grant the tokens of another leader, even if it learns of them before the
  // answer to its own takeover arrives.
  it('does not lead when another VM has written the key map before the answer to its takeover arrives', async () => {
    topic.newest = { position: topic.newest.position + 1, state: mapOfOther() }
    topic.afterWrite = () => {
      topic.afterWrite = () => {}
      topic.newest = { position: topic.newest.position + 1, state: mapOfOther() }
      map.offer(topic.newest)
      topic.away = true
    }
    map.offer(topic.newest)
    while (!topic.away) await delay(5)
    const before = transport.grants.length
    await delay(6 * timing.renewMilliseconds)
    expect(map.current?.state.author).to.equal(other.id)
    expect(transport.grants.slice(before)).to.deep.equal([])
    expect(leader.leading).to.equal(false)
  })

  it('sends no grant at the end of a handover while another VM is known to have read a newer key map', async () => {
    let release = (): void => {}
    transport.released = new Promise(resolve => { release = resolve })
    directory.offer({ position: 2, state: new Map([...directoryState, ['c', entry('c')]]) })
    while (map.current?.state.pools.ponds?.some(({ moving, owner }) => moving && owner.endpoint === 'c') !== true) await delay(5)
    topic.away = true
    map.observePeerPosition(topic.newest.position + 1)
    release()
    await delay(200)
    expect(transport.grants.filter(({ endpoint }) => endpoint === 'c')).to.deep.equal([])
  })

  // An older version wrote empty ranges. Reading such a map repairs it, but the keys stay without service until a leader writes it.
  it('writes a key map that was repaired while it was read under new tokens', async () => {
    const { position, state } = topic.newest
    const [first, ...rest] = state.pools.ponds as readonly Segment[]
    const doubtful: Segment = { ...first as Segment, moving: true, open: true, former: rest.map(({ owner }) => owner).slice(0, 1) }
    topic.newest = { position: position + 1, state: { ...state, author: other.id, pools: { ponds: [doubtful, ...rest] }, repairs: ['pool ponds: segment 5-4 is empty'] } }
    map.offer(topic.newest)
    while (topic.newest.state.author !== self.id) await delay(10)
    expect(topic.newest.state).not.to.have.property('repairs')
    for (const { fence } of topic.newest.state.pools.ponds ?? []) expect(fence).to.be.greaterThan(state.fence)
  })

  // VMs that did not know the address of a new leader watched each other.
  it('is on the list of VMs from the first key map that it writes', async () => {
    topic.newest = { position: topic.newest.position + 1, state: { ...topic.newest.state, author: other.id, vms: [other] } }
    map.offer(topic.newest)
    const first = await new Promise<KeyMap>(resolve => { topic.afterWrite = () => resolve(topic.newest.state) })
    expect(first.author).to.equal(self.id)
    expect(first.vms.map(({ id }) => id)).to.deep.equal([self.id, other.id])
  })

  it('counts the leaderships that began and ended, with the reason', async () => {
    map.offer({ position: topic.newest.position + 1, state: mapOfOther() })
    const page = await metrics.text()
    expect(page).to.include('briarsaddle_leaderships_total{event="began",reason="take over"} 1')
    expect(page).to.include('briarsaddle_leaderships_total{event="ended",reason="another VM wrote the key map"} 1')
  })
})
