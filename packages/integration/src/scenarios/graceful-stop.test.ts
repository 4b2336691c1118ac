import { execFile } from 'node:child_process'
import { expect } from 'chai'
import { administrationToken, collectRecords, Deployment, endpointPlans, executables, sendTraced, smallAtlas, Traffic, waitFor, type CallerTrace, type Records } from '../bed/index.js'
import { breachesOf, describeTraces, observeEndpoints, observeOwners, pause, printedSeed, summarizeTraces } from '../bed/observation.js'

const newWorkEndsMilliseconds = 5000 // a leaving endpoint receives no new work after a few seconds
const serviceMilliseconds = 40
const longServiceMilliseconds = 1500

describe('Graceful stops under load', function () {
  this.timeout(60_000)
  let deployment: Deployment

  before(async () => {
    deployment = new Deployment(smallAtlas({
      endpoints: [...endpointPlans('ponds', 3, { serviceMilliseconds }), ...endpointPlans('dispatch', 2, { serviceMilliseconds })],
      logNamespaces: 'briarsaddle:*'
    }))
    await deployment.start()
  })

  after(async () => await deployment.stop())

  afterEach(function () {
    if (this.currentTest?.state === 'failed') console.log(deployment.logs().split('\n').slice(-150).join('\n'))
  })

  /** Requests that started at the endpoint later than the given wall clock time. */
  function startedAfter (records: Records, endpoint: string, time: number): readonly string[] {
    return (records.get(endpoint)?.requests ?? []).filter(({ start }) => start.wall > time).map(({ testRequest, start }) => `${testRequest} started ${start.wall - time} ms later`)
  }

  async function drainWithCommand (endpoint: string, vm: string): Promise<void> {
    const { host, port } = deployment.vms.get(vm)?.administration ?? { host: '', port: 0 }
    await new Promise<void>((resolve, reject) => {
      execFile(process.execPath, [executables.cli, 'drain', endpoint, '--author', 'leila', '--address', `http://${host}:${port}`], { timeout: 20_000, env: { ...process.env, BRIARSADDLE_TOKEN: administrationToken } }, (error, _stdout, stderr) => {
        if (error === null) resolve()
        else reject(new Error(`drain failed: ${stderr}`))
      })
    })
  }

  it('moves the work away from endpoints that leave by the command and by the VM list without a failed request', async () => {
    const leaving = ['ponds-1', 'dispatch-1']
    const traffic = new Traffic(deployment, { seed: printedSeed('the leaving endpoints'), perSecond: 60, name: 'drain' })
    traffic.start()
    await pause(500)
    await drainWithCommand('ponds-1', 'vm-1')
    await deployment.markLeaving('dispatch-1')
    const leavingAt = Date.now()
    await pause(newWorkEndsMilliseconds + 1500)
    const traces = await traffic.stop()
    const records = await collectRecords(deployment)
    const last = leaving.map(id => `${id} after ${Math.round(Math.max(0, ...(records.get(id)?.requests ?? []).map(({ start }) => start.wall - leavingAt)))} ms`)
    console.log(`      last requests started at ${last.join(', ')}; ${summarizeTraces(traces)}`)
    for (const id of leaving) expect(startedAfter(records, id, leavingAt + newWorkEndsMilliseconds), id).to.deep.equal([])
    expect(describeTraces(traces.filter(({ answer }) => answer?.outcome !== 'answered'))).to.deep.equal([])
    expect(breachesOf(records, traces)).to.deep.equal([])
    const owners = await observeOwners(deployment, 'vm-1')
    expect([...owners.values()].filter(({ owner, pendingFrom }) => owner === 'ponds-1' || pendingFrom !== null)).to.deep.equal([])
    expect((await observeEndpoints(deployment, 'vm-1')).get('ponds-1')?.buckets).to.equal(0)
  })

  it('finishes the requests in flight and hands over its endpoints when a VM stops', async () => {
    const seed = printedSeed('the stopping VM')
    const endpoints = [...(await observeEndpoints(deployment, 'vm-1')).values()]
    const stopping = endpoints.find(({ description }) => description.id === 'ponds-2')?.coordinator.vm ?? ''
    let vms: readonly string[] = [...deployment.vms.keys()]
    const traffic = new Traffic(deployment, { seed, perSecond: 60, name: 'stop', vms: () => vms })
    traffic.start()
    await pause(1000)
    const owners = await observeOwners(deployment, 'vm-1')
    const keyOf = (endpoint: string): string => [...owners].find(([, { owner }]) => owner === endpoint)?.[0] ?? ''
    // Run at endpoints of the stopping VM while it stops, one through itself and one through another VM.
    const long: ReadonlyArray<Promise<CallerTrace>> = [
      { id: 'long-own', kind: 'order' as const, key: keyOf('ponds-2'), vm: stopping },
      { id: 'long-other', kind: 'order' as const, key: keyOf('ponds-3'), vm: vms.find(vm => vm !== stopping) ?? '' }
    ].map(async request => await sendTraced(deployment, request, { 'x-service-milliseconds': String(longServiceMilliseconds) }))
    await pause(300)
    vms = vms.filter(vm => vm !== stopping)
    const stoppedAt = Date.now()
    const code = await deployment.vms.get(stopping)?.process.stop()
    const took = Date.now() - stoppedAt
    await deployment.unlist(stopping)
    await pause(1500)
    const longTraces = await Promise.all(long)
    const traces = [...await traffic.stop(), ...longTraces]
    console.log(`      ${stopping} stopped after ${took} ms; ${summarizeTraces(traces)}`)
    expect(code).to.equal(0)
    const sentBefore = traces.filter(({ startedAt }) => startedAt <= stoppedAt)
    expect(describeTraces(sentBefore.filter(({ answer }) => answer === undefined))).to.deep.equal([])
    expect(describeTraces(sentBefore.filter(({ kind, answer }) => kind !== 'status' && answer?.outcome !== 'answered'))).to.deep.equal([])
    expect(describeTraces(longTraces.filter(({ answer }) => answer?.outcome !== 'answered'))).to.deep.equal([])
    expect(breachesOf(await collectRecords(deployment), traces)).to.deep.equal([])
    const remaining = vms[0] ?? ''
    await waitFor('no endpoint names the stopped VM', 5000, async () => [...(await observeEndpoints(deployment, remaining)).values()].every(({ coordinator }) => coordinator.vm !== stopping))
  })
})
