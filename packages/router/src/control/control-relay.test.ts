import { expect } from 'chai'
import { delay, LifeCycle, LogSink, MonotonicClock, Random, setLogSink, type LogFields, type LogLevel } from '@briarsaddle/common'
import { emptyKeyMap, encodeKeyMap, type KeyMap } from '@briarsaddle/key-ranges'
import type { PeerPool } from '@briarsaddle/protocol'
import type { RoutingTable } from '../routing-table.js'
import { ControlRelay } from './control-relay.js'
import { StateTopic, type TopicState } from './state-topic.js'
import { TopicFollower } from './topic-follower.js'

/** A topic that answers its first read and nothing after it. */
class SilentTopic<State> extends StateTopic<State> {
  constructor (readonly state: State) { super() }
  override async read (): Promise<TopicState<State>> { return { position: 1, state: this.state } }
  override async next (_current: TopicState<State>, _waitMilliseconds: number, signal: AbortSignal): Promise<undefined> {
    await new Promise(resolve => signal.addEventListener('abort', resolve, { once: true }))
    throw new Error('no answer')
  }
}

class AbsentTopic<State> extends StateTopic<State> {
  override async read (): Promise<TopicState<State>> { throw new Error('the log does not answer') }
  override async next (): Promise<undefined> { return undefined }
}

class RecordedLog extends LogSink {
  readonly lines: LogFields[] = []
  override write (_component: string, _level: LogLevel, _message: string, fields: LogFields): void { this.lines.push(fields) }
}

describe('ControlRelay', () => {
  const lifeCycle = new LifeCycle('test')
  const clock = new MonotonicClock()
  const follow = <State>(name: string, topic: StateTopic<State>): TopicFollower<State> =>
    new TopicFollower({ name, topic, clock, waitMilliseconds: 10_000, pauseMilliseconds: 0, isNewer: (one, other) => one.position > other.position })

  after(async () => {
    setLogSink(undefined)
    await lifeCycle.close()
  })

  // Guards against keys that no endpoint serves: a leader stops renewing grants while it is behind, and a read without an answer
  // takes longer to fail than a grant lasts.
  it('fetches a newer key map from another VM while a read of the log gets no answer', async () => {
    const map = follow<KeyMap>('key map', new SilentTopic(emptyKeyMap))
    const routing = follow<RoutingTable>('routing table', new SilentTopic({ version: 1, routes: [], pools: [] }))
    for (const follower of [map, routing]) follower.start(lifeCycle)
    while (!map.connected || !routing.connected) await delay(5)
    const fetchControl = async (): Promise<unknown> => ({ keyMapPosition: 2, keyMap: encodeKeyMap({ ...emptyKeyMap, author: 'vm-2' }), routingVersion: 1, routingTable: '' })
    const peers = { vms: ['vm-2'], get: () => ({ connected: true, fetchControl }) } as unknown as PeerPool
    new ControlRelay({ peers, map, routing, random: new Random(1), isFed: () => false }).start(lifeCycle)
    map.observePeerPosition(2)
    await delay(1_500)
    expect(map.current).to.deep.include({ position: 2 })
    expect(map.behind).to.equal(false)
  })

  it('logs the VM that answered as "peer" (as "vm" it would replace the name of the VM that writes the line)', async () => {
    const log = new RecordedLog()
    setLogSink(log)
    const peer = { connected: true, fetchControl: async () => ({ keyMapPosition: 3, keyMap: encodeKeyMap(emptyKeyMap), routingVersion: 0, routingTable: '' }) }
    const peers = { vms: ['vm-2'], get: () => peer } as unknown as PeerPool
    const map = follow<KeyMap>('key map', new AbsentTopic())
    const routing = follow<RoutingTable>('routing table', new AbsentTopic())
    new ControlRelay({ peers, map, routing, random: new Random(1), isFed: () => false }).start(lifeCycle)
    while (map.current === undefined) await new Promise(resolve => setTimeout(resolve, 10))
    expect(log.lines[0]).to.include({ peer: 'vm-2', position: 3 })
    expect(log.lines[0]).not.to.have.property('vm')
  })
})
