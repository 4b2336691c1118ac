import { expect } from 'chai'
import { LifeCycle, LogSink, MonotonicClock, Random, setLogSink, type LogFields, type LogLevel } from '@briarsaddle/common'
import { emptyKeyMap, encodeKeyMap, type KeyMap } from '@briarsaddle/key-ranges'
import type { PeerPool } from '@briarsaddle/protocol'
import type { RoutingTable } from '../routing-table.js'
import { ControlRelay } from './control-relay.js'
import { StateTopic, type TopicState } from './state-topic.js'
import { TopicFollower } from './topic-follower.js'

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

  after(async () => {
    setLogSink(undefined)
    await lifeCycle.close()
  })

  it('names the VM that answered as peer (as "vm" it replaced the name of the VM that wrote the line)', async () => {
    const log = new RecordedLog()
    setLogSink(log)
    const follow = <State>(): TopicFollower<State> =>
      new TopicFollower<State>({ name: 'state', topic: new AbsentTopic(), clock: new MonotonicClock(), waitMilliseconds: 1, pauseMilliseconds: 1, isNewer: (one, other) => one.position > other.position })
    const peer = { connected: true, fetchControl: async () => ({ keyMapPosition: 3, keyMap: encodeKeyMap(emptyKeyMap), routingVersion: 0, routingTable: '' }) }
    const peers = { vms: ['vm-2'], get: () => peer } as unknown as PeerPool
    const map = follow<KeyMap>()
    new ControlRelay({ peers, map, routing: follow<RoutingTable>(), random: new Random(1) }).start(lifeCycle)
    while (map.current === undefined) await new Promise(resolve => setTimeout(resolve, 10))
    expect(log.lines[0]).to.include({ peer: 'vm-2', position: 3 })
    expect(log.lines[0]).not.to.have.property('vm')
  })
})
