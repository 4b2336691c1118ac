import { expect } from 'chai'
import { delay, LoopDelay, MonotonicClock, Random } from '@briarsaddle/common'
import { Forward, Outcome, type Answer } from '@briarsaddle/protocol'
import type { VmEntry } from '@briarsaddle/key-ranges'
import type { EndpointEntry } from '../endpoint-entry.js'
import { LeavingEndpoints } from '../leaving-endpoints.js'
import { PoisonList } from '../poison/poison-list.js'
import { RouterMetrics } from '../router-metrics.js'
import { ScriptedEndpoints } from '../stand-ins/scripted-endpoints.js'
import { ScriptedPeers } from '../stand-ins/scripted-peers.js'
import { Coordinators } from './coordinators.js'
import { Dispatcher } from './dispatcher.js'

const entry: EndpointEntry = { id: 'e1', pool: 'ponds', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 2, leaving: false, life: 1, warmUpMilliseconds: 0 }
const forward: Forward = { ...Forward.create(), endpoint: 'e1', pool: 'ponds', bucket: 7, deadlineMilliseconds: 1_000, objectiveMilliseconds: 500 }
const vms: readonly VmEntry[] = ['vm-1', 'vm-2', 'vm-3', 'vm-4'].map(id => ({ id, host: '127.0.0.1', port: 1, dataCentre: 'a' }))

describe('Ways round a coordinator', () => {
  const clock = new MonotonicClock()
  let peers: ScriptedPeers
  let coordinators: Coordinators
  let cutOff: boolean
  let unreached: boolean
  let endpoints: ScriptedEndpoints
  let order: string[]

  function dispatcherOf (vm: string): Dispatcher {
    return new Dispatcher({ vm, coordinators, peers, transport: endpoints, directory: () => new Map([['e1', entry]]), clock, loopDelay: new LoopDelay(clock), random: new Random(1), metrics: new RouterMetrics(), leaving: new LeavingEndpoints(clock), poison: new PoisonList(clock), reach: { isCutOff: () => cutOff, isInDoubt: () => cutOff, doubt: () => {}, isUnreached: () => unreached } })
  }

  const dispatch = async (dispatcher: Dispatcher): Promise<Answer> => await dispatcher.dispatch(entry, forward, new AbortController().signal)

  beforeEach(() => {
    cutOff = unreached = false
    endpoints = new ScriptedEndpoints()
    endpoints.behaviour = 'unreachable'
    peers = new ScriptedPeers()
    coordinators = new Coordinators()
    coordinators.update(vms)
    order = []
    for (let avoided = new Set<string>(); order.length < vms.length; avoided = new Set(order)) order.push(coordinators.of(entry, vm => avoided.has(vm)) as string)
  })

  // Guards against requests that fail on all VMs because the coordinator of their endpoint is cut off from it.
  it('asks the next VMs when coordinators are cut off from the pool, and these at once from then on', async () => {
    const dispatcher = dispatcherOf(order[3] as string)
    peers.refusals.set(order[0] as string, 'endpoints_out_of_reach').set(order[1] as string, 'endpoints_out_of_reach')
    expect((await dispatch(dispatcher)).status).to.equal(200)
    expect((await dispatch(dispatcher)).status).to.equal(200)
    expect(peers.asked).to.deep.equal([order[0], order[1], order[2], order[2]])
    peers.refusals.clear()
    await delay(2_050)
    await dispatch(dispatcher)
    expect(peers.asked.at(-1)).to.equal(order[0])
  })

  it('sends nothing to an endpoint by itself while it is cut off, and refuses what others forward', async () => {
    cutOff = true
    const dispatcher = dispatcherOf(order[0] as string)
    expect((await dispatch(dispatcher)).status).to.equal(200)
    expect(peers.asked).to.deep.equal([order[1]])
    expect((await dispatcher.accept(forward, new AbortController().signal)).reason).to.equal('endpoints_out_of_reach')
  })

  it('tries other VMs when an endpoint is out of reach, and none for a while when no VM reaches it', async () => {
    const dispatcher = dispatcherOf(order[3] as string)
    for (const vm of order) peers.refusals.set(vm, 'endpoint_unreachable')
    for (let index = 0; index < 5; index++) expect((await dispatch(dispatcher)).reason).to.equal('endpoint_unreachable')
    // The second request finds out that this VM, the last one, does not reach the endpoint either.
    expect(peers.asked).to.deep.equal([order[0], order[1], order[2], order[0], order[0], order[0]])
    peers.asked.splice(0)
    await delay(1_050)
    peers.refusals.delete(order[2] as string)
    for (let index = 0; index < 3; index++) expect((await dispatch(dispatcher)).status).to.equal(200)
    expect(peers.asked).to.deep.equal([order[0], order[1], order[2], order[2], order[2]])
  })

  // Guards against requests that wait behind others which hang at an endpoint that this VM does not reach, until their deadlines pass.
  it('gives up what waits for an endpoint that it does not reach, so that senders use another VM', async () => {
    const dispatcher = dispatcherOf(order[0] as string)
    endpoints.behaviour = 'hangs'
    const accept = async (idempotent: boolean): Promise<Answer> => await dispatcher.accept({ ...forward, idempotent }, new AbortController().signal)
    const answers = [accept(true), accept(false), accept(true), accept(false)]
    await delay(50)
    unreached = true
    dispatcher.unreached('e1')
    const startedAt = performance.now()
    const [repeatable, , ...queued] = answers as [Promise<Answer>, Promise<Answer>, ...Array<Promise<Answer>>]
    expect((await repeatable).outcome).to.equal(Outcome.OUTCOME_UNKNOWN)
    for (const answer of queued) expect(await answer).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'endpoint_unreachable' })
    expect((await accept(false)).reason).to.equal('endpoint_unreachable')
    expect((await dispatch(dispatcher)).status).to.equal(200)
    expect(performance.now() - startedAt).to.be.lessThan(300)
    // This one may run.
    expect(await Promise.race([answers[1], delay(100)])).to.equal(undefined)
  })

  it('ends after a few VMs when all are cut off, and leaves VMs out that the list names', async () => {
    const dispatcher = dispatcherOf(order[3] as string)
    for (const vm of order) peers.refusals.set(vm, 'endpoints_out_of_reach')
    expect((await dispatch(dispatcher)).outcome).to.equal(Outcome.OUTCOME_NOT_RUN)
    expect(peers.asked.length).to.be.at.most(4)
    coordinators.update(vms.map(vm => vm.id === order[0] ? { ...vm, cutFrom: ['ponds'] } : vm))
    expect(coordinators.of(entry)).to.equal(order[1])
    expect(coordinators.of({ ...entry, pool: 'desk' })).to.equal(order[0])
    coordinators.update(vms.map(vm => ({ ...vm, cutFrom: ['ponds'] })))
    expect(coordinators.of(entry)).to.equal(order[0])
  })
})
