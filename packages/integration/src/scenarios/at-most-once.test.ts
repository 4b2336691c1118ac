import { expect } from 'chai'
import { collectRecords, Deployment, sendTraced, smallAtlas, Traffic, vmPlans, waitFor, type CallerTrace } from '../bed/index.js'
import { breachesOf, countTexts, observeEndpoints, observeOwners, pause, printedSeed, summarizeTraces, trafficKeys, type ObservedEndpoint } from '../bed/observation.js'

const runningMilliseconds = 2500
const promptMilliseconds = 1000

describe('Requests with an Idempotency-Key', function () {
  this.timeout(60_000)
  let deployment: Deployment
  let endpoints: ReadonlyMap<string, ObservedEndpoint>
  let keyByCoordinator: (vm: string) => string
  let sent: CallerTrace[]

  beforeEach(async () => {
    sent = []
    // With four VMs, two are left for callers when coordinator and standby are lost.
    deployment = new Deployment(smallAtlas({ vms: vmPlans(4), logNamespaces: 'briarsaddle:*' }))
    await deployment.start()
    endpoints = await observeEndpoints(deployment, 'vm-1')
    const owners = await observeOwners(deployment, 'vm-1')
    keyByCoordinator = vm => trafficKeys.find(key => endpoints.get(owners.get(key)?.owner ?? '')?.coordinator.vm === vm) ?? ''
  })

  afterEach(async function () {
    if (this.currentTest?.state === 'failed') console.log(deployment.logs().split('\n').slice(-150).join('\n'))
    await deployment.stop()
  })

  /** Sends an order under its own id as the key. */
  async function order (id: string, key: string, vm: string, serviceMilliseconds = 5): Promise<CallerTrace> {
    const trace = await sendTraced(deployment, { id, kind: 'order', key, vm }, { 'idempotency-key': `key-${id}`, 'x-service-milliseconds': String(serviceMilliseconds) })
    sent.push(trace)
    return trace
  }

  function pondCoordinator (): { readonly vm: string, readonly standby: string, readonly others: readonly string[] } {
    const { vm, standby = '' } = endpoints.get('ponds-1')?.coordinator ?? { vm: '' }
    return { vm, standby, others: [...deployment.vms.keys()].filter(other => other !== vm && other !== standby) }
  }

  async function effectsOf (id: string): Promise<number> {
    return [...(await collectRecords(deployment)).values()].flatMap(({ requests }) => requests).filter(({ testRequest, result }) => testRequest === id && result === 'completed').length
  }

  function describeAnswer ({ answer, startedAt, endedAt }: CallerTrace): string {
    return answer === undefined ? 'connection broken' : `${answer.status} ${answer.outcome} ${answer.reason} after ${endedAt - startedAt} ms`
  }

  it('gives a repeat the same answer through any VM, "unknown" while it runs, and refuses another body', async () => {
    const { vm, standby, others } = pondCoordinator()
    const key = keyByCoordinator(vm)
    const first = await order('answered', key, others[0] ?? '')
    expect(first.answer?.outcome, describeAnswer(first)).to.equal('answered')
    for (const through of [vm, standby, ...others]) {
      const repeat = await order('answered', key, through)
      expect([repeat.answer?.status, repeat.answer?.outcome, repeat.answer?.body], `${through}: ${describeAnswer(repeat)}`).to.deep.equal([200, 'answered', first.answer?.body])
    }
    expect(await effectsOf('answered')).to.equal(1)

    const running = order('running', key, others[0] ?? '', runningMilliseconds)
    await pause(500)
    const repeat = await order('running', key, others[1] ?? '', runningMilliseconds)
    console.log(`      repeated while running: ${describeAnswer(repeat)}`)
    expect(repeat.answer?.outcome).to.equal('unknown')
    expect(repeat.answer?.headers['retry-after']).to.not.equal(undefined)
    expect(repeat.endedAt - repeat.startedAt).to.be.at.most(promptMilliseconds)
    expect((await running).answer?.outcome, describeAnswer(await running)).to.equal('answered')
    expect(await effectsOf('running')).to.equal(1)

    const other = await deployment.call(others[0] ?? '', 'POST', `/ponds/${key}/flood-orders`, { headers: { 'idempotency-key': 'key-answered', 'x-test-request': 'other-body' }, body: 'another body' })
    console.log(`      another body: ${other.status} ${other.outcome} ${other.reason}`)
    expect(other.outcome).to.equal('not-run')
    expect(other.status).to.be.within(400, 503)
    expect(await effectsOf('other-body')).to.equal(0)
    expect(breachesOf(await collectRecords(deployment), sent)).to.deep.equal([])
  })

  for (const losses of ['the coordinator', 'the coordinator and its standby'] as const) {
    it(`never has a second effect after ${losses} was killed`, async () => {
      const traffic = new Traffic(deployment, { seed: printedSeed(`the loss of ${losses}`), perSecond: 50, name: 'beside', vms: () => pondCoordinator().others })
      const { vm, standby, others } = pondCoordinator()
      const key = keyByCoordinator(vm)
      const through = others[0] ?? ''
      traffic.start()
      const answered = await order('answered', key, through)
      expect(answered.answer?.outcome, describeAnswer(answered)).to.equal('answered')
      const running = order('running', key, through, runningMilliseconds)
      await pause(500)
      const lost = losses === 'the coordinator' ? [vm] : [vm, standby]
      await Promise.all(lost.map(async id => await deployment.vms.get(id)?.process.kill()))
      const repeats: string[] = []
      const killedAt = Date.now()
      // The first repeats meet the old state, later ones the successor.
      while (Date.now() - killedAt < 4000) {
        for (const id of ['answered', 'running']) {
          const repeat = await order(id, key, others[1] ?? '', id === 'running' ? runningMilliseconds : 5)
          repeats.push(`${id}: ${describeAnswer(repeat).replace(/ after .*/, '')}`)
          if (repeat.answer?.outcome === 'answered') expect(repeat.answer.body, `${id} was answered otherwise`).to.equal(id === 'answered' ? answered.answer?.body : (await running).answer?.body)
          else expect(repeat.answer?.outcome, describeAnswer(repeat)).to.be.oneOf(['unknown', 'not-run'])
        }
        await pause(200)
      }
      const traces = await traffic.stop()
      await running
      console.log(`      ${countTexts(repeats)}; others: ${summarizeTraces(traces)}`)
      expect(await effectsOf('answered')).to.equal(1)
      expect(await effectsOf('running')).to.be.at.most(1)
      const last = sent.filter(({ id }) => id === 'answered').at(-1)
      if (losses === 'the coordinator') expect(last?.answer?.body, 'the standby has the answer').to.equal(answered.answer?.body)
      expect(breachesOf(await collectRecords(deployment), [...traces, ...sent])).to.deep.equal([])
      await waitFor('a new order is answered again', 10_000, async () => (await sendTraced(deployment, { id: `new-${Date.now()}`, kind: 'order', key, vm: through })).answer?.outcome === 'answered')
    })
  }
})
