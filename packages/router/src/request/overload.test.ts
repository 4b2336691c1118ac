import { expect } from 'chai'
import { LoopDelay, ManualClock, MonotonicClock, Random, TurnQueue } from '@briarsaddle/common'
import type { Answer } from '@briarsaddle/protocol'
import { Forward, Outcome, ServiceClass } from '@briarsaddle/protocol'
import type { EndpointEntry } from '../endpoint-entry.js'
import { LeavingEndpoints } from '../leaving-endpoints.js'
import { PoisonList } from '../poison/poison-list.js'
import { RouterMetrics } from '../router-metrics.js'
import { ScriptedEndpoints } from '../stand-ins/scripted-endpoints.js'
import { ScriptedPeers } from '../stand-ins/scripted-peers.js'
import { repeatingTable, SingleEndpointRouter } from '../stand-ins/single-endpoint-router.js'
import { Coordinators } from './coordinators.js'
import { Dispatcher } from './dispatcher.js'

const taskMilliseconds = 4
const objectiveMilliseconds = 200
const requests = 40

/** Endpoints that answer at once. Each request costs this VM some milliseconds of processor time. */
class CostlyEndpoints extends ScriptedEndpoints {
  readonly #clock: ManualClock

  constructor (clock: ManualClock) {
    super()
    this.#clock = clock
  }

  override async send (...args: Parameters<ScriptedEndpoints['send']>): ReturnType<ScriptedEndpoints['send']> {
    this.#clock.advance(taskMilliseconds)
    return await super.send(...args)
  }
}

const entry: EndpointEntry = { id: 'e1', pool: 'ponds', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 100, leaving: false, life: 1, warmUpMilliseconds: 0 }

describe('A coordinator that is short of processor time', () => {
  // Guards against forwarded requests that wait on a full VM until the VM of the caller gives up (SHORT).
  it('serves urgent forwarded requests first, and refuses at once what it would be late with', async () => {
    const clock = new ManualClock()
    const dispatcher = new Dispatcher({ vm: 'vm-1', coordinators: new Coordinators(), peers: new ScriptedPeers(), transport: new CostlyEndpoints(clock), turns: new TurnQueue(clock), directory: () => new Map([['e1', entry]]), clock, loopDelay: new LoopDelay(clock), random: new Random(1), metrics: new RouterMetrics(), leaving: new LeavingEndpoints(clock), poison: new PoisonList(clock), reach: { isCutOff: () => false, isInDoubt: () => false, doubt: () => {}, isUnreached: () => false } })
    const startedAt = clock.now()
    const results = await Promise.all(Array.from({ length: requests }, async (_, index) => {
      const urgent = index >= requests - 4
      const serviceClass = urgent ? ServiceClass.SERVICE_CLASS_PROMPT : ServiceClass.SERVICE_CLASS_NORMAL
      const answer = await dispatcher.accept({ ...Forward.create(), endpoint: 'e1', pool: 'ponds', bucket: index, serviceClass, deadlineMilliseconds: 500, objectiveMilliseconds }, new AbortController().signal)
      return { urgent, answer, milliseconds: clock.now() - startedAt }
    }))
    const answered = ({ answer }: { readonly answer: Answer }): boolean => answer.outcome === Outcome.OUTCOME_ANSWERED
    expect(results.filter(({ urgent }) => urgent).every(answered)).to.equal(true)
    const refused = results.filter(result => !answered(result))
    expect(refused).not.to.have.length(0)
    for (const { answer } of refused) expect(answer).to.include({ outcome: Outcome.OUTCOME_NOT_RUN, reason: 'overloaded' })
    // An eighth of the objective, and the tasks of the pass in which the last one is refused.
    expect(Math.max(...results.map(({ milliseconds }) => milliseconds))).to.be.lessThan(objectiveMilliseconds / 8 + 8 * taskMilliseconds)
  })

  // Guards against refusals after a single stall: how long requests waited in the socket is known as an upper bound only.
  it('lets a request wait for its turn for a part of its objective, also when the event loop was delayed before', () => {
    const clock = new MonotonicClock()
    const bed = new SingleEndpointRouter(clock, 0)
    bed.router.use(repeatingTable)
    for (const lateMilliseconds of [0, 150]) {
      const accepted = bed.router.accept(bed.request({ host: 'a', key: '7' }, lateMilliseconds))
      if ('status' in accepted) throw new Error('the request was refused')
      expect(bed.router.turnOf(accepted)).to.deep.equal({ urgency: 0, longestWaitMilliseconds: 50 })
    }
  })
})
