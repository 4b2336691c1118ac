import { execFile } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { promisify } from 'node:util'
import { Agent, request } from 'undici'
import { executables } from './paths.js'
import { ManagedProcess } from './managed-process.js'
import type { EndpointRecordData, FaultSettings, LogControl } from './stand-in-data.js'

const run = promisify(execFile)

/** Address of a listening process. */
export interface ListeningAddress {
  readonly host: string
  readonly port: number
}

/** One endpoint of a deployment. */
export interface EndpointPlan {
  readonly id: string
  readonly pool: string
  readonly dataCentre: string
  readonly slots?: number
  readonly checks?: boolean
  readonly serviceMilliseconds?: number
  readonly coldStartMilliseconds?: number
}

/** One VM of a deployment. */
export interface VmPlan {
  readonly id: string
  readonly dataCentre: string
}

/** What a deployment consists of. */
export interface DeploymentPlan {
  readonly vms: readonly VmPlan[]
  readonly endpoints: readonly EndpointPlan[]
  readonly rules: string
  /** Puts a fault proxy before the log for each VM, before each VM's inner port and before each endpoint. */
  readonly proxies?: boolean
  /** With `proxies`: a VM that reaches each other VM through a proxy of its own, so that it can be cut off in both directions. */
  readonly separable?: string
  readonly retainRecords?: number
  readonly vmListLagMilliseconds?: number
  /** Time between polls of the VM list by each VM. Default 200, so that tests do not wait for the list. */
  readonly vmListMilliseconds?: number
  /** Further TOML for every VM, for example `[experiments]`. */
  readonly extraSettings?: string
  /** Log namespaces of the VMs. */
  readonly logNamespaces?: string
}

/** A running VM. */
export interface RunningVm {
  readonly plan: VmPlan
  readonly process: ManagedProcess
  readonly callers: ListeningAddress
  readonly inner: ListeningAddress
  readonly administration: ListeningAddress
  readonly innerProxy: RunningProxy | undefined
  readonly logProxy: RunningProxy | undefined
}

/** A running endpoint. */
export interface RunningEndpoint {
  readonly plan: EndpointPlan
  readonly process: ManagedProcess
  readonly address: ListeningAddress
  readonly proxy: RunningProxy | undefined
}

/** A running fault proxy. A relay of another kind has no process of its own and cannot be controlled. */
export interface RunningProxy {
  readonly process?: ManagedProcess
  readonly address: ListeningAddress
  readonly control?: ListeningAddress
}

/** Answer to a caller. */
export interface CallerAnswer {
  readonly status: number
  readonly outcome: string
  readonly reason: string
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: string
}

/** Token of the administration in every deployment. */
export const administrationToken = 'integration-test-token'

/** Stand-ins and daemons on loopback, each a process of its own. */
export class Deployment {
  readonly plan: DeploymentPlan
  readonly vms = new Map<string, RunningVm>()
  readonly endpoints = new Map<string, RunningEndpoint>()
  /** Proxies from the separable VM to the others, by the other's id. */
  readonly outwardProxies = new Map<string, RunningProxy>()
  readonly #processes: ManagedProcess[] = []
  readonly #agent = new Agent({ connections: 256, pipelining: 1 })
  readonly #leaving = new Set<string>()
  #directory = ''
  #stopped = false
  #log: ListeningAddress | undefined
  #list: ListeningAddress | undefined
  /** VM list of the separable VM, which names its own proxies. */
  #separateList: ListeningAddress | undefined

  constructor (plan: DeploymentPlan) {
    this.plan = plan
  }

  /** Starts everything, publishes the rules with the command-line tool and waits until the pools are served. */
  async start (): Promise<void> {
    await this.startProcesses()
    await this.publish(this.plan.rules)
    await this.waitUntilServing()
  }

  /** Starts stand-ins and daemons. */
  async startProcesses (): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), 'briarsaddle-'))
    const retain = this.plan.retainRecords === undefined ? [] : ['--retain-records', String(this.plan.retainRecords)]
    const log = this.#start('log', executables.logService, retain)
    const list = this.#start('vm-list', executables.vmList, ['--lag-milliseconds', String(this.plan.vmListLagMilliseconds ?? 0)])
    this.#log = await listening(log)
    this.#list = await listening(list)
    if (this.plan.separable !== undefined) this.#separateList = await listening(this.#start(`vm-list of ${this.plan.separable}`, executables.vmList, []))
    await Promise.all(this.plan.endpoints.map(async plan => await this.startEndpoint(plan)))
    await Promise.all(this.plan.vms.map(async plan => await this.startVm(plan)))
  }

  get logUrl (): string { return url(this.#log) }

  /** Starts an endpoint and lists it. */
  async startEndpoint (plan: EndpointPlan): Promise<RunningEndpoint> {
    const args = ['--id', plan.id, '--pool', plan.pool, '--data-centre', plan.dataCentre,
      '--slots', String(plan.slots ?? 2), '--checks', String(plan.checks ?? true),
      '--service-milliseconds', String(plan.serviceMilliseconds ?? 5),
      '--cold-start-milliseconds', String(plan.coldStartMilliseconds ?? 0)]
    const process = this.#start(plan.id, executables.endpoint, args)
    const address = await listening(process)
    const proxy = this.plan.proxies === true ? await this.startProxy(`${plan.id} proxy`, address) : undefined
    const endpoint = { plan, process, address, proxy }
    this.endpoints.set(plan.id, endpoint)
    await this.publishList()
    return endpoint
  }

  /** Starts a daemon and lists it. */
  async startVm (plan: VmPlan): Promise<RunningVm> {
    const logProxy = this.plan.proxies === true ? await this.startProxy(`${plan.id} log proxy`, required(this.#log)) : undefined
    const settings = join(this.#directory, `${plan.id}.toml`)
    await writeFile(settings, this.#settings(plan, logProxy?.address ?? required(this.#log)))
    const process = this.#start(plan.id, executables.daemon, ['--settings', settings])
    const ready = await process.ready() as { readonly listening: { readonly callers: ListeningAddress, readonly inner: ListeningAddress, readonly administration: ListeningAddress } }
    const { callers, inner, administration } = ready.listening
    const innerProxy = this.plan.proxies === true ? await this.startProxy(`${plan.id} inner proxy`, inner) : undefined
    const { separable } = this.plan
    if (separable !== undefined && plan.id !== separable) this.outwardProxies.set(plan.id, await this.startProxy(`${separable} to ${plan.id} proxy`, inner))
    const vm = { plan, process, callers, inner, administration, innerProxy, logProxy }
    this.vms.set(plan.id, vm)
    await this.publishList()
    return vm
  }

  /** Starts a fault proxy. */
  async startProxy (name: string, target: ListeningAddress): Promise<RunningProxy> {
    const process = this.#start(name, executables.faultProxy, ['--target-host', target.host, '--target-port', String(target.port)])
    const ready = await process.ready() as { readonly listening: ListeningAddress, readonly control: ListeningAddress }
    return { process, address: ready.listening, control: ready.control }
  }

  /** Marks a VM or endpoint as leaving in the list. */
  async markLeaving (id: string): Promise<void> {
    this.#leaving.add(id)
    await this.publishList()
  }

  /** Removes a VM or endpoint from the list. */
  async unlist (id: string): Promise<void> {
    this.vms.delete(id)
    this.endpoints.delete(id)
    await this.publishList()
  }

  /** Writes the VM list. */
  async publishList (): Promise<void> {
    const endpoints = [...this.endpoints.values()].map(({ plan, address, proxy }) => ({
      id: plan.id, role: 'endpoint', pool: plan.pool, dataCentre: plan.dataCentre, ...(proxy?.address ?? address), checks: plan.checks ?? true, state: this.#state(plan.id)
    }))
    const publishTo = async (list: ListeningAddress, proxyOf: (vm: RunningVm) => RunningProxy | undefined): Promise<void> => {
      const vms = [...this.vms.values()].map(vm => ({ id: vm.plan.id, role: 'entry', dataCentre: vm.plan.dataCentre, ...(proxyOf(vm)?.address ?? vm.inner), state: this.#state(vm.plan.id) }))
      await postJson(`${url(list)}/_control/vms`, [...vms, ...endpoints])
    }
    await publishTo(required(this.#list), ({ innerProxy }) => innerProxy)
    if (this.#separateList !== undefined) await publishTo(this.#separateList, ({ plan, innerProxy }) => this.outwardProxies.get(plan.id) ?? innerProxy)
  }

  /** Publishes rules with the command-line tool. */
  async publish (rules: string, base?: number): Promise<string> {
    const file = join(this.#directory, `rules-${Date.now()}-${Math.random().toString(36).slice(2)}.txt`)
    await writeFile(file, rules)
    const { stdout } = await run(process.execPath, [executables.cli, 'rules', 'publish', file, '--author', 'integration tests', '--log-url', this.logUrl, '--json', ...(base === undefined ? [] : ['--base', String(base)])])
    return stdout
  }

  /** Sends a request as a caller. */
  async call (vm: string, method: string, path: string, options: { readonly headers?: Readonly<Record<string, string>>, readonly body?: string, readonly timeoutMilliseconds?: number } = {}): Promise<CallerAnswer> {
    const response = await request(`${url(required(this.vms.get(vm)).callers)}${path}`, {
      method: method as 'GET',
      dispatcher: this.#agent,
      headers: { ...options.headers },
      body: options.body ?? null,
      signal: AbortSignal.timeout(options.timeoutMilliseconds ?? 30_000)
    })
    const body = await response.body.text()
    return { status: response.statusCode, outcome: String(response.headers['briarsaddle-outcome'] ?? ''), reason: String(response.headers['briarsaddle-reason'] ?? ''), headers: response.headers, body }
  }

  /** Returns the state dump of a VM. */
  async state (vm: string): Promise<Readonly<Record<string, unknown>>> {
    const response = await request(`${url(required(this.vms.get(vm)).administration)}/state`, { dispatcher: this.#agent, headers: { authorization: `Bearer ${administrationToken}` }, signal: AbortSignal.timeout(5000) })
    return await response.body.json() as Record<string, unknown>
  }

  /** Returns what an endpoint recorded. */
  async record (endpoint: string): Promise<EndpointRecordData> {
    const response = await request(`${url(required(this.endpoints.get(endpoint)).address)}/_record`, { signal: AbortSignal.timeout(10_000) })
    return await response.body.json() as EndpointRecordData
  }

  /** Changes the behaviour of the log stand-in. */
  async controlLog (settings: LogControl): Promise<void> {
    await postJson(`${this.logUrl}/_control`, settings)
  }

  /** Changes the behaviour of a fault proxy. */
  async controlProxy (proxy: RunningProxy | undefined, settings: FaultSettings): Promise<void> {
    await postJson(`${url(required(proxy).control)}/_control`, settings)
  }

  /** Changes the behaviour of all connections between the separable VM and the other VMs and the log. */
  async controlSeparable (settings: FaultSettings): Promise<void> {
    const { innerProxy, logProxy } = required(this.vms.get(required(this.plan.separable)))
    await Promise.all([innerProxy, logProxy, ...this.outwardProxies.values()].map(async proxy => await this.controlProxy(proxy, settings)))
  }

  /** Changes the behaviour of an endpoint stand-in. */
  async controlEndpoint (id: string, settings: Readonly<Record<string, unknown>>): Promise<void> {
    await postJson(`${url(required(this.endpoints.get(id)).address)}/_control`, settings)
  }

  /** Waits until every VM knows the rules and every endpoint has a ready coordinator and, in keyed pools, buckets. */
  async waitUntilServing (timeoutMilliseconds = 20_000): Promise<void> {
    await waitFor('the deployment serves all pools', timeoutMilliseconds, async () => {
      const states = await Promise.all([...this.vms.keys()].map(async vm => await this.state(vm) as unknown as ServingState))
      const active = new Set(states.flatMap(({ control }) => control.sessions.filter(({ state }) => state === 'active').map(({ endpoint }) => endpoint)))
      const unassigned = states.some(({ control }) => control.unassigned.length > 0 || control.rules.version < 0)
      const known = states.every(({ control }) => this.endpoints.size <= control.endpoints.length)
      return !unassigned && known && [...this.endpoints.keys()].every(id => active.has(id))
    })
  }

  /** Ends all processes. A start that is still running fails, because no process may begin after this. */
  async stop (): Promise<void> {
    this.#stopped = true
    await this.#agent.destroy()
    for (const process of this.#processes) if (process.running) process.resume()
    await Promise.all(this.#processes.map(async process => await process.kill()))
    if (this.#directory !== '') await rm(this.#directory, { recursive: true, force: true })
  }

  /** The last log lines of every VM, for a failed test. */
  logs (): string {
    return [...this.vms.values()].map(({ process }) => `--- ${process.name}\n${process.log}`).join('\n')
  }

  #start (name: string, script: string, args: readonly string[]): ManagedProcess {
    if (this.#stopped) throw new Error(`${name} cannot start: the deployment was stopped`)
    const process = new ManagedProcess(name, script, args, this.plan.logNamespaces === undefined ? {} : { DEBUG: this.plan.logNamespaces })
    this.#processes.push(process)
    return process
  }

  #state (id: string): 'live' | 'leaving' {
    return this.#leaving.has(id) ? 'leaving' : 'live'
  }

  #settings (plan: VmPlan, log: ListeningAddress): string {
    return `
[vm]
id = "${plan.id}"
dataCentre = "${plan.dataCentre}"
[listen]
callers = "127.0.0.1:0"
inner = "127.0.0.1:0"
administration = "127.0.0.1:0"
[administration]
token = "${administrationToken}"
[platform]
logUrl = "${url(log)}"
vmListUrl = "${url(plan.id === this.plan.separable ? this.#separateList : this.#list)}"
[timing]
vmListMilliseconds = ${this.plan.vmListMilliseconds ?? 200}
${this.plan.extraSettings ?? ''}
`
  }
}

interface ServingState {
  readonly control: {
    readonly rules: { readonly version: number }
    readonly sessions: ReadonlyArray<{ readonly endpoint: string, readonly state: string }>
    readonly endpoints: readonly unknown[]
    /** Keyed pools of the rules that have buckets without an available owner. */
    readonly unassigned: readonly string[]
  }
}

/** Polls until the condition holds. */
export async function waitFor (what: string, timeoutMilliseconds: number, condition: () => Promise<boolean> | boolean): Promise<void> {
  const deadline = performance.now() + timeoutMilliseconds
  let last: unknown
  for (;;) {
    try {
      if (await condition()) return
    } catch (error) {
      last = error
    }
    if (performance.now() > deadline) throw new Error(`timed out after ${timeoutMilliseconds} ms waiting until ${what}`, { cause: last })
    await new Promise(resolve => setTimeout(resolve, 25))
  }
}

async function listening (process: ManagedProcess): Promise<ListeningAddress> {
  return (await process.ready() as { readonly listening: ListeningAddress }).listening
}

async function postJson (address: string, body: unknown): Promise<void> {
  const response = await request(address, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
  const text = await response.body.text()
  if (response.statusCode >= 300) throw new Error(`POST ${address} answered ${response.statusCode}: ${text}`)
}

function url (address: ListeningAddress | undefined): string {
  const { host, port } = required(address)
  return `http://${host}:${port}`
}

function required<Value> (value: Value | undefined): Value {
  if (value === undefined) throw new Error('the process was not started')
  return value
}
