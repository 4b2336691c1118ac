// A small deployment on loopback: the store and servers as stand-ins in this process, machines as processes of the deploy file.
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Server } from './server.mjs'
import { Store } from './store.mjs'

const root = new URL('../../', import.meta.url).pathname
const storeHost = '127.0.0.1'
// The script ends by itself after this time, whatever happens.
const longestMilliseconds = 115_000
const bounds = { grace: '6s', retryBudgetRatio: 0.2, budgetWindow: '10s', retrySlack: 58, holdMax: '10000ms' }

export const delay = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))

async function isFree (host, port) {
  return await new Promise(resolve => {
    const probe = createServer()
    probe.once('error', () => resolve(false))
    probe.listen(port, host, () => probe.close(() => resolve(true)))
  })
}

/** Returns the first of `count` neighbouring ports that are free on all hosts. */
async function freePorts (count, hosts) {
  for (let base = 20_000 + Math.floor(Math.random() * 10_000); ; base += count) {
    const free = await Promise.all(hosts.flatMap(host => Array.from({ length: count }, async (_, index) => await isFree(host, base + index))))
    if (free.every(Boolean)) return base
  }
}

export class Deployment {
  store = new Store()
  servers = []
  machines = []
  #lines = []
  #startedAt = performance.now()
  #directory = mkdtempSync(join(tmpdir(), 'review-'))
  #version = 1
  #runCommand = readFileSync(join(root, 'deploy/system.toml'), 'utf8').match(/^run = "node (.*)"$/m)[1].split(' ')

  constructor ({ machines = 2, zones = ['zone-a'] } = {}) {
    this.machineHosts = Array.from({ length: machines }, (_, index) => `127.0.1.${index + 1}`)
    this.zones = zones
    const giveUp = reason => {
      this.note(`given up: ${reason}`)
      this.stop().finally(() => process.exit(2))
    }
    setTimeout(giveUp, longestMilliseconds, 'took too long').unref()
    for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, giveUp)
  }

  note (text) {
    this.#lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3)} s  ${text}`)
  }

  writeRecord (path) {
    writeFileSync(path, this.#lines.join('\n') + '\n')
  }

  async start (servers, config) {
    this.base = await freePorts(8, [storeHost, ...this.machineHosts, ...servers.map((_, index) => `127.0.2.${index + 1}`)])
    await this.store.listen(storeHost, this.base)
    this.configure(config)
    for (const options of servers) await this.addServer(options)
    for (const [index] of this.machineHosts.entries()) this.startMachine(index)
  }

  configure ({ routes, services }) {
    this.store.put('keyed.op', 'config', {
      version: (this.#version++).toString(16).padStart(8, '0'),
      resources: [
        ...routes.map(({ name, ...spec }) => ({ resourceKind: 'routes', metadata: { name }, spec: { host: 'app.example', pathPrefix: `/${name}/`, timeout: '3000ms', targetLatency: '600ms', priority: 0, maxAttempts: 2, ...spec } })),
        ...services.map(({ name, ...spec }) => ({ resourceKind: 'services', metadata: { name }, spec: { healthPath: '/health', maxConnections: 110, ...spec } })),
        { resourceKind: 'limits', metadata: {}, spec: { maxHeaderBytes: 16384, maxBodyBytes: 1048576, headerTimeout: '3000ms', idleTimeout: '15000ms' } }
      ]
    })
  }

  async addServer ({ service, zone = this.zones[0], ...options }) {
    const server = new Server({ host: `127.0.2.${this.servers.length + 1}`, port: this.base + 6, note: text => this.note(text), ...options })
    await server.listen()
    this.servers.push(server)
    const entry = { service, address: `${server.host}:${server.port}`, zone, version: 'v1', capacity: server.slots, state: 'ready', warmupLeft: '0ms', born: Date.now() }
    let sequence = 0
    server.beat = (changes = {}) => {
      Object.assign(entry, changes)
      this.store.put('keyed.servers', server.id, { ...entry, sequence: ++sequence })
    }
    server.beat()
    server.beats = setInterval(() => server.beat(), 1_500)
    return server
  }

  #settings (index) {
    const host = this.machineHosts[index]
    const values = {
      nodeName: `front-${index + 1}`,
      zone: this.zones[index % this.zones.length],
      ip: host,
      'limits.cpuShare': 0.54,
      'limits.cpuCores': 1,
      'limits.memoryMb': 350,
      'limits.maxFds': 4100,
      'listen.front': `${host}:${this.base + 1}`,
      'listen.ready': `${host}:${this.base + 2}`,
      'listen.control': `${host}:${this.base + 3}`,
      'internalPorts.0': this.base + 4,
      'platform.address': `${storeHost}:${this.base}`,
      seeds: this.machineHosts.slice(0, 3).map(seed => `${seed}:${this.base + 3}`).join(',')
    }
    for (const [name, value] of Object.entries(bounds)) values[`bounds.${name}`] = value
    return readFileSync(join(root, 'deploy/settings.toml'), 'utf8').replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(values[name]))
  }

  startMachine (index) {
    const path = join(this.#directory, `front-${index + 1}.toml`)
    writeFileSync(path, this.#settings(index))
    const child = spawn(process.execPath, this.#runCommand, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, BRIARSADDLE_BOOT: path }, stdio: ['ignore', process.env.SHOW_LOGS ? 'inherit' : 'ignore', 'inherit'] })
    const machine = { index, name: `front-${index + 1}`, host: this.machineHosts[index], port: this.base + 1, readyPort: this.base + 2, controlPort: this.base + 3, child, ended: undefined }
    child.once('exit', (code, signal) => {
      machine.ended = { code, signal }
      this.note(`${machine.name} ended: code ${code}, signal ${signal}`)
    })
    this.machines[index] = machine
    this.note(`${machine.name} started`)
    return machine
  }

  signal (machine, signal) {
    this.note(`${signal} to ${machine.name}`)
    machine.child.kill(signal)
  }

  async ready (machine, milliseconds = 20_000) {
    const until = performance.now() + milliseconds
    while (performance.now() < until) {
      const status = await new Promise(resolve => {
        const asked = request({ host: machine.host, port: machine.readyPort, path: '/ready', timeout: 500 }, response => {
          response.resume()
          resolve(response.statusCode)
        })
        asked.on('error', () => resolve(0))
        asked.on('timeout', () => asked.destroy())
        asked.end()
      })
      if (status === 200) return true
      await delay(100)
    }
    return false
  }

  async stop () {
    for (const { child, ended } of this.machines) if (ended === undefined) child.kill('SIGKILL')
    for (const server of this.servers) {
      clearInterval(server.beats)
      server.close()
    }
    this.store.close()
    rmSync(this.#directory, { recursive: true, force: true })
  }
}
