import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'chai'
import { coordinators, endpointPlans, runFailure, smallAtlas, startSpread, vmPlans, type Deployment } from '../bed/index.js'

// Stated target: a key is served again within 1 s of a loss.
const servedAgainMilliseconds = 1_000
// Longer than a lease (500 ms), a grant (400 ms) and the reassignment of a lost endpoint together.
const pauseMilliseconds = 2_000

describe('Pauses with real processes', function () {
  this.timeout(60_000)
  let deployment: Deployment

  before(async () => {
    // Slow enough that there are always requests in hand when the process is paused.
    const ponds = endpointPlans('ponds', 3, { serviceMilliseconds: 20 })
    deployment = await startSpread(smallAtlas({ vms: vmPlans(3), endpoints: [...ponds, ...endpointPlans('dispatch', 2)], logNamespaces: 'briarsaddle:*' }))
  })

  after(async () => await deployment.stop())

  it('takes the buckets of a frozen endpoint away and refuses its late work, so that an endpoint that resumes as if nothing had happened does not act for keys that it lost', async () => {
    const result = await runFailure(deployment, {
      seed: 201,
      cause: async () => {
        const endpoint = deployment.endpoints.get('ponds-2')
        endpoint?.process.pause()
        await delay(pauseMilliseconds)
        endpoint?.process.resume()
      }
    })
    console.log(`      ${result.summary}`)
    expect(result.breaches).to.deep.equal([])
    expect(result.worstKey().milliseconds).to.be.at.most(servedAgainMilliseconds)
  })

  it('replaces a paused coordinator, which sends nothing when it resumes, so that a lease that expires while its holder is paused is not used', async () => {
    await deployment.waitUntilServing()
    const paused = (await coordinators(deployment)).get('ponds-1') as string
    const result = await runFailure(deployment, {
      seed: 202,
      cause: async ({ avoid }) => {
        avoid(paused)
        const vm = deployment.vms.get(paused)
        vm?.process.pause()
        await delay(pauseMilliseconds)
        vm?.process.resume()
      }
    })
    console.log(`      ${result.summary}`)
    expect(result.breaches).to.deep.equal([])
    expect(result.worstKey().milliseconds).to.be.at.most(servedAgainMilliseconds)
  })
})
