import { expect } from 'chai'
import { administrationToken, collectRecords, Deployment, runCli, sendTraced, smallAtlas, Traffic, vmPlans, waitFor, type CallerTrace, type Records, type RequestKind } from '../bed/index.js'
import { breachesOf, countTexts, joinRecords, observeEndpoints, observeOwners, pause, printedSeed, summarizeTraces, trafficKeys, type ObservedEndpoint } from '../bed/observation.js'

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

  /** Sends an order or dispatch under its own id as the key. */
  async function order (id: string, key: string, vm: string, serviceMilliseconds = 5, kind: RequestKind = 'order'): Promise<CallerTrace> {
    const trace = await sendTraced(deployment, { id, kind, key, vm }, { 'idempotency-key': `key-${id}`, 'x-service-milliseconds': String(serviceMilliseconds) })
    sent.push(trace)
    return trace
  }

  function pondCoordinator (): { readonly vm: string, readonly standby: string, readonly others: readonly string[] } {
    const { vm, standby = '' } = endpoints.get('ponds-1')?.coordinator ?? { vm: '' }
    return { vm, standby, others: [...deployment.vms.keys()].filter(other => other !== vm && other !== standby) }
  }

  async function effectsOf (id: string, records?: Records): Promise<number> {
    return [...(records ?? await collectRecords(deployment)).values()].flatMap(({ requests }) => requests).filter(({ testRequest, result }) => testRequest === id && result === 'completed').length
  }

  async function drain (endpoint: string): Promise<void> {
    const { host, port } = deployment.vms.get('vm-1')?.administration ?? { host: '', port: 0 }
    expect(await runCli(['drain', endpoint, '--author', 'test', '--address', `http://${host}:${port}`], { environment: { BRIARSADDLE_TOKEN: administrationToken } })).to.include({ code: 0 })
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

  for (const cause of ['drains', 'was killed'] as const) {
    it(`has no second effect after its endpoint ${cause} and another one has the key`, async () => {
      const vms = [...deployment.vms.keys()]
      const key = trafficKeys[0] ?? ''
      const owner = (await observeOwners(deployment, 'vm-1')).get(key)?.owner ?? ''
      const first = await order('moved', key, 'vm-1')
      expect(first.answer?.outcome, describeAnswer(first)).to.equal('answered')
      const before = await collectRecords(deployment, [owner])
      if (cause === 'drains') await drain(owner)
      else await deployment.endpoints.get(owner)?.process.kill()
      const repeats: CallerTrace[] = []
      let moved = false
      await waitFor('another endpoint owns the key', 10_000, async () => {
        moved = (await observeOwners(deployment, 'vm-1')).get(key)?.owner !== owner
        repeats.push(await order('moved', key, vms[repeats.length % vms.length] ?? ''))
        return moved
      })
      for (const vm of vms) repeats.push(await order('moved', key, vm))
      console.log(`      ${countTexts(repeats.map(repeat => describeAnswer(repeat).replace(/ after .*/, '')))}`)
      for (const { answer } of repeats) if (answer?.outcome === 'answered') expect(answer.body).to.equal(first.answer?.body)
      expect(repeats.at(-1)?.answer?.body, 'the new owner has the answer').to.equal(first.answer?.body)
      const others = [...deployment.endpoints.keys()].filter(id => id !== owner)
      const records = cause === 'drains' ? await collectRecords(deployment) : joinRecords(before, await collectRecords(deployment, others))
      expect(await effectsOf('moved', records)).to.equal(1)
      expect(breachesOf(records, sent)).to.deep.equal([])
      const fresh = await order('fresh', key, 'vm-1')
      expect(fresh.answer?.outcome, describeAnswer(fresh)).to.equal('answered')
    })
  }

  it('runs a dispatch once in a pool without keys, through any VM and after an endpoint of the pool was killed', async () => {
    const vms = [...deployment.vms.keys()]
    const ids = Array.from({ length: 8 }, (_, index) => `dispatch-${index}`)
    const dispatch = async (id: string, vm: string): Promise<CallerTrace> => await order(id, 'pond-1', vm, 5, 'dispatch')
    const first = await Promise.all(ids.map(async (id, index) => await dispatch(id, vms[index % vms.length] ?? '')))
    for (const trace of first) expect(trace.answer?.outcome, describeAnswer(trace)).to.equal('answered')
    const expectSame = async (): Promise<void> => {
      for (const [index, id] of ids.entries()) {
        const repeat = await dispatch(id, vms[(index + 1) % vms.length] ?? '')
        expect(repeat.answer?.body, describeAnswer(repeat)).to.equal(first[index]?.answer?.body)
      }
    }
    await expectSame()
    const before = await collectRecords(deployment, ['dispatch-1'])
    await deployment.endpoints.get('dispatch-1')?.process.kill()
    await waitFor('the other endpoint has every bucket', 10_000, async () => (await dispatch(`new-${Date.now()}`, 'vm-1')).answer?.outcome === 'answered')
    await pause(1000)
    await expectSame()
    const records = joinRecords(before, await collectRecords(deployment, ['ponds-1', 'ponds-2', 'ponds-3', 'dispatch-2']))
    for (const id of ids) expect(await effectsOf(id, records), id).to.equal(1)
    expect(breachesOf(records, sent)).to.deep.equal([])
  })
})
