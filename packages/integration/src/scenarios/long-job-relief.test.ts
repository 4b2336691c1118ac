import { expect } from 'chai'
import { collectRecords, Deployment, findBreaches, sendTraced, smallAtlas, waitFor, type CallerAnswer, type CallerTrace } from '../bed/index.js'

interface BucketsOfState {
  readonly control: { readonly endpoints: ReadonlyArray<{ readonly description: { readonly id: string }, readonly buckets: number }> }
}

const longMilliseconds = 5000

describe('Relief of an endpoint with a long job', function () {
  this.timeout(90_000)
  let deployment: Deployment

  before(async () => {
    deployment = new Deployment(smallAtlas({ logNamespaces: 'briarsaddle:relief:*' }))
    await deployment.start()
  })

  after(async () => await deployment.stop())

  it('moves busy buckets away and not back, but not that of the job, so that short work does not wait for the slot', async () => {
    const bucketsBefore = await bucketsOf('ponds-1')
    const [longKey = '', ...keys] = await keysOf('ponds-1', 21)
    const traces: CallerTrace[] = []
    const pending = new Set<Promise<unknown>>()
    let count = 0
    // 2 slots; the short work needs one of them, which the long job leaves to it.
    const timer = setInterval(() => {
      const key = keys[count % keys.length] ?? ''
      const sent = sendTraced(deployment, { id: `status-${++count}`, kind: 'status', key, vm: `vm-${1 + count % 3}` }, { 'x-service-milliseconds': '40' }).then(trace => { traces.push(trace) })
      pending.add(sent)
    }, 40)
    try {
      // Loads are known after a window of 5 s.
      await new Promise(resolve => setTimeout(resolve, 7000))
      expect(await bucketsOf('ponds-1')).to.equal(bucketsBefore)
      const long = [1, 2].map(async index => await reconcile(`long-${index}`, longKey))
      await waitFor('buckets have moved away', longMilliseconds, async () => await bucketsOf('ponds-1') < bucketsBefore)
      const answers = await Promise.all(long)
      expect(answers.map(({ status, outcome }) => [status, outcome])).to.deep.equal([[200, 'answered'], [200, 'answered']])
      expect(answers.map(endpointOf)).to.deep.equal(['ponds-1', 'ponds-1'])
      const relieved = await bucketsOf('ponds-1')
      await new Promise(resolve => setTimeout(resolve, 3000))
      expect(await bucketsOf('ponds-1')).to.be.at.most(relieved)
    } finally {
      clearInterval(timer)
      await Promise.all(pending)
    }
    expect(bucketsBefore - await bucketsOf('ponds-1')).to.be.within(2, keys.length)
    expect(findBreaches(await collectRecords(deployment), traces)).to.deep.equal([])
    expect(traces.filter(({ answer }) => answer?.outcome !== 'answered').map(({ id, answer }) => `${id} ${answer?.outcome} ${answer?.reason}`)).to.deep.equal([])
  })

  async function reconcile (id: string, key: string): Promise<CallerAnswer> {
    return await deployment.call('vm-1', 'POST', `/ponds/${key}/season-reconciliation`, { headers: { 'x-test-request': id, 'x-service-milliseconds': String(longMilliseconds) }, body: id })
  }

  async function bucketsOf (endpoint: string): Promise<number> {
    const state = await deployment.state('vm-1') as unknown as BucketsOfState
    return state.control.endpoints.find(({ description }) => description.id === endpoint)?.buckets ?? 0
  }

  async function keysOf (endpoint: string, wanted: number): Promise<readonly string[]> {
    const keys: string[] = []
    for (let index = 1; keys.length < wanted; index++) {
      if (endpointOf(await deployment.call('vm-1', 'GET', `/ponds/club-${index}/sheet-status`)) === endpoint) keys.push(`club-${index}`)
    }
    return keys
  }
})

function endpointOf ({ body }: CallerAnswer): string {
  return (JSON.parse(body) as { readonly endpoint: string }).endpoint
}
