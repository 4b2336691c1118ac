import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'chai'
import { breachesOf, coordinators, describeTraces, runFailure, smallAtlas, startSpread, summarizeTraces, Traffic, vmPlans, type Deployment } from '../bed/index.js'

// Stated target: a key is served again within 1 s of a loss.
const servedAgainMilliseconds = 1_000
const rightMilliseconds = 500
// Longer than a lease, and long enough that requests end which began after the cut was noticed.
const cutMilliseconds = 4_000
// A silent peer is noticed within 1 s, and a place that refuses is waited for up to 2 s (`longestRelocationMilliseconds`).
const promptMilliseconds = 3_500
const separated = 'vm-3'

interface RightState {
  readonly control: { readonly rights: { readonly logRightMilliseconds: number } }
}

describe('A VM cut off from the other VMs and the log in both directions', function () {
  this.timeout(60_000)
  let deployment: Deployment

  before(async () => { deployment = await startSpread(smallAtlas({ vms: vmPlans(3), proxies: true, separable: separated, logNamespaces: 'briarsaddle:*' })) })

  after(async () => await deployment.stop())

  it('answers its callers truthfully and promptly without a right, so that a VM alone neither gives orders nor keeps callers waiting', async () => {
    expect([...(await coordinators(deployment)).values()], 'coordinators').to.include(separated)
    const callers = new Traffic(deployment, { seed: 601, name: 'separated', vms: () => [separated], perSecond: 60 })
    let [cutAt, healedAt, rightLeft] = [0, 0, Infinity]
    callers.start()
    const result = await runFailure(deployment, {
      seed: 601,
      cause: async ({ avoid }) => {
        avoid(separated)
        await deployment.controlSeparable({ mode: 'silence-all' })
        cutAt = Date.now()
        await delay(rightMilliseconds)
        rightLeft = (await deployment.state(separated) as unknown as RightState).control.rights.logRightMilliseconds
        await delay(cutMilliseconds - rightMilliseconds)
        healedAt = Date.now()
        await deployment.controlSeparable({ mode: 'pass' })
      }
    })
    const traces = await callers.stop()
    const during = traces.filter(({ startedAt }) => startedAt >= cutAt && startedAt < healedAt)
    const slowest = Math.max(...during.map(({ startedAt, endedAt }) => endedAt - startedAt))
    const sentLate = [...result.records.values()].flatMap(({ requests }) => requests)
      .filter(({ coordinator, start }) => coordinator?.startsWith(`${separated}/`) === true && start.wall > cutAt + rightMilliseconds && start.wall < healedAt)
    console.log(`      ${result.summary}; during the cut through ${separated}: ${summarizeTraces(during)}, slowest ${slowest} ms; after it: ${summarizeTraces(traces.filter(({ startedAt }) => startedAt >= healedAt))}`)
    expect([...result.breaches, ...breachesOf(result.records, traces)]).to.deep.equal([])
    expect(result.worstKey().milliseconds, 'keys through the other VMs').to.be.at.most(servedAgainMilliseconds)
    expect(rightLeft, 'rest of the right 500 ms after the cut').to.be.at.most(0)
    expect(sentLate.map(({ testRequest }) => testRequest), 'requests sent without a right').to.deep.equal([])
    expect(describeTraces(during.filter(({ answer, startedAt, endedAt }) => answer === undefined || (answer.outcome === 'answered' && startedAt > cutAt + rightMilliseconds && endedAt < healedAt))), 'answered without a right, or not at all').to.deep.equal([])
    expect(during.filter(({ answer }) => answer !== undefined && answer.outcome !== 'answered' && answer.headers['retry-after'] === undefined).map(({ id }) => id), 'answers without Retry-After').to.deep.equal([])
    expect(describeTraces(during.filter(({ startedAt, endedAt }) => endedAt - startedAt > promptMilliseconds))).to.deep.equal([])
    expect(describeTraces(traces.filter(({ startedAt, answer }) => startedAt > healedAt + servedAgainMilliseconds && answer?.outcome !== 'answered')), 'after the cut').to.deep.equal([])
  })

  it('takes part again after the cut, so that the majority still holds when another VM is lost', async () => {
    await deployment.waitUntilServing()
    const lost = (await coordinators(deployment, separated)).get('ponds-1') === 'vm-1' ? 'vm-1' : 'vm-2'
    const result = await runFailure(deployment, {
      seed: 602,
      cause: async ({ avoid }) => {
        for (const vm of deployment.vms.keys()) if (vm !== separated) avoid(vm)
        await deployment.vms.get(lost)?.process.kill()
      }
    })
    console.log(`      ${lost} lost; ${result.summary}`)
    expect(result.breaches).to.deep.equal([])
    expect(result.worstKey().milliseconds).to.be.at.most(servedAgainMilliseconds)
  })
})
