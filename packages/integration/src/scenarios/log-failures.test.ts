import { randomUUID } from 'node:crypto'
import { expect } from 'chai'
import { request } from 'undici'
import { collectRecords, Deployment, longestGap, smallAtlas, Traffic, waitFor, type DeploymentPlan } from '../bed/index.js'
import { breachesOf, describeTraces, joinRecords, observeEndpoints, observeOwners, observeRules, pause, printedSeed, readControlStream, summarizeTraces } from '../bed/observation.js'

const servedAgainMilliseconds = 1000 // stated target after a loss
const promptMilliseconds = 1000 // far below the deadlines of 2 s to 30 s, and no longer than a repair may take
const publicationMilliseconds = 16_000 // a change must be in force everywhere within 16 s
const outageMilliseconds = 3000 // longer than the lease (500 ms) and the grant (400 ms)

let deployment: Deployment

/** Starts a deployment for the enclosing suite, and prints its logs after a failed test. */
function useDeployment (overrides: Partial<DeploymentPlan> = {}): void {
  before(async () => {
    deployment = new Deployment(smallAtlas({ logNamespaces: 'briarsaddle:*', ...overrides }))
    await deployment.start()
  })

  after(async () => await deployment.stop())

  afterEach(function () {
    if (this.currentTest?.state === 'failed') console.log(deployment.logs().split('\n').slice(-150).join('\n'))
  })
}

describe('Failures of the log', function () {
  this.timeout(60_000)
  useDeployment()

  it('goes on serving while the log is down and keeps what was accepted, so that rights do not depend on one log read', async () => {
    const traffic = new Traffic(deployment, { seed: printedSeed('the outage'), name: 'outage' })
    const [rules, owners] = [await observeRules(deployment, 'vm-1'), await observeOwners(deployment, 'vm-1')]
    traffic.start()
    await pause(500)
    await deployment.controlLog({ outage: true })
    await pause(outageMilliseconds)
    await deployment.controlLog({ outage: false })
    await pause(1000)
    const traces = await traffic.stop()
    console.log(`      ${summarizeTraces(traces)}`)
    expect(describeTraces(traces.filter(({ answer }) => answer?.outcome !== 'answered'))).to.deep.equal([])
    expect(describeTraces(traces.filter(({ startedAt, endedAt }) => endedAt - startedAt > promptMilliseconds))).to.deep.equal([])
    expect(breachesOf(await collectRecords(deployment), traces)).to.deep.equal([])
    for (const vm of deployment.vms.keys()) {
      expect(await observeRules(deployment, vm), vm).to.deep.equal(rules)
      expect(await observeOwners(deployment, vm), vm).to.deep.equal(owners)
    }
    const text = `${rules.text}\nGET /ponds/:pond/after-outage pool=ponds key=path:pond idempotent class=normal deadline=5s # Leila Benjelloun: published after the outage\n`
    await deployment.publish(text, rules.version)
    await waitFor('every VM has the rules published after the outage', 16_000, async () => (await Promise.all([...deployment.vms.keys()].map(async vm => await observeRules(deployment, vm)))).every(known => known.text === text))
  })

  it('replaces a coordinator provisionally while the log is down and records it afterwards, so that a loss in an outage does not stop its keys', async () => {
    const endpoints = await observeEndpoints(deployment, 'vm-1')
    const lost = [...endpoints.values()].find(({ description }) => description.pool === 'ponds')?.coordinator.vm ?? ''
    const affected = new Set([...endpoints.values()].filter(({ coordinator }) => coordinator.vm === lost).map(({ description }) => description.id))
    const owners = await observeOwners(deployment, 'vm-1')
    let vms = [...deployment.vms.keys()]
    const traffic = new Traffic(deployment, { seed: printedSeed('the lost coordinator'), name: 'coordinator', vms: () => vms })
    traffic.start()
    await deployment.controlLog({ outage: true })
    await pause(1500)
    vms = vms.filter(vm => vm !== lost)
    const lostAt = Date.now()
    await deployment.vms.get(lost)?.process.kill()
    await pause(outageMilliseconds)
    const outageEndsAt = Date.now()
    const gap = longestGap(traffic.traces, lostAt, outageEndsAt, ({ kind, key }) => kind !== 'dispatch' && affected.has(owners.get(key)?.owner ?? ''))
    await deployment.controlLog({ outage: false })
    const survivor = vms[0] ?? ''
    await waitFor('records name the new coordinators', 10_000, async () => [...(await observeEndpoints(deployment, survivor)).values()].every(({ coordinator }) => coordinator.vm !== lost))
    await pause(1000)
    const traces = await traffic.stop()
    console.log(`      keys of ${[...affected].join(', ')} were unavailable for ${gap} ms; ${summarizeTraces(traces)}`)
    expect(breachesOf(await collectRecords(deployment), traces)).to.deep.equal([])
    expect(gap).to.be.at.most(servedAgainMilliseconds)
    const { state } = await readControlStream(deployment)
    expect([...state?.endpoints.values() ?? []].filter(({ coordinator }) => coordinator.vm === lost)).to.deep.equal([])
    expect(describeTraces(traces.filter(({ startedAt, answer }) => startedAt > outageEndsAt + servedAgainMilliseconds && answer?.outcome !== 'answered'))).to.deep.equal([])
  })
})

describe('Losses of endpoints while the log fails', function () {
  this.timeout(60_000)
  useDeployment()

  it('refuses the keys of an endpoint that is lost while the log is down at once and serves them after its return', async () => {
    const lost = 'ponds-1'
    const owners = await observeOwners(deployment, 'vm-1')
    const isAffected = ({ kind, key }: { readonly kind: string, readonly key: string }): boolean => kind !== 'dispatch' && owners.get(key)?.owner === lost
    const traffic = new Traffic(deployment, { seed: printedSeed('the lost endpoint'), name: 'endpoint' })
    traffic.start()
    await deployment.controlLog({ outage: true })
    await pause(1000)
    const before = await collectRecords(deployment, [lost])
    const lostAt = Date.now()
    await deployment.endpoints.get(lost)?.process.kill()
    await pause(outageMilliseconds)
    const outageEndsAt = Date.now()
    await deployment.controlLog({ outage: false })
    await pause(3000)
    const endedAt = Date.now()
    const traces = await traffic.stop()
    const records = joinRecords(before, await collectRecords(deployment, [...deployment.endpoints.keys()].filter(id => id !== lost)))
    const refused = traces.filter(trace => isAffected(trace) && trace.startedAt > lostAt + servedAgainMilliseconds && trace.endedAt < outageEndsAt)
    const gap = longestGap(traces, outageEndsAt, endedAt, isAffected)
    console.log(`      during the outage: ${summarizeTraces(refused)}; served ${gap} ms after the return of the log; ${summarizeTraces(traces)}`)
    expect(breachesOf(records, traces)).to.deep.equal([])
    expect(refused).to.have.length.above(10)
    expect(describeTraces(refused.filter(({ answer }) => !['not-run', 'unknown'].includes(answer?.outcome ?? '') || answer?.headers['retry-after'] === undefined))).to.deep.equal([])
    const slow = traces.filter(trace => isAffected(trace) && trace.startedAt > lostAt + servedAgainMilliseconds && trace.startedAt < outageEndsAt && trace.endedAt - trace.startedAt > promptMilliseconds)
    expect(describeTraces(slow)).to.deep.equal([])
    expect(describeTraces(traces.filter(trace => !isAffected(trace) && trace.answer?.outcome !== 'answered'))).to.deep.equal([])
    expect(gap).to.be.at.most(servedAgainMilliseconds)
  })

  it('applies every record once when the log is slow and loses answers during a loss', async () => {
    const lost = 'ponds-2'
    const owners = await observeOwners(deployment, 'vm-1')
    await deployment.unlist('ponds-1') // lost in the test before
    const { state } = await readControlStream(deployment)
    const traffic = new Traffic(deployment, { seed: printedSeed('the slow log'), name: 'slow' })
    traffic.start()
    await deployment.controlLog({ delayMilliseconds: 1500, loseAnswers: 4 })
    await pause(1000)
    const before = await collectRecords(deployment, [lost])
    await deployment.endpoints.get(lost)?.process.kill()
    await pause(6000)
    await deployment.controlLog({ delayMilliseconds: 0, loseAnswers: 2 })
    await waitFor('the keys of the lost endpoint have another owner', 10_000, async () => [...(await observeOwners(deployment, 'vm-1')).values()].every(({ owner, pendingFrom }) => owner !== lost && pendingFrom === null))
    await pause(1000)
    const healedAt = Date.now()
    await pause(1000)
    const traces = await traffic.stop()
    const records = joinRecords(before, await collectRecords(deployment, [...deployment.endpoints.keys()].filter(id => id !== lost)))
    const { read } = await readControlStream(deployment)
    const added = read.filter(({ offset }) => offset > (state?.position ?? -1))
    const effective = added.filter(({ voidReason }) => voidReason === undefined)
    console.log(`      ${added.length} records, ${effective.length} effective; ${summarizeTraces(traces)}`)
    expect(breachesOf(records, traces)).to.deep.equal([])
    const ids = effective.map(({ record }) => record.id)
    expect(new Set(ids).size).to.equal(ids.length)
    const moved = effective.flatMap(({ record }) => record.kind === 'assignment' ? record.moves.map(({ bucket }) => bucket) : [])
    const lostBuckets = new Set([...owners.values()].filter(({ owner }) => owner === lost).map(({ bucket }) => bucket))
    for (const bucket of lostBuckets) expect(moved.filter(other => other === bucket), `moves of bucket ${bucket}`).to.have.length(1)
    const known = await Promise.all([...deployment.vms.keys()].map(async vm => await observeOwners(deployment, vm)))
    for (const other of known) expect(other).to.deep.equal(known[0])
    expect(describeTraces(traces.filter(({ startedAt, answer }) => startedAt > healedAt && answer?.outcome !== 'answered'))).to.deep.equal([])
  })
})

describe('Newcomer VMs when the log cannot tell the state', function () {
  this.timeout(60_000)
  useDeployment({ retainRecords: 40 })

  async function startNewcomer (id: string, dataCentre: string): Promise<void> {
    const [rules, owners] = [await observeRules(deployment, 'vm-1'), await observeOwners(deployment, 'vm-1')]
    const startedAt = Date.now()
    await deployment.startVm({ id, dataCentre })
    await waitFor(`${id} has rules`, 15_000, async () => (await observeRules(deployment, id)).version === rules.version)
    console.log(`      ${id} had the state ${Date.now() - startedAt} ms after its start`)
    expect(await observeRules(deployment, id)).to.deep.equal(rules)
    expect(await observeOwners(deployment, id)).to.deep.equal(owners)
  }

  async function serveThrough (vm: string, seed: number): Promise<void> {
    const traffic = new Traffic(deployment, { seed, vms: () => [vm], name: vm })
    traffic.start()
    await pause(1000)
    const traces = await traffic.stop()
    console.log(`      through ${vm}: ${summarizeTraces(traces)}`)
    const answered = new Set(traces.filter(({ answer }) => answer?.outcome === 'answered').map(({ kind }) => kind))
    expect([...answered].sort()).to.deep.equal(['dispatch', 'order', 'status'])
    expect(breachesOf(await collectRecords(deployment), traces)).to.deep.equal([])
  }

  it('takes the state from a peer when the log has discarded every record, so that an empty log is not taken for a first start', async () => {
    const seed = printedSeed('the empty log')
    await deployment.controlLog({ forgetBefore: 1_000_000 })
    await startNewcomer('vm-4', 'dc-a')
    await serveThrough('vm-4', seed)
    const { text, version } = await observeRules(deployment, 'vm-4')
    const startedAt = Date.now()
    await waitFor('an operator can publish again', publicationMilliseconds, async () => (await deployment.publish(`${text}# after the loss of all records\n`, version)).length > 0)
    console.log(`      published ${Date.now() - startedAt} ms after the newcomer served`)
    await waitFor('every VM has the publication', publicationMilliseconds, async () => (await Promise.all([...deployment.vms.keys()].map(async vm => await observeRules(deployment, vm)))).every(known => known.version > version))
  })

  it('takes the state from a peer while the log is down', async () => {
    const seed = printedSeed('the newcomer in an outage')
    await deployment.controlLog({ outage: true })
    try {
      await startNewcomer('vm-5', 'dc-b')
      await serveThrough('vm-5', seed)
    } finally {
      await deployment.controlLog({ outage: false })
    }
  })

  it('starts from a checkpoint when the log retains only the newest records', async () => {
    const seed = printedSeed('the short log')
    // Records with an outdated base have no effect but push older ones out of the log.
    for (let count = 0; count < 45; count++) await appendVoidRecord()
    await pause(1000)
    const { first } = await retained()
    expect(first).to.be.above(0)
    await startNewcomer('vm-6', 'dc-c')
    await serveThrough('vm-6', seed)
  })
})

async function appendVoidRecord (): Promise<void> {
  const record = { id: randomUUID(), kind: 'endpointRemoved', base: 0, endpoint: 'not-known' }
  const response = await request(`${deployment.logUrl}/streams/control/records`, { method: 'POST', body: JSON.stringify(record) })
  expect(response.statusCode).to.equal(201)
  await response.body.dump()
}

async function retained (): Promise<{ readonly first: number, readonly next: number }> {
  const response = await request(`${deployment.logUrl}/_control`)
  const { streams } = await response.body.json() as { readonly streams: { readonly control: { readonly first: number, readonly next: number } } }
  return streams.control
}
