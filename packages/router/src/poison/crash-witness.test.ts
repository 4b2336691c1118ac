import { expect } from 'chai'
import { delay, LoopDelay, MonotonicClock, Random } from '@briarsaddle/common'
import { Forward, Outcome, type Answer } from '@briarsaddle/protocol'
import type { EndpointEntry } from '../endpoint-entry.js'
import { LeavingEndpoints } from '../leaving-endpoints.js'
import { Coordinators } from '../request/coordinators.js'
import { Dispatcher } from '../request/dispatcher.js'
import { RouterMetrics } from '../router-metrics.js'
import { ScriptedEndpoints } from '../stand-ins/scripted-endpoints.js'
import { ScriptedPeers } from '../stand-ins/scripted-peers.js'
import { PoisonList } from './poison-list.js'

const investigationMilliseconds = 4_000
// After a refused connection the witness makes sure that the VM itself is not cut off.
const confirmMilliseconds = 150
const entry = (id: string): EndpointEntry => ({ id, pool: 'desk', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 2, leaving: false, life: 1, warmUpMilliseconds: 0 })
const forward = (endpoint: string, target = '/poison'): Forward => ({ ...Forward.create(), endpoint, pool: 'desk', bucket: -1, target, deadlineMilliseconds: 5_000 })

describe('CrashWitness', function () {
  this.timeout(20_000)
  const clock = new MonotonicClock()
  let endpoints: ScriptedEndpoints
  let directory: Map<string, EndpointEntry>
  let poison: PoisonList
  let coordinators: Coordinators
  let dispatcher: Dispatcher

  beforeEach(() => {
    endpoints = new ScriptedEndpoints()
    endpoints.behaviour = 'breaks'
    endpoints.probeResult = 'refused'
    directory = new Map(['e1', 'e2', 'e3'].map(id => [id, entry(id)]))
    poison = new PoisonList(clock)
    const peers = new ScriptedPeers()
    peers.lost.add('vm-2')
    poison.ensureSalt()
    coordinators = new Coordinators()
    dispatcher = new Dispatcher({ vm: 'vm-1', coordinators, peers, transport: endpoints, directory: () => directory, clock, loopDelay: new LoopDelay(clock), random: new Random(1), metrics: new RouterMetrics(), leaving: new LeavingEndpoints(clock), poison, reach: { isCutOff: () => false, isInDoubt: () => false, doubt: () => {}, isUnreached: () => false } })
  })

  const dispatch = async (id: string, target?: string, signal = new AbortController().signal): Promise<Answer> => await dispatcher.dispatch(entry(id), forward(id, target), signal)

  it('suspects all requests that were in flight at an endpoint whose address refuses connections, also those given up shortly before', async () => {
    endpoints.behaviour = 'hangs'
    const caller = new AbortController()
    const givenUp = dispatch('e1', '/given-up', caller.signal)
    caller.abort()
    await givenUp
    void dispatch('e1', '/in-flight')
    endpoints.behaviour = 'breaks'
    await dispatch('e1')
    await delay(confirmMilliseconds)
    for (const target of ['/poison', '/in-flight', '/given-up']) expect(poison.isSuspect(forward('e1', target)), target).to.equal(true)
    expect(poison.isSuspect(forward('e1', '/other'))).to.equal(false)
  })

  // Guards against requests that are refused because a cut broke the connections to endpoints that live.
  for (const probeResult of ['silent', 'reached'] as const) {
    it(`suspects no request when connections break and the endpoint lives behind a cut: ${probeResult}`, async () => {
      endpoints.probeResult = probeResult
      await Promise.all(['e1', 'e2', 'e3'].map(async id => await dispatch(id)))
      await delay(investigationMilliseconds + 300)
      expect(poison.size).to.equal(0)
      expect(endpoints.probes).to.be.lessThan(200)
    })
  }

  // Guards against a crash that is not counted because an earlier connection to the same endpoint broke for another reason.
  it('notices a crash while it still looks for the reason of an earlier broken connection', async () => {
    endpoints.probeResult = 'reached'
    await dispatch('e1', '/harmless')
    await delay(1_500)
    endpoints.probeResult = 'refused'
    await dispatch('e1')
    await delay(2 * confirmMilliseconds)
    expect(poison.isSuspect(forward('e1'))).to.equal(true)
    expect(poison.isSuspect(forward('e1', '/harmless'))).to.equal(false)
  })

  it('takes a later process or a missing directory entry as proof of a crash', async () => {
    endpoints.probeResult = 'silent'
    await dispatch('e1')
    await dispatch('e2')
    directory.set('e1', { ...entry('e1'), life: 2 })
    directory.delete('e2')
    await delay(300)
    expect(poison.snapshot()[0]?.['crashes']).to.have.length(2)
  })

  // Guards against a crash that nobody counts because the coordinator is lost with the endpoint.
  it('is replaced by the VM that sent the request when the coordinator is lost', async () => {
    coordinators.update([{ id: 'vm-2', host: '127.0.0.1', port: 1, dataCentre: 'a' }])
    expect((await dispatch('e1')).outcome).to.equal(Outcome.OUTCOME_UNKNOWN)
    await delay(confirmMilliseconds)
    expect(poison.isSuspect(forward('e1'))).to.equal(true)
  })

  // Guards against requests that a VM forwards which does not know yet that they crash endpoints.
  it('refuses a forwarded request that crashes endpoints without sending it, once three have crashed', async () => {
    for (const id of ['e1', 'e2', 'e3']) {
      await dispatch(id)
      await delay(confirmMilliseconds)
    }
    await delay(500)
    expect(await dispatcher.accept(forward('e1'), new AbortController().signal)).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'crashes_endpoints' })
    endpoints.behaviour = 'answers'
    expect((await dispatcher.accept(forward('e1', '/harmless'), new AbortController().signal)).outcome).to.equal(Outcome.OUTCOME_ANSWERED)
  })
})
