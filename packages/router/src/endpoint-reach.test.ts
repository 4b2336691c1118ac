import { expect } from 'chai'
import { delay, LifeCycle, MonotonicClock, Random } from '@briarsaddle/common'
import type { EndpointEntry } from './endpoint-entry.js'
import { EndpointReach } from './endpoint-reach.js'
import type { EndpointReply } from './endpoint-transport.js'
import { ScriptedEndpoints, type EndpointBehaviour } from './stand-ins/scripted-endpoints.js'

const entry = (id: string, pool = 'ponds'): EndpointEntry => ({ id, pool, host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 2, leaving: false, life: 1, warmUpMilliseconds: 0 })
const request = { requestId: 'r', key: 1, method: 'GET', target: '/', headers: [], body: Buffer.alloc(0), remainingMilliseconds: 1_000 }

describe('EndpointReach', () => {
  const ids = Array.from({ length: 8 }, (_, index) => `e${index}`)
  const directory = new Map([...ids.map(id => [id, entry(id)] as const), ['d1', entry('d1', 'desk')]])
  let lifeCycle: LifeCycle
  let endpoints: ScriptedEndpoints
  let reach: EndpointReach
  let changes: string[]

  beforeEach(() => {
    lifeCycle = new LifeCycle('test')
    endpoints = new ScriptedEndpoints()
    reach = new EndpointReach({ clock: new MonotonicClock(), random: new Random(1), transport: endpoints, directory: () => directory })
    changes = []
    reach.onChange(pool => changes.push(pool))
    reach.start(lifeCycle)
  })

  afterEach(async () => await lifeCycle.close())

  const lose = (lost: readonly string[], behaviour: EndpointBehaviour = 'unreachable'): void => { for (const id of lost) endpoints.behaviours.set(id, behaviour) }
  const send = async (id: string, pool?: string, signal = new AbortController().signal): Promise<EndpointReply> => await reach.send(entry(id, pool), request, signal)

  it('connects to endpoints only after a call has failed, and not again and again while one endpoint is lost', async () => {
    await Promise.all(ids.map(async id => await send(id)))
    await delay(300)
    expect(endpoints.probes).to.equal(0)
    lose(['e1'])
    for (let index = 0; index < 30; index++) {
      await send('e1')
      await delay(10)
    }
    expect(endpoints.probes).to.be.within(1, 10)
    expect(reach.cutOffPools).to.deep.equal([])
    expect(reach.reachedPools).to.deep.equal(['ponds'])
  })

  // Guards against a leader or coordinator that goes on although it reaches no endpoint (RECOVER).
  for (const hangs of [true, false]) {
    it(`finds out within 1.5 s that it is cut off from a pool when requests ${hangs ? 'hang' : 'fail'}, and that it is back`, async () => {
      await send('e1')
      lose(ids, hangs ? 'hangs' : 'unreachable')
      const caller = new AbortController()
      void send('e1', 'ponds', caller.signal)
      await delay(1_500)
      caller.abort()
      expect(reach.isCutOff('ponds')).to.equal(true)
      expect(reach.isCutOff('desk')).to.equal(false)
      await send('d1', 'desk')
      expect(reach.reachedPools).to.deep.equal(['desk'])
      endpoints.behaviours.clear()
      await delay(1_000)
      expect(reach.cutOffPools).to.deep.equal([])
      expect(changes).to.deep.equal(['ponds', 'ponds'])
    })
  }

  // Guards against requests that wait behind others which hang at an endpoint that other VMs reach.
  it('finds out that it does not reach one endpoint while it reaches the others, and that it does again', async () => {
    const unreached: string[] = []
    reach.onUnreached(endpoint => unreached.push(endpoint))
    lose(['e1'], 'hangs')
    const caller = new AbortController()
    void send('e1', 'ponds', caller.signal)
    for (let index = 0; index < 16; index++) {
      await send('e2')
      await delay(50)
    }
    caller.abort()
    expect(unreached).to.deep.equal(['e1'])
    expect(reach.isUnreached(entry('e1'))).to.equal(true)
    expect(reach.isUnreached({ ...entry('e1'), life: 2 })).to.equal(false)
    expect(reach.cutOffPools).to.deep.equal([])
    endpoints.behaviours.clear()
    await delay(700)
    expect(reach.isUnreached(entry('e1'))).to.equal(false)
  })

  // Guards against a change of the leader because many endpoints crashed together.
  it('does not take itself for cut off when most endpoints of a pool are lost, whichever it tries', async () => {
    lose(ids.slice(0, -1))
    const others = Array.from({ length: 60 }, (_, seed) => new EndpointReach({ clock: new MonotonicClock(), random: new Random(seed), transport: endpoints, directory: () => directory }))
    await Promise.all(others.map(async other => await other.send(entry('e1'), request, new AbortController().signal)))
    await delay(700)
    expect(others.filter(other => other.isCutOff('ponds')).length).to.equal(0)
  })

  it('does not take a slow endpoint or a short interruption for a cut', async () => {
    lose(['e1'], 'hangs')
    const caller = new AbortController()
    void send('e1', 'ponds', caller.signal)
    await delay(700)
    expect(reach.isCutOff('ponds')).to.equal(false)
    caller.abort()
    lose(ids)
    await delay(600)
    await send('e2')
    await delay(150)
    endpoints.behaviours.clear()
    await delay(600)
    expect(changes).to.deep.equal([])
  })
})
