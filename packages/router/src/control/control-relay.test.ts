import { expect } from 'chai'
import { delay, LifeCycle, MonotonicClock, Random } from '@briarsaddle/common'
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

describe('ControlRelay', () => {
  const lifeCycle = new LifeCycle('test')
  const clock = new MonotonicClock()
  const follow = <State>(name: string, topic: StateTopic<State>): TopicFollower<State> =>
    new TopicFollower({ name, topic, clock, waitMilliseconds: 10_000, pauseMilliseconds: 0, isNewer: (one, other) => one.position > other.position })

  after(async () => await lifeCycle.close())

  // Guards against keys that are served nowhere: a leader pauses while it is behind, and a read without an answer takes longer than a grant lasts.
  it('asks another VM for a key map that this one has only heard of, while a read of the log gets no answer', async () => {
    const map = follow<KeyMap>('key map', new SilentTopic(emptyKeyMap))
    const routing = follow<RoutingTable>('routing table', new SilentTopic({ version: 1, routes: [], pools: [] }))
    for (const follower of [map, routing]) follower.start(lifeCycle)
    while (!map.connected || !routing.connected) await delay(5)
    const fetchControl = async (): Promise<unknown> => ({ keyMapPosition: 2, keyMap: encodeKeyMap({ ...emptyKeyMap, author: 'vm-2' }), routingVersion: 1, routingTable: '' })
    const peers = { vms: ['vm-2'], get: () => ({ connected: true, fetchControl }) } as unknown as PeerPool
    new ControlRelay({ peers, map, routing, random: new Random(1) }).start(lifeCycle)
    map.heardOf(2)
    await delay(1_500)
    expect(map.current).to.deep.include({ position: 2 })
    expect(map.behind).to.equal(false)
  })
})
