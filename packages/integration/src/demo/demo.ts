import { administrationToken, collectRecords, Deployment, endpointPlans, exampleRules, findBreaches, repositoryPath, runCli, sendTraced, Traffic, vmPlans, waitFor, type CallerAnswer, type CallerTrace, type ProgramResult } from '../bed/index.js'
import { ensure, type Narrator } from './narrator.js'

const rulesFile = 'examples/atlas/rules.txt'
const pond = 'pond-7'
// Shorter than the deadline of the rule, so that the demo stays short.
const reconciliationMilliseconds = 2000
// Time between the status requests beside the reconciliation.
const besideMilliseconds = 50
// Even a busy machine serves more; behind the reconciliation it would be none.
const leastBeside = 3
const trafficPerSecond = 60
// Section 1.5 of the design page: a key is served again within 1 s of a loss.
const longestUnavailableMilliseconds = 1000
// Section 1.2: no new work "after a few seconds".
const longestDrainMilliseconds = 5000
const observationMilliseconds = 2000

interface OwnerAnswer {
  readonly bucket: number
  readonly owner: string
  readonly coordinator: { readonly vm: string, readonly token: number, readonly standby?: string }
}

interface StateAnswer {
  readonly process: { readonly residentBytes: number }
  readonly control: {
    readonly log: { readonly position: number }
    readonly rules: { readonly version: number, readonly author: string }
    readonly witnesses: { readonly vms: readonly string[] }
    readonly sessions: ReadonlyArray<{ readonly endpoint: string, readonly state: string }>
    readonly endpoints: ReadonlyArray<{ readonly description: { readonly id: string }, readonly coordinator: { readonly vm: string }, readonly leaving: boolean, readonly buckets: number }>
  }
}

/** A tour of a small Atlas deployment. Every step throws when something does not go as the rules say. */
export class Demo {
  readonly #deployment = new Deployment({
    vms: vmPlans(4),
    endpoints: [...endpointPlans('ponds', 4), ...endpointPlans('dispatch', 2)],
    rules: exampleRules('atlas')
  })

  readonly #narrator: Narrator
  readonly #abort = new AbortController()
  readonly #traces: CallerTrace[] = []
  #entryVm = 'vm-1'

  constructor (narrator: Narrator) {
    this.#narrator = narrator
  }

  /** Runs all steps. Throws the reason when a step fails. */
  async run (): Promise<void> {
    await this.#start()
    await this.#sendRequests()
    await this.#repeatOrder()
    await this.#reconcile()
    await this.#askCommandLineTool()
    await this.#drainEndpoint()
    await this.#loseVm()
    await this.#checkRecords()
    await this.#stopGracefully()
  }

  /** Ends every process. Can be called at any time, also during `run`, which then fails. */
  async stop (): Promise<void> {
    this.#abort.abort()
    await this.#deployment.stop()
  }

  async #start (): Promise<void> {
    this.#say('Starting a log service, a VM list, 4 ponds endpoints, 2 dispatch endpoints and 4 briarsaddle VMs on loopback.')
    await this.#deployment.startProcesses()
    const published = await this.#cli('rules', 'publish', rulesFile, '--author', 'demo', '--log-url', this.#deployment.logUrl, '--json')
    const { version } = JSON.parse(published.stdout) as { readonly version: number }
    this.#say(`All processes run. The command-line tool published the Atlas rules (${rulesFile}) as version ${version}.`)
    const since = performance.now()
    await this.#deployment.waitUntilServing()
    this.#say(`${elapsed(since)} later the rules are in force on every VM, and all buckets and endpoints are served.`)
  }

  async #sendRequests (): Promise<void> {
    const requests = [['status', 'a sheet status request'], ['order', 'a flood order'], ['dispatch', 'a crew dispatch']] as const
    for (const [kind, name] of requests) {
      const trace = await sendTraced(this.#deployment, { id: `demo-${kind}`, kind, key: pond, vm: this.#entryVm })
      this.#traces.push(trace)
      const answer = expectAnswered(trace.answer, name)
      this.#say(`${this.#entryVm} took ${name}; endpoint ${endpointOf(answer)} answered ${answer.status} after ${trace.endedAt - trace.startedAt} ms.`)
    }
    const answer = await this.#deployment.call(this.#entryVm, 'DELETE', `/ponds/${pond}`)
    ensure(answer.status === 404 && answer.outcome === 'not-run' && answer.reason === 'no_rule', `a request without a rule was answered ${describe(answer)}`)
    this.#say(`A request without a rule was refused: ${describe(answer)}.`)
  }

  async #repeatOrder (): Promise<void> {
    const headers = { 'idempotency-key': 'demo-order-4711', 'x-test-request': 'demo-repeated-order' }
    const path = `/ponds/${pond}/flood-orders`
    const first = expectAnswered(await this.#deployment.call('vm-1', 'POST', path, { headers, body: 'flood' }), 'an order with an Idempotency-Key')
    const second = expectAnswered(await this.#deployment.call('vm-2', 'POST', path, { headers, body: 'flood' }), 'the repeated order')
    ensure(first.body === second.body, `the repeated order got another answer: ${first.body} and ${second.body}`)
    const { requests } = await this.#deployment.record(endpointOf(first))
    const effects = requests.filter(({ testRequest, result }) => testRequest === 'demo-repeated-order' && result === 'completed').length
    ensure(effects === 1, `the repeated order had ${effects} effects`)
    this.#say('The same flood order was sent twice with one Idempotency-Key, through two VMs. It ran once and both callers got the same answer.')
  }

  async #reconcile (): Promise<void> {
    const id = 'demo-reconciliation'
    const headers = { 'x-test-request': id, 'x-service-milliseconds': String(reconciliationMilliseconds) }
    const ended = new AbortController()
    const long = this.#deployment.call(this.#entryVm, 'POST', `/ponds/${pond}/season-reconciliation`, { headers, body: 'season' }).finally(() => ended.abort())
    // Awaited below; an interruption may reject it before.
    long.catch(() => {})
    const beside: CallerTrace[] = []
    while (!ended.signal.aborted) {
      const trace = await sendTraced(this.#deployment, { id: `demo-beside-${beside.length}`, kind: 'status', key: pond, vm: this.#entryVm })
      expectAnswered(trace.answer, 'a status request beside the reconciliation')
      beside.push(trace)
      await pause(besideMilliseconds)
    }
    this.#traces.push(...beside)
    const endpoint = endpointOf(expectAnswered(await long, 'the season reconciliation'))
    const { requests } = await this.#deployment.record(endpoint)
    const { start, end } = requests.find(({ testRequest }) => testRequest === id) ?? {}
    ensure(start !== undefined && end !== undefined, `${endpoint} has no record of the reconciliation`)
    const served = beside.filter(({ startedAt, endedAt }) => startedAt >= start.wall && endedAt <= end.wall)
    ensure(served.length >= leastBeside, `only ${served.length} status requests were served while the reconciliation of the same pond ran`)
    const slowest = Math.max(...served.map(({ startedAt, endedAt }) => endedAt - startedAt))
    this.#say(`${endpoint} ran a season reconciliation of ${pond} for ${seconds(end.wall - start.wall)}. Meanwhile it answered ${served.length} status requests for ${pond}, the slowest after ${slowest} ms.`)
  }

  async #askCommandLineTool (): Promise<void> {
    const [owner, match, state] = await Promise.all([
      this.#administer('owner', '--pool', 'ponds', '--key', pond),
      this.#administer('match', 'POST', `/ponds/${pond}/flood-orders`),
      this.#administer('state', '--json')
    ])
    this.#say(`"briarsaddle owner --pool ponds --key ${pond}" prints:`)
    this.#narrator.quote(owner.stdout)
    this.#say(`"briarsaddle match POST /ponds/${pond}/flood-orders" prints:`)
    this.#narrator.quote(match.stdout)
    const { process, control } = JSON.parse(state.stdout) as StateAnswer
    this.#say(`"briarsaddle state" of ${this.#entryVm}: log position ${control.log.position}, rules version ${control.rules.version} by ${control.rules.author}, witnesses ${control.witnesses.vms.join(' ')}, ` +
      `coordinator of ${control.sessions.map(({ endpoint }) => endpoint).join(' ') || 'no endpoint'}, ${Math.round(process.residentBytes / 1024 / 1024)} MB in use.`)
  }

  async #drainEndpoint (): Promise<void> {
    const { owner } = await this.#owner()
    const startedAt = Date.now()
    await this.#administer('drain', owner, '--author', 'demo')
    const drainedAt = performance.now()
    await waitFor(`${owner} is drained`, 2 * longestDrainMilliseconds, async () => {
      const { control } = await this.#state()
      return control.endpoints.every(({ description, leaving, buckets }) => description.id !== owner || (leaving && buckets === 0))
    })
    const milliseconds = performance.now() - drainedAt
    ensure(milliseconds <= longestDrainMilliseconds, `draining ${owner} took ${seconds(milliseconds)}`)
    const trace = await sendTraced(this.#deployment, { id: 'demo-after-drain', kind: 'order', key: pond, vm: this.#entryVm })
    this.#traces.push(trace)
    const answer = expectAnswered(trace.answer, 'a flood order after the drain')
    ensure(endpointOf(answer) !== owner, `${owner} is drained but answered an order`)
    this.#say(`"briarsaddle drain ${owner}": ${seconds(milliseconds)} after the command it owned no bucket any more. A flood order for ${pond} went to ${endpointOf(answer)}.`)
    await this.#deployment.markLeaving(owner)
    const late = (await this.#deployment.record(owner)).requests.filter(({ start }) => start.wall > startedAt + longestDrainMilliseconds)
    ensure(late.length === 0, `${owner} got ${late.length} requests after it was drained`)
  }

  async #loseVm (): Promise<void> {
    const { owner, coordinator: { vm: lost } } = await this.#owner()
    const remaining = [...this.#deployment.vms.keys()].filter(vm => vm !== lost)
    this.#entryVm = remaining[0] ?? this.#entryVm
    const traffic = new Traffic(this.#deployment, { seed: 1, perSecond: trafficPerSecond, vms: () => remaining })
    this.#say(`Callers now send ${trafficPerSecond} requests/s through ${remaining.join(', ')}.`)
    traffic.start()
    try {
      await pause(1000)
      const killedAt = performance.now()
      await this.#deployment.vms.get(lost)?.process.kill()
      const probe = await sendTraced(this.#deployment, { id: 'demo-after-loss', kind: 'status', key: pond, vm: this.#entryVm })
      const milliseconds = performance.now() - killedAt
      this.#traces.push(probe)
      expectAnswered(probe.answer, `a status request for ${pond} after the loss of ${lost}`)
      this.#say(`Killed ${lost}, which coordinated ${owner}, the owner of ${pond}. A status request for ${pond} was answered ${seconds(milliseconds)} later.`)
      ensure(milliseconds <= longestUnavailableMilliseconds, `${pond} was served again only after ${seconds(milliseconds)}`)
      await pause(observationMilliseconds)
      const { control } = await this.#state()
      const coordinator = control.endpoints.find(({ description }) => description.id === owner)?.coordinator
      ensure(coordinator !== undefined && coordinator.vm !== lost, `${lost} is lost and still coordinates ${owner}`)
      this.#say(`${coordinator.vm} is the new coordinator of ${owner}.`)
      await this.#deployment.unlist(lost)
    } finally {
      this.#report(await traffic.stop())
    }
  }

  #report (traces: readonly CallerTrace[]): void {
    this.#traces.push(...traces)
    const count = (outcome: string): number => traces.filter(({ answer }) => answer?.outcome === outcome).length
    const broken = traces.filter(({ answer }) => answer === undefined).length
    this.#say(`Of ${traces.length} requests before, during and after the loss, ${count('answered')} were answered, ${count('not-run')} were refused as not run, ${count('unknown')} have an unknown outcome and ${broken} got no answer.`)
  }

  async #checkRecords (): Promise<void> {
    const unanswered = this.#traces.filter(({ answer }) => answer === undefined)
    ensure(unanswered.length === 0, `${unanswered.length} requests through running VMs got no answer, first ${unanswered[0]?.id}`)
    const breaches = findBreaches(await collectRecords(this.#deployment), this.#traces)
    ensure(breaches.length === 0, `the records of the endpoints show: ${breaches.join('; ')}`)
    this.#say('The records of all endpoints agree: no bucket had two owners, nothing ran twice, nothing reported as not run had run, and every answer belongs to its request.')
  }

  /** Stops one VM as an upgrade does: it hands its endpoints to the VMs that still run. */
  async #stopGracefully (): Promise<void> {
    const vm = [...this.#deployment.vms.values()].find(({ plan }) => plan.id !== this.#entryVm)
    ensure(vm !== undefined, 'no VM is left to stop')
    const since = performance.now()
    const code = await vm.process.stop()
    ensure(code === 0, `${vm.plan.id} exited with ${code}`)
    this.#say(`Stopped ${vm.plan.id} gracefully as for an upgrade; it took ${elapsed(since)} to hand over and exit.`)
    await this.#deployment.unlist(vm.plan.id)
    const trace = await sendTraced(this.#deployment, { id: 'demo-after-stop', kind: 'order', key: pond, vm: this.#entryVm })
    const answer = expectAnswered(trace.answer, 'a flood order after the stop')
    this.#say(`${this.#entryVm} took a flood order after that; ${endpointOf(answer)} answered after ${trace.endedAt - trace.startedAt} ms. Stopping everything else.`)
  }

  async #owner (): Promise<OwnerAnswer> {
    return JSON.parse((await this.#administer('owner', '--pool', 'ponds', '--key', pond, '--json')).stdout) as OwnerAnswer
  }

  /** Polls without starting a program each time. */
  async #state (): Promise<StateAnswer> {
    return await this.#deployment.state(this.#entryVm) as unknown as StateAnswer
  }

  /** Runs a command against the administration of the entry VM. */
  async #administer (...args: readonly string[]): Promise<ProgramResult> {
    const address = this.#deployment.vms.get(this.#entryVm)?.administration
    return await this.#cli(...args, '--address', `http://${address?.host}:${address?.port}`)
  }

  async #cli (...args: readonly string[]): Promise<ProgramResult> {
    const absolute = args.map(argument => argument === rulesFile ? repositoryPath(argument) : argument)
    const result = await runCli(absolute, { environment: { BRIARSADDLE_TOKEN: administrationToken }, signal: this.#abort.signal })
    ensure(result.code === 0, `"briarsaddle ${args.join(' ')}" exited with ${result.code}: ${result.stderr.trim()}`)
    return result
  }

  #say (sentence: string): void {
    this.#narrator.say(sentence)
  }
}

function expectAnswered (answer: CallerAnswer | undefined, what: string): CallerAnswer {
  ensure(answer?.outcome === 'answered' && answer.status === 200, `${what} was not answered: ${answer === undefined ? 'the connection broke' : describe(answer)}`)
  return answer
}

function endpointOf (answer: CallerAnswer): string {
  return (JSON.parse(answer.body) as { readonly endpoint: string }).endpoint
}

function describe ({ status, outcome, reason }: CallerAnswer): string {
  return `status ${status}, outcome "${outcome}", reason "${reason}"`
}

function seconds (milliseconds: number): string {
  return `${(milliseconds / 1000).toFixed(2)} s`
}

function elapsed (since: number): string {
  return seconds(performance.now() - since)
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}
