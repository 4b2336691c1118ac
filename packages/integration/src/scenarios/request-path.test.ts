import { expect } from 'chai'
import { collectRecords, Deployment, findBreaches, sendTraced, smallAtlas, type CallerTrace } from '../bed/index.js'

describe('Request path with real processes', function () {
  this.timeout(60_000)
  let deployment: Deployment

  before(async () => {
    deployment = new Deployment(smallAtlas())
    await deployment.start()
  })

  after(async () => await deployment.stop())

  it('answers every kind of request through every VM, so that no VM routes to a wrong owner', async () => {
    const traces: CallerTrace[] = []
    for (const vm of deployment.vms.keys()) {
      for (const kind of ['status', 'order', 'dispatch'] as const) {
        for (let pond = 1; pond <= 10; pond++) traces.push(await sendTraced(deployment, { id: `${vm}-${kind}-${pond}`, kind, key: `pond-${pond}`, vm }))
      }
    }
    expect(traces.filter(({ answer }) => answer?.outcome !== 'answered' || answer.status !== 200).map(({ id, answer }) => `${id} ${answer?.status} ${answer?.reason}`)).to.deep.equal([])
    expect(findBreaches(await collectRecords(deployment), traces)).to.deep.equal([])
  })
})
