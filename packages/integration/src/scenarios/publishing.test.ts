import { execFile } from 'node:child_process'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { collectRecords, dataCentres, Deployment, executables, smallAtlas, Traffic, waitFor } from '../bed/index.js'
import { breachesOf, describeTraces, observeEndpoints, observeOwners, observeRules, pause, printedSeed, readControlStream, summarizeTraces } from '../bed/observation.js'

const inForceMilliseconds = 16_000 // stated target for a configuration change
const refusedExitCode = 1

interface CommandResult {
  readonly code: number
  readonly stdout: string
  readonly stderr: string
}

describe('Publishing rules', function () {
  this.timeout(90_000)
  let deployment: Deployment
  let directory: string

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'briarsaddle-publishing-'))
    deployment = new Deployment(smallAtlas({ logNamespaces: 'briarsaddle:*' }))
    await deployment.start()
  })

  after(async () => {
    await deployment.stop()
    await rm(directory, { recursive: true, force: true })
  })

  afterEach(function () {
    if (this.currentTest?.state === 'failed') console.log(deployment.logs().split('\n').slice(-150).join('\n'))
  })

  async function publishFile (file: string, author: string, base: number): Promise<CommandResult> {
    const args = [executables.cli, 'rules', 'publish', file, '--author', author, '--log-url', deployment.logUrl, '--base', String(base)]
    return await new Promise(resolve => {
      execFile(process.execPath, args, { timeout: 30_000 }, (error, stdout, stderr) => resolve({ code: error === null ? 0 : Number(error.code ?? -1), stdout, stderr }))
    })
  }

  it('lets exactly one of two operators win who publish at once, so that neither overwrites the other unseen', async () => {
    const traffic = new Traffic(deployment, { seed: printedSeed('the two operators'), name: 'operators' })
    const { text, version } = await observeRules(deployment, 'vm-1')
    const operators = ['leila', 'youssef'].map(author => ({
      author,
      file: join(directory, `${author}.txt`),
      text: `${text}GET /ponds/:pond/${author} pool=ponds key=path:pond idempotent class=normal deadline=5s # ${author}: wanted by both at once\n`
    }))
    for (const operator of operators) await writeFile(operator.file, operator.text)
    traffic.start()
    // Both commands read the log before either of their records is in it.
    await deployment.controlLog({ delayMilliseconds: 400 })
    const startedAt = Date.now()
    const pending = Promise.all(operators.map(async operator => ({ ...operator, ...await publishFile(operator.file, operator.author, version) })))
    const results = await pending
    await deployment.controlLog({ delayMilliseconds: 0 })
    expect(results.map(({ code }) => code).sort(), results.map(({ stderr }) => stderr).join('\n')).to.deep.equal([0, refusedExitCode])
    const winner = results.find(({ code }) => code === 0)
    const loser = results.find(({ code }) => code === refusedExitCode)
    await waitFor('the winner is in force on every VM', inForceMilliseconds, async () => {
      const known = await Promise.all([...deployment.vms.keys()].map(async vm => await observeRules(deployment, vm)))
      return known.every(rules => rules.text === winner?.text && rules.author === winner?.author)
    })
    const inForceAfter = Date.now() - startedAt
    console.log(`      in force everywhere ${inForceAfter} ms after the start of both commands; the other was told: ${loser?.stderr.trim()}`)
    expect(inForceAfter).to.be.at.most(inForceMilliseconds)
    expect(loser?.stdout).to.match(new RegExp(`^-\\d+: GET /ponds/:pond/${winner?.author} `, 'm'))
    expect(loser?.stdout).to.match(new RegExp(`^\\+\\d+: GET /ponds/:pond/${loser?.author} `, 'm'))
    expect(await readFile(loser?.file ?? '', 'utf8')).to.equal(loser?.text)
    const traces = await traffic.stop()
    console.log(`      ${summarizeTraces(traces)}`)
    expect(breachesOf(await collectRecords(deployment), traces)).to.deep.equal([])
  })

  it('keeps an accepted rule file and the bucket owners when every VM is replaced one by one', async () => {
    const seed = printedSeed('the replaced VMs')
    const { text, version } = await observeRules(deployment, 'vm-1')
    await deployment.publish(`${text}# accepted before the replacement\n`, version)
    await waitFor('vm-1 has the publication', inForceMilliseconds, async () => (await observeRules(deployment, 'vm-1')).version > version)
    const [rules, owners] = [await observeRules(deployment, 'vm-1'), await observeOwners(deployment, 'vm-1')]
    let vms: readonly string[] = [...deployment.vms.keys()]
    const traffic = new Traffic(deployment, { seed, name: 'replacement', vms: () => vms })
    traffic.start()
    const former = [...deployment.vms.values()]
    for (const [index, { plan, process }] of former.entries()) {
      const id = `replacement-${index + 1}`
      await deployment.startVm({ id, dataCentre: dataCentres[index] ?? 'dc-a' })
      await waitFor(`${id} has the rules`, inForceMilliseconds, async () => (await observeRules(deployment, id)).version === rules.version)
      await deployment.markLeaving(plan.id)
      vms = [...vms.filter(vm => vm !== plan.id), id]
      expect(await process.stop(), `exit code of ${plan.id}`).to.equal(0)
      await deployment.unlist(plan.id)
      await deployment.waitUntilServing()
    }
    await pause(500)
    const traces = await traffic.stop()
    const { read } = await readControlStream(deployment)
    const moves = read.flatMap(({ offset, record, voidReason }) => offset > rules.version && record.kind === 'assignment' && voidReason === undefined ? [`${record.moves.length} buckets at ${offset}`] : [])
    console.log(`      ${summarizeTraces(traces)}; moved: ${moves.join(', ') || 'none'}`)
    expect([...deployment.vms.keys()]).to.deep.equal(['replacement-1', 'replacement-2', 'replacement-3'])
    for (const vm of deployment.vms.keys()) {
      expect(await observeRules(deployment, vm), vm).to.deep.equal(rules)
      expect(await observeOwners(deployment, vm), vm).to.deep.equal(owners)
      expect([...(await observeEndpoints(deployment, vm)).values()].filter(({ coordinator }) => !deployment.vms.has(coordinator.vm))).to.deep.equal([])
    }
    expect(breachesOf(await collectRecords(deployment), traces)).to.deep.equal([])
    expect(describeTraces(traces.filter(({ answer }) => answer === undefined))).to.deep.equal([])
  })
})
