import { expect } from 'chai'
import { coordinators, runFailure, smallAtlas, startSpread, vmPlans, waitFor, witnesses, type Deployment, type FailureResult } from '../bed/index.js'

// Stated target: a key is served again within 1 s of a loss.
const servedAgainMilliseconds = 1_000
// A part that is not affected has no pause longer than a few probe intervals of 120 ms.
const undisturbedMilliseconds = 500

describe('Losses with real processes', function () {
  this.timeout(60_000)
  let deployment: Deployment
  let started = 4

  before(async () => { deployment = await startSpread(smallAtlas({ vms: vmPlans(started), logNamespaces: 'briarsaddle:*' })) })

  after(async () => await deployment.stop())

  function print (result: FailureResult, note = ''): void {
    console.log(`      ${result.summary} ${note}`)
  }

  /** Starts a VM in the place of a lost one, as the platform does. */
  async function replaceVm (lost: string): Promise<void> {
    const plan = deployment.vms.get(lost)?.plan
    await deployment.unlist(lost)
    await deployment.startVm({ id: `vm-${++started}`, dataCentre: plan?.dataCentre ?? 'dc-a' })
    await deployment.waitUntilServing()
    // Until the list names only live VMs, a further loss would leave no majority of the witnesses.
    await waitFor('the lost VM is no witness', 20_000, async () => (await witnesses(deployment)).every(vm => deployment.vms.has(vm)))
  }

  /** Starts an endpoint in the place of a lost one. */
  async function replaceEndpoint (lost: string): Promise<void> {
    await deployment.unlist(lost)
    await deployment.startEndpoint({ id: `ponds-${++started}`, pool: 'ponds', dataCentre: 'dc-a' })
    await deployment.waitUntilServing()
  }

  it('serves every key again after a coordinating VM is killed, so that a lost lease holder neither stops its keys nor lets two VMs give orders', async () => {
    const byEndpoint = await coordinators(deployment)
    const lost = byEndpoint.get('ponds-1') as string
    const result = await runFailure(deployment, {
      seed: 101,
      cause: async ({ avoid }) => {
        avoid(lost)
        await deployment.vms.get(lost)?.process.kill()
      }
    })
    await replaceVm(lost)
    const others = result.worstKey(key => byEndpoint.get(result.ownerBefore(key)) !== lost)
    print(result, `other coordinators ${JSON.stringify(others)} `)
    expect(result.breaches).to.deep.equal([])
    expect(result.worstKey().milliseconds).to.be.at.most(servedAgainMilliseconds)
    expect(result.dispatchGap).to.be.at.most(servedAgainMilliseconds)
    expect(others.milliseconds, 'keys of other coordinators').to.be.at.most(undisturbedMilliseconds)
  })

  it('serves the keys of a killed endpoint from other endpoints, so that its buckets are neither stuck nor held twice', async () => {
    const result = await runFailure(deployment, {
      seed: 102,
      cause: async ({ keepRecord }) => {
        await keepRecord('ponds-2')
        await deployment.endpoints.get('ponds-2')?.process.kill()
      }
    })
    await replaceEndpoint('ponds-2')
    const others = result.worstKey(key => result.ownerBefore(key) !== 'ponds-2')
    print(result, `other endpoints ${JSON.stringify(others)} `)
    expect(result.breaches).to.deep.equal([])
    expect(result.worstKey().milliseconds).to.be.at.most(servedAgainMilliseconds)
    expect(others.milliseconds, 'keys of other endpoints').to.be.at.most(undisturbedMilliseconds)
    expect(result.dispatchGap).to.be.at.most(undisturbedMilliseconds)
  })

  it('continues after the loss of the VM that coordinates least, so that callers of other VMs do not notice', async () => {
    const byEndpoint = await coordinators(deployment)
    const load = (vm: string): number => [...byEndpoint.values()].filter(coordinator => coordinator === vm).length
    const lost = [...deployment.vms.keys()].sort((one, other) => load(one) - load(other))[0] as string
    const result = await runFailure(deployment, {
      seed: 103,
      cause: async ({ avoid }) => {
        avoid(lost)
        await deployment.vms.get(lost)?.process.kill()
      }
    })
    await replaceVm(lost)
    const others = result.worstKey(key => byEndpoint.get(result.ownerBefore(key)) !== lost)
    print(result, `${lost} coordinated ${load(lost)}, keys of other coordinators ${JSON.stringify(others)} `)
    expect(result.breaches).to.deep.equal([])
    expect(others.milliseconds, 'keys of other coordinators').to.be.at.most(undisturbedMilliseconds)
    expect(result.worstKey().milliseconds).to.be.at.most(servedAgainMilliseconds)
    expect(result.traces.filter(({ vm, answer }) => vm !== lost && answer === undefined).map(({ id }) => id), 'requests through other VMs without an answer').to.deep.equal([])
  })

  it('serves every key again after an endpoint and its coordinator are killed together, so that nobody has to survive to report the other', async () => {
    const lost = (await coordinators(deployment)).get('ponds-1') as string
    const result = await runFailure(deployment, {
      seed: 104,
      afterMilliseconds: 4_000,
      cause: async ({ avoid, keepRecord }) => {
        avoid(lost)
        await keepRecord('ponds-1')
        await Promise.all([deployment.vms.get(lost)?.process.kill(), deployment.endpoints.get('ponds-1')?.process.kill()])
      }
    })
    print(result)
    expect(result.breaches).to.deep.equal([])
    expect(result.worstKey().milliseconds).to.be.at.most(servedAgainMilliseconds)
  })
})
