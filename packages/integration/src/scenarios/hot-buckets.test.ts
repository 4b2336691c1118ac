import { expect } from 'chai'
import { collectRecords, Deployment, findBreaches, sendTraced, smallAtlas, waitFor, type CallerTrace } from '../bed/index.js'

interface BucketsOfState {
  readonly control: { readonly endpoints: ReadonlyArray<{ readonly description: { readonly id: string }, readonly buckets: number }> }
}

describe('Hot buckets', function () {
  this.timeout(90_000)
  let deployment: Deployment

  before(async () => {
    deployment = new Deployment(smallAtlas({ logNamespaces: 'briarsaddle:balancer:*' }))
    await deployment.start()
  })

  after(async () => await deployment.stop())

  it('moves hot buckets off an overloaded endpoint and not back, so that a flare does not stay on one server', async () => {
    const bucketsBefore = await bucketCounts()
    const hotKeys = await keysOf('ponds-1', 6)
    const traces: CallerTrace[] = []
    const pending = new Set<Promise<unknown>>()
    let count = 0
    // 2 slots; each of 6 keys needs about 0.14 of the endpoint: together they keep it busy for 83 % of the time.
    const timer = setInterval(() => {
      const key = hotKeys[count % hotKeys.length] ?? ''
      const sent = sendTraced(deployment, { id: `status-${++count}`, kind: 'status', key, vm: `vm-${1 + count % 3}` }, { 'x-service-milliseconds': '40' }).then(trace => { traces.push(trace) })
      pending.add(sent)
    }, 24)
    try {
      await waitFor('a hot bucket has moved', 45_000, async () => (await bucketCounts()).get('ponds-1') !== bucketsBefore.get('ponds-1'))
      await new Promise(resolve => setTimeout(resolve, 5000))
    } finally {
      clearInterval(timer)
      await Promise.all(pending)
    }
    const moved = (bucketsBefore.get('ponds-1') ?? 0) - ((await bucketCounts()).get('ponds-1') ?? 0)
    expect(moved).to.be.within(1, 4)
    expect(findBreaches(await collectRecords(deployment), traces)).to.deep.equal([])
    expect(traces.filter(({ answer }) => answer?.outcome !== 'answered').map(({ id, answer }) => `${id} ${answer?.outcome} ${answer?.reason}`)).to.deep.equal([])
  })

  async function bucketCounts (): Promise<ReadonlyMap<string, number>> {
    const state = await deployment.state('vm-1') as unknown as BucketsOfState
    return new Map(state.control.endpoints.map(({ description, buckets }) => [description.id, buckets]))
  }

  async function keysOf (endpoint: string, wanted: number): Promise<readonly string[]> {
    const keys: string[] = []
    for (let index = 1; keys.length < wanted; index++) {
      const { body } = await deployment.call('vm-1', 'GET', `/ponds/hot-${index}/sheet-status`)
      if ((JSON.parse(body) as { readonly endpoint: string }).endpoint === endpoint) keys.push(`hot-${index}`)
    }
    return keys
  }
})
