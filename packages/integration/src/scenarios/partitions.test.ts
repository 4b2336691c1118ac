import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'chai'
import { coordinators, runFailure, smallAtlas, startSpread, vmPlans, type Deployment, type FailureResult, type FaultSettings, type RunningProxy, type RunningVm } from '../bed/index.js'

// Stated target: a key is served again within 1 s of a loss.
const servedAgainMilliseconds = 1_000
// Longer than a lease (500 ms), a grant (400 ms) and the replacement of a coordinator together.
const faultMilliseconds = 2_000

describe('Partitions with real processes', function () {
  this.timeout(60_000)
  let deployment: Deployment

  before(async () => { deployment = await startSpread(smallAtlas({ vms: vmPlans(3), proxies: true, logNamespaces: 'briarsaddle:*' })) })

  beforeEach(async () => await deployment.waitUntilServing())

  after(async () => await deployment.stop())

  /** Runs traffic while a proxy misbehaves for a time. */
  async function runWithFault (seed: number, proxy: RunningProxy | undefined, fault: FaultSettings): Promise<FailureResult> {
    const result = await runFailure(deployment, {
      seed,
      cause: async () => {
        await deployment.controlProxy(proxy, fault)
        await delay(faultMilliseconds)
        await deployment.controlProxy(proxy, { mode: 'pass', delayMilliseconds: 0 })
      }
    })
    console.log(`      ${result.summary}`)
    return result
  }

  function expectService (result: FailureResult): void {
    expect(result.breaches).to.deep.equal([])
    expect(result.worstKey().milliseconds).to.be.at.most(servedAgainMilliseconds)
  }

  async function coordinatorOfPonds (): Promise<RunningVm> {
    return deployment.vms.get((await coordinators(deployment)).get('ponds-1') as string) as RunningVm
  }

  /** Runs traffic while connections of other VMs to the coordinator of `ponds-1` misbehave. */
  async function runWithUnreachableCoordinator (seed: number, fault: FaultSettings): Promise<FailureResult> {
    const { plan: { id }, innerProxy } = await coordinatorOfPonds()
    const result = await runWithFault(seed, innerProxy, fault)
    // The VM itself may go on serving its callers, which would hide that the others do not notice the failure.
    const others = result.worstKey(undefined, undefined, undefined, vm => vm !== id)
    console.log(`      through VMs other than ${id}: ${JSON.stringify(others)}`)
    expect(others.milliseconds, `keys through VMs other than ${id}`).to.be.at.most(servedAgainMilliseconds)
    return result
  }

  it('serves the keys of a coordinator that no other VM can reach, so that a VM that still reads the log does not keep its keys from callers', async () => {
    expectService(await runWithUnreachableCoordinator(301, { mode: 'cut' }))
  })

  it('serves the keys of a coordinator that receives nothing from other VMs, so that a one-way failure towards it is noticed', async () => {
    expectService(await runWithUnreachableCoordinator(302, { mode: 'silence-to-target' }))
  })

  it('serves the keys of a coordinator whose answers to other VMs do not arrive, so that a one-way failure from it is noticed and nothing is run twice', async () => {
    expectService(await runWithUnreachableCoordinator(303, { mode: 'silence-to-client' }))
  })

  it('goes on with fresh connections to an endpoint whose open ones are silent, so that it is neither lost nor stuck', async () => {
    expectService(await runWithFault(304, deployment.endpoints.get('ponds-1')?.proxy, { mode: 'silence-existing' }))
  })

  it('goes on when one VM cannot reach the log, so that its leases are renewed by the witnesses', async () => {
    const vm = (await coordinators(deployment)).get('ponds-1') as string
    expectService(await runWithFault(305, deployment.vms.get(vm)?.logProxy, { mode: 'silence-all' }))
  })

  it('gives late answers to the callers who asked, so that answers which arrive out of order are not crossed', async () => {
    const result = await runWithFault(306, (await coordinatorOfPonds()).innerProxy, { delayMilliseconds: 60 })
    expectService(result)
    expect(result.traces.some(({ startedAt, endedAt }) => startedAt > result.failedAt && endedAt - startedAt >= 120), 'some answers were late').to.equal(true)
  })
})
