import { expect } from 'chai'
import { delay, LoopDelay, ManualClock, MonotonicClock, Random } from '@briarsaddle/common'
import { Answer, Forward, notRunAnswer, Outcome } from '@briarsaddle/protocol'
import type { EndpointEntry } from '../endpoint-entry.js'
import { EndpointTransport, type EndpointReply, type GrantReply, type ReleaseReply, type ReportedLimit } from '../endpoint-transport.js'
import { LeavingEndpoints } from '../leaving-endpoints.js'
import { RouterMetrics } from '../router-metrics.js'
import { PoisonList } from '../poison/poison-list.js'
import { Coordinators } from './coordinators.js'
import { Dispatcher, PeerForwarder } from './dispatcher.js'

/** Answers the requests that it received when the test says so, in any order. */
class ControlledEndpoint extends EndpointTransport {
  readonly received: Array<(limit: ReportedLimit, kind?: 'answered' | 'refused') => void> = []
  /** Whether its answers say that it leaves. */
  leaving = false

  override async send (): Promise<EndpointReply> {
    return await new Promise(resolve => this.received.push((limit, kind = 'answered') => resolve(kind === 'answered'
      ? { kind, status: 200, headers: [], body: Buffer.from('ok'), lengthKnown: true, load: undefined, limit, leaving: this.leaving }
      : { kind, reason: 'endpoint_full', load: undefined, limit, leaving: this.leaving })))
  }

  override async grant (): Promise<GrantReply> { return { kind: 'granted', connection: 1 } }
  override async release (): Promise<ReleaseReply> { return { kind: 'released', handover: '' } }
  override async reach (): Promise<boolean> { return true }
  override keepOnly (): void {}
}

class ScriptedPeer extends PeerForwarder {
  answer: Answer = notRunAnswer('peer_unreachable')
  override async forward (): Promise<Answer> { return this.answer }
}

const entry: EndpointEntry = { id: 'e1', pool: 'ponds', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 4, leaving: false, life: 1, warmUpMilliseconds: 0 }
const vm = { host: '127.0.0.1', port: 1, dataCentre: 'a' }
const forward: Forward = { ...Forward.create(), endpoint: 'e1', pool: 'ponds', bucket: 7, deadlineMilliseconds: 5_000, objectiveMilliseconds: 500 }

describe('The limit that an endpoint names', () => {
  let clock: ManualClock
  let endpoint: ControlledEndpoint
  let peer: ScriptedPeer
  let dispatcher: Dispatcher

  function start (coordinator: string): void {
    clock = new ManualClock()
    endpoint = new ControlledEndpoint()
    peer = new ScriptedPeer()
    const coordinators = new Coordinators()
    coordinators.update([{ ...vm, id: coordinator }])
    dispatcher = new Dispatcher({ vm: 'vm-1', coordinators, peers: peer, transport: endpoint, directory: () => new Map([['e1', entry]]), clock, loopDelay: new LoopDelay(clock), random: new Random(1), metrics: new RouterMetrics(), leaving: new LeavingEndpoints(clock), poison: new PoisonList(clock), reach: { isCutOff: () => false, isInDoubt: () => false, doubt: () => {}, isUnreached: () => false } })
  }

  async function send (): Promise<Answer> {
    return await dispatcher.dispatch(entry, forward, new AbortController().signal)
  }

  const limit = (): number | undefined => dispatcher.gates.get('e1')?.limit

  // Guards against a limit that is lifted by an answer which the endpoint gave before it named the limit.
  it('is lifted by the answer to a later request only, and not by a refusal', async () => {
    start('vm-1')
    for (let index = 0; index < 3; index++) {
      void send()
      clock.advance(10)
    }
    const answer = async (index: number, ...args: Parameters<ControlledEndpoint['received'][0]>): Promise<void> => {
      endpoint.received[index]?.(...args)
      await delay(0)
    }
    await answer(0, 2)
    expect(limit()).to.equal(2)
    await answer(1, 'none')
    await answer(2, 'unknown')
    expect(limit()).to.equal(2)
    clock.advance(1_000)
    void send()
    await delay(0)
    clock.advance(10)
    await answer(3, 'none', 'refused')
    expect(limit()).to.equal(2)
    clock.advance(1_000)
    void send()
    await delay(0)
    clock.advance(10)
    await answer(4, 'none')
    expect(limit()).to.equal(undefined)
  })

  it('is stated with answers and refusals, and a new process of the endpoint begins without one', async () => {
    start('vm-1')
    const first = send()
    endpoint.received[0]?.(0)
    expect(await first).to.include({ outcome: Outcome.OUTCOME_ANSWERED, requestsPerSecond: 0 })
    expect(await dispatcher.dispatch(entry, { ...forward, deadlineMilliseconds: 100 }, new AbortController().signal)).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, requestsPerSecond: 0 })
    dispatcher.update(new Map([['e1', { ...entry, life: 2 }]]))
    expect(limit()).to.equal(undefined)
    const second = send()
    endpoint.received[1]?.('none')
    expect(await second).to.include({ requestsPerSecond: Infinity })
  })

  // Guards against many VMs that send to one endpoint at the same time when its coordinator is lost (LIMIT).
  it('keeps a VM that heard of it from sending by itself while it cannot reach the coordinator, for as long as it may still hold', async () => {
    start('vm-2')
    peer.answer = { ...Answer.create(), outcome: Outcome.OUTCOME_ANSWERED, status: 200, requestsPerSecond: 1 }
    await send()
    peer.answer = notRunAnswer('peer_unreachable')
    expect(await send()).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'endpoint_limited' })
    expect(endpoint.received).to.have.length(0)
    clock.advance(10_000)
    void send()
    await delay(0)
    expect(endpoint.received).to.have.length(1)
  })

  it('is forgotten by other VMs when the coordinator states none', async () => {
    start('vm-2')
    peer.answer = { ...Answer.create(), outcome: Outcome.OUTCOME_ANSWERED, status: 200, requestsPerSecond: 1 }
    await send()
    peer.answer = { ...peer.answer, requestsPerSecond: Infinity }
    await send()
    peer.answer = notRunAnswer('peer_unreachable')
    void send()
    await delay(0)
    expect(endpoint.received).to.have.length(1)
  })
})

describe('An endpoint that leaves', () => {
  const clock = new MonotonicClock()
  let endpoint: ControlledEndpoint
  let leaving: LeavingEndpoints
  let dispatcher: Dispatcher

  beforeEach(() => {
    endpoint = new ControlledEndpoint()
    leaving = new LeavingEndpoints(clock)
    dispatcher = new Dispatcher({ vm: 'vm-1', coordinators: new Coordinators(), peers: new ScriptedPeer(), transport: endpoint, directory: () => new Map([['e1', entry]]), clock, loopDelay: new LoopDelay(clock), random: new Random(1), metrics: new RouterMetrics(), leaving, poison: new PoisonList(clock), reach: { isCutOff: () => false, isInDoubt: () => false, doubt: () => {}, isUnreached: () => false } })
  })

  async function send (): Promise<Answer> {
    return await dispatcher.dispatch(entry, forward, new AbortController().signal)
  }

  function update (fields: Partial<EndpointEntry>): void {
    const directory = new Map([['e1', { ...entry, ...fields }]])
    leaving.update(directory)
    dispatcher.update(directory)
  }

  // Guards against requests that wait at the coordinator and are sent after the time that a leaving endpoint goes on for (DRAIN).
  it('gets no request any more that has waited at its coordinator since it said so', async () => {
    const running = Array.from({ length: entry.slots }, send)
    const waiting = send()
    await delay(0)
    update({ leaving: true })
    expect(await Promise.race([waiting, delay(1_000)])).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'endpoint_leaving', endpointLeaving: true })
    for (const answer of endpoint.received) answer('none')
    for (const answer of await Promise.all(running)) expect(answer.outcome).to.equal(Outcome.OUTCOME_ANSWERED)
    expect(endpoint.received).to.have.length(entry.slots)
  })

  // Guards against a coordinator that knows and a VM that does not: both must know for the request to be refused in time (DRAIN).
  it('gets no request that another VM forwards to a coordinator that knows of its leaving', async () => {
    update({ leaving: true })
    expect(await dispatcher.accept(forward, new AbortController().signal)).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'endpoint_leaving' })
    expect(endpoint.received).to.have.length(0)
  })

  it('is known by its answer to leave, and gets requests again when it has started anew', async () => {
    endpoint.leaving = true
    const answer = send()
    await delay(0)
    endpoint.received[0]?.('none')
    expect(await answer).to.include({ endpointLeaving: true })
    expect(leaving.has(entry)).to.equal(true)
    expect(leaving.isClosed(entry), 'until its keys have moved').to.equal(false)
    await delay(1_050)
    expect(await send()).to.include({ reason: 'endpoint_leaving' })
    update({ life: 2 })
    void send()
    await delay(0)
    expect(endpoint.received).to.have.length(2)
  })
})
