// Replaces the VMs of a small deployment one after the other by those of another build and back, under load, and reports what callers and endpoints saw.
// Usage: node scripts/mixed-builds.mjs FROM TO [SEED]; FROM and TO are commits. Needs a built tree, for the stand-ins.
import { spawn, spawnSync } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { parse } from 'smol-toml'
import { Random } from '../packages/common/dist/index.js'
import { EndpointStandIn } from '../platform/dist/stand-ins/endpoint-stand-in.js'
import { StoreStandIn } from '../platform/dist/stand-ins/store-stand-in.js'

const [from, to, seed = '1'] = process.argv.slice(2)
if (to === undefined) {
  process.stderr.write('usage: node scripts/mixed-builds.mjs FROM TO [SEED]\n')
  process.exit(2)
}
const vmCount = 3
const firstPort = 21_000
const requestsPerSecond = 120
const deadlineMilliseconds = 1_500
const longestMilliseconds = 150_000
const host = '127.0.0.1'
const random = new Random(Number(seed))
const folder = mkdtempSync(join(tmpdir(), 'mixed-builds-'))
const delay = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))
const giveUp = setTimeout(() => process.exit(1), longestMilliseconds)

/** Builds a commit as the platform does, in a folder of its own. */
function build (commit) {
  const path = join(folder, commit)
  const run = (command, args, cwd) => {
    const { status, stderr } = spawnSync(command, args, { cwd, encoding: 'utf8' })
    if (status !== 0) throw new Error(`${command} ${args.join(' ')}: ${stderr}`)
  }
  run('git', ['worktree', 'add', '--detach', path, commit], '.')
  symlinkSync(resolve('node_modules'), join(path, 'node_modules'))
  run('node', ['scripts/bundle.mjs'], path)
  return { commit, path, flags: parse(readFileSync(join(path, 'deploy/system.toml'), 'utf8')).roles.router.run.split(' ').slice(1) }
}

const store = new StoreStandIn()
const endpoints = new Map()
const vms = []

async function addEndpoint (id, pool, zone) {
  const endpoint = new EndpointStandIn({ id, slots: 3, queue: 12, keyed: pool === 'ponds', workMilliseconds: 20 })
  const { port } = await endpoint.listen({ host, port: 0 })
  let sequence = 0
  const beat = () => store.put('keyed.servers', id, { service: pool, address: `${host}:${port}`, zone, version: 'v1', capacity: 3, state: 'ready', warmupLeft: '0ms', sequence: ++sequence, born: 1 })
  beat()
  endpoints.set(id, { endpoint, beats: setInterval(beat, 1_500) })
}

function settingsOf (buildOfVm, index, storePort) {
  const port = firstPort + 10 * index
  const values = {
    nodeName: `vm-${index}`,
    zone: `zone-${index % 2}`,
    ip: host,
    'limits.cpuShare': 0.54,
    'limits.cpuCores': 1,
    'limits.memoryMb': 350,
    'limits.maxFds': 4_100,
    'listen.front': `${host}:${port}`,
    'listen.ready': `${host}:${port + 1}`,
    'listen.control': `${host}:${port + 2}`,
    'internalPorts.0': port + 3,
    'bounds.grace': '6s',
    'bounds.retryBudgetRatio': 0.2,
    'bounds.retrySlack': 58,
    'bounds.budgetWindow': '10s',
    'bounds.holdMax': '10000ms',
    'platform.address': `${host}:${storePort}`,
    seeds: ''
  }
  return readFileSync(join(buildOfVm.path, 'deploy/settings.toml'), 'utf8').replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(values[name]))
}

function startVm (index, buildOfVm) {
  const path = join(folder, `vm-${index}.toml`)
  writeFileSync(path, settingsOf(buildOfVm, index, store.port))
  const child = spawn(process.execPath, buildOfVm.flags, { cwd: buildOfVm.path, env: { PATH: process.env.PATH, BRIARSADDLE_BOOT: path }, stdio: 'ignore' })
  vms[index] = { index, child, build: buildOfVm, ready: false, port: firstPort + 10 * index, ended: new Promise(resolve => child.once('exit', resolve)) }
}

async function get (port, path) {
  return await new Promise(resolve => {
    const asked = request({ host, port, path, timeout: 500 }, response => {
      let text = ''
      response.on('data', data => { text += data })
      response.on('end', () => resolve({ status: response.statusCode, text }))
    })
    asked.on('error', () => resolve({ status: 0, text: '' }))
    asked.on('timeout', () => asked.destroy())
    asked.end()
  })
}

const checks = setInterval(() => { for (const vm of vms) get(vm.port + 1, '/ready').then(({ status }) => { vm.ready = status === 200 }) }, 200)

async function waitUntilReady (index, milliseconds = 20_000) {
  const until = performance.now() + milliseconds
  while (!vms[index].ready) {
    if (performance.now() > until) throw new Error(`vm-${index} (${vms[index].build.commit}) is not ready`)
    await delay(100)
  }
}

const attempts = new Map()
/** Refusals by reason since the last report. */
const reasons = new Map()
const results = { asked: 0, answered: 0, refused: 0, failed: 0, notWhole: 0 }
const agent = new Agent({ keepAlive: true, maxSockets: 200 })
let nextId = 1

async function attempt (vm, order, key) {
  const id = `r-${nextId++}`
  const status = await new Promise(resolve => {
    const asked = request({ agent, host, port: vm.port, method: order ? 'POST' : 'GET', path: order ? '/order/x' : '/status/x', headers: { host: 'clubs.example', 'x-briarsaddle-request-id': id, 'x-briarsaddle-shard-key': String(key), 'x-briarsaddle-deadline-ms': String(deadlineMilliseconds) } }, response => {
      let text = ''
      response.on('data', data => { text += data })
      response.on('end', () => {
        if (response.statusCode === 200 && !text.startsWith('done by ')) results.notWhole++
        const reason = response.statusCode === 503 ? text.match(/"reason":"(\w+)"/)?.[1] : undefined
        if (reason !== undefined) reasons.set(reason, (reasons.get(reason) ?? 0) + 1)
        resolve(response.statusCode)
      })
      response.on('error', () => resolve(0))
    })
    asked.setTimeout(deadlineMilliseconds, () => asked.destroy())
    asked.on('error', () => resolve(0))
    asked.end(order ? 'order' : undefined)
  })
  attempts.set(id, { status, order })
  return status
}

/** One request, with one repeat at another VM where that is allowed. */
async function call () {
  const ready = vms.filter(vm => vm.ready)
  if (ready.length === 0) return
  const order = random.fraction() < 0.4
  const key = Math.floor(65_536 * random.fraction())
  const first = Math.floor(ready.length * random.fraction())
  results.asked++
  let status = await attempt(ready[first], order, key)
  if (status === 503 || (!order && status !== 200)) status = await attempt(ready[(first + 1) % ready.length], order, key)
  if (status === 200) results.answered++
  else if (status === 503) results.refused++
  else results.failed++
}

const loadEnd = new AbortController()
async function load () {
  const startedAt = performance.now()
  for (let number = 0; !loadEnd.signal.aborted; number++) {
    await delay(Math.max(0, startedAt + number * 1_000 / requestsPerSecond - performance.now()))
    call()
  }
}

/** What each VM says of its build; builds before feature levels say nothing. */
async function builds () {
  const pages = await Promise.all(vms.map(async ({ port }) => await get(port + 2, '/metrics')))
  return pages.map(({ text }) => text.match(/^briarsaddle_build_info\{(.*)\} 1$/m)?.[1] ?? 'not stated').join('; ')
}

async function replace (index, next) {
  vms[index].child.kill('SIGTERM')
  await vms[index].ended
  startVm(index, next)
  await waitUntilReady(index)
  await delay(1_000)
}

async function leaderOf () {
  for (const vm of vms) {
    const { text } = await get(vm.port + 2, '/state')
    if (text !== '' && JSON.parse(text).leader.leading) return vm
  }
  return vms[0]
}

/** What happens while VMs of both builds run. */
const disruptions = {
  'leader killed': async () => {
    const vm = await leaderOf()
    vm.child.kill('SIGKILL')
    await vm.ended
    startVm(vm.index, vm.build)
    await waitUntilReady(vm.index)
  },
  'leader frozen': async () => {
    const vm = await leaderOf()
    vm.child.kill('SIGSTOP')
    await delay(3_000)
    vm.child.kill('SIGCONT')
    await delay(2_000)
  },
  'store away': async () => {
    store.down = true
    await delay(2_000)
    store.down = false
    await delay(2_000)
  }
}

/** Endpoints themselves refuse keys that they do not hold and tokens below those that they have seen. */
function findBreaches () {
  const runs = [...endpoints.values()].flatMap(({ endpoint }) => endpoint.runs)
  const byId = new Map()
  for (const { requestId } of runs) byId.set(requestId, (byId.get(requestId) ?? 0) + 1)
  const twice = [...byId].filter(([id, count]) => count > 1 && attempts.get(id)?.order === true).length
  const refusedAndRun = [...attempts].filter(([id, { status, order }]) => order && status === 503 && byId.has(id)).length
  return { runs: runs.length, twice, refusedAndRun }
}

try {
  const [fromBuild, toBuild] = [build(from), build(to)]
  store.port = (await store.listen({ host, port: 0 })).port
  const route = (name, kind, service) => ({ resourceKind: 'routes', metadata: { name }, spec: { host: 'clubs.example', pathPrefix: `/${name}/`, kind, timeout: '1500ms', targetLatency: '500ms', priority: kind === 'safe' ? 1 : 0, service, maxAttempts: 2 } })
  store.put('keyed.op', 'config', { version: '00000001', resources: [route('status', 'safe', 'ponds'), route('order', 'non_idempotent', 'ponds'), { resourceKind: 'services', metadata: { name: 'ponds' }, spec: { healthPath: '/health', maxConnections: 100, sharded: true } }, { resourceKind: 'limits', metadata: {}, spec: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeout: '3000ms', idleTimeout: '15000ms' } }] })
  for (let index = 0; index < 8; index++) await addEndpoint(`ponds-${index}`, 'ponds', `zone-${index % 2}`)
  for (let index = 0; index < vmCount; index++) startVm(index, fromBuild)
  for (let index = 0; index < vmCount; index++) await waitUntilReady(index)
  await delay(3_000)
  const loaded = load()
  const report = (what, before) => {
    const change = Object.fromEntries(Object.entries(results).map(([name, value]) => [name, value - before[name]]))
    process.stdout.write(`${from} to ${to}, seed ${seed}, ${what}: ${JSON.stringify(change)}, refusals ${JSON.stringify(Object.fromEntries(reasons))}\n`)
    reasons.clear()
  }
  const phase = async (what, run) => {
    const before = { ...results }
    await run()
    await delay(500)
    report(what, before)
    process.stdout.write(`  builds: ${await builds()}\n`)
  }
  await phase('one build', async () => await delay(4_000))
  await phase('one VM replaced', async () => await replace(0, toBuild))
  for (const [what, run] of Object.entries(disruptions)) await phase(`mixed, ${what}`, run)
  await phase('the other VMs replaced', async () => { for (let index = 1; index < vmCount; index++) await replace(index, toBuild) })
  await phase('all back', async () => { for (let index = 0; index < vmCount; index++) await replace(index, fromBuild) })
  loadEnd.abort()
  await loaded
  await delay(deadlineMilliseconds)
  process.stdout.write(`${from} to ${to}, seed ${seed}, endpoints: ${JSON.stringify(findBreaches())}\n`)
} catch (error) {
  process.stderr.write(`${error.stack}\n`)
  process.exitCode = 1
} finally {
  clearTimeout(giveUp)
  clearInterval(checks)
  for (const { child } of vms) child.kill('SIGKILL')
  for (const { endpoint, beats } of endpoints.values()) {
    clearInterval(beats)
    await endpoint.close()
  }
  await store.close()
  for (const commit of [from, to]) spawnSync('git', ['worktree', 'remove', '--force', join(folder, commit)])
  rmSync(folder, { recursive: true, force: true })
  process.exit()
}
