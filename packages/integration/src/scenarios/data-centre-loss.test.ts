import { expect } from 'chai'
import { coordinators, describeTraces, endpointPlans, observeOwners, readControlStream, runFailure, smallAtlas, startSpread, vmPlans, type Deployment } from '../bed/index.js'

// Stated target: a key is served again within 1 s of a loss.
const servedAgainMilliseconds = 1_000
// Stated on the design page for an endpoint that is lost together with its coordinator.
const servedAgainAfterDoubleLossMilliseconds = 1_200
const lostDataCentre = 'dc-a'

describe('Loss of a data centre with real processes', function () {
  this.timeout(60_000)
  let deployment: Deployment

  before(async () => {
    deployment = await startSpread(smallAtlas({ vms: vmPlans(9), endpoints: [...endpointPlans('ponds', 6), ...endpointPlans('dispatch', 3)], logNamespaces: 'briarsaddle:*' }))
  })

  after(async () => await deployment.stop())

  it('serves every key from the other data centres after all VMs and endpoints of one are killed at once, so that no majority, standby or record was kept in one data centre only', async () => {
    const isLost = ({ plan }: { readonly plan: { readonly dataCentre: string } }): boolean => plan.dataCentre === lostDataCentre
    const lostVms = [...deployment.vms.values()].filter(isLost)
    const lostEndpoints = [...deployment.endpoints.values()].filter(isLost)
    const survivors = [...deployment.vms.values()].filter(vm => !isLost(vm)).map(({ plan }) => plan.id)
    const byEndpoint = await coordinators(deployment)
    const before = await observeOwners(deployment, survivors[0] as string)
    const result = await runFailure(deployment, {
      seed: 501,
      afterMilliseconds: 4_000,
      cause: async ({ avoid, keepRecord }) => {
        for (const { plan } of lostVms) avoid(plan.id)
        await Promise.all(lostEndpoints.map(async ({ plan }) => await keepRecord(plan.id)))
        await Promise.all([...lostVms, ...lostEndpoints].map(async ({ process }) => await process.kill()))
      }
    })

    const endpointIsLost = (id: string): boolean => lostEndpoints.some(({ plan }) => plan.id === id)
    const coordinatorIsLost = (id: string): boolean => lostVms.some(({ plan }) => plan.id === byEndpoint.get(id))
    const gap = (endpointLost: boolean, coordinatorLost: boolean): number => result.worstKey(key => {
      const owner = result.ownerBefore(key)
      return endpointIsLost(owner) === endpointLost && coordinatorIsLost(owner) === coordinatorLost
    }).milliseconds
    console.log(`      ${result.summary}, lost coordinators of ${[...byEndpoint.keys()].filter(coordinatorIsLost).join(', ')}; gaps: elsewhere ${gap(false, false)} ms, coordinator lost ${gap(false, true)} ms, endpoint lost ${gap(true, false)} ms, both lost ${gap(true, true)} ms`)
    expect(result.breaches).to.deep.equal([])
    expect(gap(false, false), 'keys whose coordinator and endpoint are elsewhere').to.be.at.most(servedAgainMilliseconds)
    expect(gap(false, true), 'keys of lost coordinators').to.be.at.most(servedAgainMilliseconds)
    expect(gap(true, false), 'keys of lost endpoints').to.be.at.most(servedAgainMilliseconds)
    expect(gap(true, true), 'keys that lost both').to.be.at.most(servedAgainAfterDoubleLossMilliseconds)
    expect(result.dispatchGap, 'crew dispatches').to.be.at.most(servedAgainMilliseconds)
    expect(describeTraces(result.traces.filter(({ startedAt, answer }) => startedAt > result.failedAt + servedAgainAfterDoubleLossMilliseconds && answer?.outcome !== 'answered'))).to.deep.equal([])

    const { state } = await readControlStream(deployment)
    expect(state?.pools.get('ponds')?.buckets.filter(bucket => bucket === undefined || bucket.pendingFrom !== undefined || endpointIsLost(bucket.owner))).to.deep.equal([])
    for (const vm of survivors) {
      const owners = await observeOwners(deployment, vm)
      const recorded = [...owners].map(([key, { bucket }]) => [key, state?.pools.get('ponds')?.buckets[bucket]?.owner])
      expect([...owners].map(([key, { owner }]) => [key, owner]), `owners known to ${vm}`).to.deep.equal(recorded)
      for (const [key, { owner }] of before) if (!endpointIsLost(owner)) expect(owners.get(key)?.owner, `owner of ${key}`).to.equal(owner)
    }
  })
})
