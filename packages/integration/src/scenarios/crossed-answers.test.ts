import { Random } from '@briarsaddle/common'
import { expect } from 'chai'
import { collectRecords, coordinators, endpointPlans, observeOwners, smallAtlas, startSpread, trafficKeys, vmPlans, type CallerAnswer, type Deployment } from '../bed/index.js'

const requestsPerVm = 90
const longestBodyLines = 6_000
// Each request is served this much faster than the one before it. A busy machine needs up to a few milliseconds to send
// a request; with smaller steps the answers would come in the order of the requests.
const serviceStepMilliseconds = 4
const proxyDelayMilliseconds = 40
const [delayedEntry, otherEntry, delayedPeer] = ['vm-1', 'vm-2', 'vm-3'] as const

interface Echo {
  readonly id: string
  readonly vm: string
  readonly key: string
  readonly body: string
  readonly answer: CallerAnswer
  readonly milliseconds: number
  /** Place among all answers. */
  readonly place: number
}

describe('Answers that arrive in another order than the requests', function () {
  this.timeout(60_000)
  let deployment: Deployment

  before(async () => {
    const endpoints = [...endpointPlans('ponds', 3, { slots: 30 }), ...endpointPlans('dispatch', 2)]
    deployment = await startSpread(smallAtlas({ vms: vmPlans(3), endpoints, proxies: true, separable: delayedEntry, logNamespaces: 'briarsaddle:*' }))
  })

  after(async () => await deployment.stop())

  it('gives every caller the whole answer to its own request, so that frames of large and small answers on shared connections are not mixed up', async () => {
    const random = new Random(701)
    let answers = 0
    const send = async (vm: string, index: number): Promise<Echo> => {
      const id = `echo-${vm}-${index}`
      const key = random.pick(trafficKeys)
      // Every line differs, so that a part in the wrong place shows as well as one of another answer.
      const body = Array.from({ length: random.integer(1, random.pick([10, longestBodyLines])) }, (_, line) => `${id} ${line}\n`).join('')
      // The later a request is sent, the sooner it is served.
      const headers = { 'x-test-request': id, 'x-echo-body': 'true', 'x-service-milliseconds': String((requestsPerVm - index) * serviceStepMilliseconds) }
      const startedAt = performance.now()
      const answer = await deployment.call(vm, 'POST', `/ponds/${key}/flood-orders`, { headers, body })
      return { id, vm, key, body, answer, milliseconds: performance.now() - startedAt, place: answers++ }
    }
    const owners = await observeOwners(deployment, otherEntry)
    const byEndpoint = await coordinators(deployment)
    await deployment.controlProxy(deployment.outwardProxies.get(delayedPeer), { delayMilliseconds: proxyDelayMilliseconds })
    const echoes = await Promise.all([delayedEntry, otherEntry].flatMap(vm => Array.from({ length: requestsPerVm }, async (_, index) => await send(vm, index))))

    const delayed = echoes.filter(({ vm, key }) => vm === delayedEntry && byEndpoint.get(owners.get(key)?.owner ?? '') === delayedPeer)
    const overtaken = [delayedEntry, otherEntry].map(vm => {
      const places = echoes.filter(echo => echo.vm === vm).map(({ place }) => place)
      return places.filter((place, index) => places.slice(index + 1).some(later => later < place)).length
    })
    console.log(`      seed ${random.seed}: ${echoes.length} requests with ${echoes.reduce((sum, { body }) => sum + body.length, 0)} bytes, ${delayed.length} over the delayed connection, overtaken through ${delayedEntry} and ${otherEntry}: ${overtaken.join(' and ')}`)
    expect(echoes.filter(({ answer }) => answer.outcome !== 'answered').map(({ id, answer }) => `${id}: ${answer.outcome} ${answer.reason}`)).to.deep.equal([])
    expect(echoes.filter(({ body, answer }) => answer.body !== body).map(({ id, body, answer }) => `${id}: ${answer.body.length} instead of ${body.length} bytes, begins with ${answer.body.slice(0, 30)}`)).to.deep.equal([])
    const effects = [...(await collectRecords(deployment)).values()].flatMap(({ requests }) => requests).filter(({ result }) => result === 'completed').map(({ testRequest }) => testRequest)
    for (const { id } of echoes) expect(effects.filter(other => other === id), `effects of ${id}`).to.have.length(1)
    expect(delayed.length, 'requests over the delayed connection').to.be.at.least(10)
    expect(Math.min(...delayed.map(({ milliseconds }) => milliseconds))).to.be.at.least(2 * proxyDelayMilliseconds)
    for (const count of overtaken) expect(count, 'answers that were overtaken').to.be.at.least(requestsPerVm / 2)
  })
})
