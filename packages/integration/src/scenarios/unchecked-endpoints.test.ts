import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'chai'
import { coordinators, endpointPlans, findBreaches, findTwoSenders, observeOwners, runFailure, sendTraced, smallAtlas, startSpread, trafficKeys, vmPlans, waitFor, type CallerTrace, type Deployment, type FailureResult, type ManagedProcess, type RunningVm } from '../bed/index.js'

const longestDeadlineMilliseconds = 2_000
// Stated on the design page for the loss of a coordinator: 0.9 s plus the longest deadline of the pool.
const servedAgainMilliseconds = 900 + longestDeadlineMilliseconds
// Almost the whole deadline, so that a successor that does not wait for it meets the request.
const longOrderMilliseconds = 1_900
const longOrders = 4
// Time in which the long orders reach the endpoint on a machine that is not busy.
const writtenMilliseconds = 60
// On a busy one the coordinator would otherwise be stopped before it has sent any of them.
const firstWrittenMilliseconds = 1_000

const rules = `
POST /ponds/:pond/flood-orders pool=ponds key=path:pond at-most-once class=normal deadline=2s # Youssef Amrani, flood crews: a server without checks
GET /ponds/:pond/sheet-status pool=ponds key=path:pond idempotent class=normal deadline=1s # Leila Benjelloun, club managers: a server without checks
POST /dispatches pool=dispatch at-most-once class=prompt deadline=2s # Youssef Amrani, dispatch desk: a server without checks
`

interface CoordinatorLoss {
  readonly result: FailureResult
  readonly orders: readonly CallerTrace[]
  /** Wall clock, milliseconds. */
  readonly lostAt: number
}

describe('Endpoints that do not check who gives them orders', function () {
  this.timeout(60_000)
  let deployment: Deployment

  before(async () => {
    const unchecked = { checks: false, slots: 8, serviceMilliseconds: 20 }
    const endpoints = [...endpointPlans('ponds', 3, unchecked), ...endpointPlans('dispatch', 2, unchecked)]
    deployment = await startSpread(smallAtlas({ vms: vmPlans(4), endpoints, rules, logNamespaces: 'briarsaddle:*' }))
  })

  after(async () => await deployment.stop())

  /** Stops a coordinator while long orders run at its endpoint. */
  async function loseCoordinator (seed: number, cause: (coordinator: RunningVm) => Promise<void>): Promise<CoordinatorLoss> {
    await deployment.waitUntilServing()
    const coordinator = deployment.vms.get((await coordinators(deployment)).get('ponds-1') as string) as RunningVm
    const through = [...deployment.vms.keys()].find(vm => vm !== coordinator.plan.id) as string
    const owners = await observeOwners(deployment, through)
    const keys = trafficKeys.filter(key => owners.get(key)?.owner === 'ponds-1').slice(0, longOrders)
    let orders: Array<Promise<CallerTrace>> = []
    let lostAt = 0
    const result = await runFailure(deployment, {
      seed,
      afterMilliseconds: servedAgainMilliseconds + 500,
      cause: async ({ avoid }) => {
        orders = keys.map(async key => await sendTraced(deployment, { id: `long-${seed}-${key}`, kind: 'order', key, vm: through }, { 'x-service-milliseconds': String(longOrderMilliseconds) }))
        await delay(writtenMilliseconds)
        await waitFor('a long order has reached its endpoint', firstWrittenMilliseconds, async () => {
          const { requests } = await deployment.record('ponds-1')
          return requests.some(({ testRequest }) => testRequest?.startsWith(`long-${seed}-`) === true)
        })
        avoid(coordinator.plan.id)
        lostAt = Date.now()
        await cause(coordinator)
      }
    })
    return { result, orders: await Promise.all(orders), lostAt }
  }

  const cases: ReadonlyArray<{ readonly name: string, readonly seed: number, readonly cause: (coordinator: RunningVm) => Promise<void> }> = [
    { name: 'a coordinator paused for less than the wait of its successor', seed: 401, cause: async ({ process }) => await pauseFor(process, 1_200) },
    { name: 'a coordinator paused until its successor had begun', seed: 402, cause: async ({ process }) => await pauseFor(process, servedAgainMilliseconds + 500) },
    { name: 'a killed coordinator', seed: 403, cause: async ({ process }) => await process.kill() }
  ]

  for (const { name, seed, cause } of cases) {
    let loss: CoordinatorLoss

    it(`runs nothing twice and answers truthfully after ${name}, so that the wait covers the requests of the former one`, async () => {
      loss = await loseCoordinator(seed, cause)
      const { result, orders, lostAt } = loss
      console.log(`      ${result.summary}, gap since the loss ${result.worstKey(undefined, undefined, lostAt).milliseconds} ms, long orders ${orders.map(({ answer }) => answer?.outcome).join(', ')}`)
      expect([...result.breaches, ...findBreaches(result.records, orders)]).to.deep.equal([])
      const senders = new Set(result.records.get('ponds-1')?.requests.filter(({ start }) => start.wall > result.failedAt).map(({ coordinator }) => coordinator))
      expect(senders.size, 'VMs that sent requests to ponds-1').to.equal(2)
    })

    it(`sends requests from one VM at a time after ${name}, so that two do not give orders side by side`, () => {
      expect(findTwoSenders(loss.result.records, loss.result.failedAt)).to.deep.equal([])
    })

    it(`serves every key within the stated wait after ${name}`, () => {
      expect(loss.result.worstKey(undefined, undefined, loss.lostAt).milliseconds).to.be.at.most(servedAgainMilliseconds)
      expect(loss.result.dispatchGap).to.be.at.most(servedAgainMilliseconds)
    })
  }
})

async function pauseFor (process: ManagedProcess, milliseconds: number): Promise<void> {
  process.pause()
  await delay(milliseconds)
  process.resume()
}
