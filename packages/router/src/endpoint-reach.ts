import { delay, Logger, type Clock, type LifeCycle, type Random } from '@briarsaddle/common'
import type { Holder, KeyRange } from '@briarsaddle/key-ranges'
import { addressOf, processKeyOf, type Directory, type EndpointEntry } from './endpoint-entry.js'
import { EndpointTransport, type EndpointReply, type EndpointRequest, type Grant, type GrantReply, type ProbeResult, type ReleaseReply } from './endpoint-transport.js'

const logger = new Logger('reach')

/** What `EndpointReach` needs from the VM. */
export interface EndpointReachOptions {
  readonly clock: Clock
  readonly random: Random
  readonly transport: EndpointTransport
  readonly directory: () => Directory
}

const tickMilliseconds = 100
// Without any answer of the pool for this long, requests that wait may hang on connections that a cut has silenced.
const silenceMilliseconds = 400
const sampleSize = 3
// Of so many endpoints at least one lives, even when many have crashed together.
const confirmingSampleSize = 16
const roundPauseMilliseconds = 100
const roundsToCutOff = 2
const roundsToReturn = 2
// A short interruption, after which connections work again, does not make a VM cut off.
const shortestDoubtMilliseconds = 400
const cutOffPauseMilliseconds = 300
// An endpoint that is lost raises doubts until it leaves the directory.
const restMilliseconds = 500
const recentlyReachedMilliseconds = 2_000
const unreachedPauseMilliseconds = 500
// A slow endpoint is connected to once a second at most.
const slowRestMilliseconds = 1_000

/** Calls to a pool, or to one process of an endpoint. */
interface CallHistory {
  /** Start times of the requests without an answer. */
  readonly waiting: Set<{ readonly startedAt: number }>
  lastReachedAt: number
}

interface EndpointHistory extends CallHistory {
  readonly entry: EndpointEntry
  probing: boolean
  restsUntil: number
  unreached: boolean
}

interface PoolReach extends CallHistory {
  /** When the present doubt arose; undefined without one. */
  doubtedAt: number | undefined
  restsUntil: number
  cutOff: boolean
}

/**
 * Passes calls on to endpoints and finds out from their results whether this VM reaches the endpoints of each pool. A VM is cut off from a pool
 * when a call has failed and it then cannot connect to several of its endpoints either.
 */
export class EndpointReach extends EndpointTransport {
  readonly #options: EndpointReachOptions
  readonly #pools = new Map<string, PoolReach>()
  /** By process of an endpoint. */
  readonly #endpoints = new Map<string, EndpointHistory>()
  readonly #listeners: Array<(pool: string) => void> = []
  readonly #unreachedListeners: Array<(endpoint: string) => void> = []
  #closed = false

  constructor (options: EndpointReachOptions) {
    super()
    this.#options = options
  }

  /** Pools that this VM is cut off from. */
  get cutOffPools (): readonly string[] {
    return [...this.#pools].filter(([, { cutOff }]) => cutOff).map(([pool]) => pool)
  }

  /** Pools of which this VM has reached an endpoint within the last seconds. */
  get reachedPools (): readonly string[] {
    const since = this.#options.clock.now() - recentlyReachedMilliseconds
    return [...this.#pools].filter(([, { cutOff, lastReachedAt }]) => !cutOff && lastReachedAt >= since).map(([pool]) => pool)
  }

  /** Whether this VM is cut off from the endpoints of a pool. */
  isCutOff (pool: string): boolean {
    return this.#pools.get(pool)?.cutOff === true
  }

  /** Whether this VM may be cut off from the endpoints of a pool. */
  isInDoubt (pool: string): boolean {
    return this.#pools.get(pool)?.doubtedAt !== undefined
  }

  /** Whether this VM has lately not reached a process of an endpoint, whatever it reaches of the pool. */
  isUnreached (endpoint: EndpointEntry): boolean {
    return this.#endpoints.get(processKeyOf(endpoint))?.unreached === true
  }

  /** Calls the listener with the id of an endpoint that this VM does not reach any more. */
  onUnreached (listener: (endpoint: string) => void): void {
    this.#unreachedListeners.push(listener)
  }

  /** Calls the listener when this VM is cut off from a pool, and when it is back. */
  onChange (listener: (pool: string) => void): void {
    this.#listeners.push(listener)
  }

  /** Starts to look for requests that hang, until the life cycle closes. */
  start (lifeCycle: LifeCycle): void {
    lifeCycle.every('endpoint reach', tickMilliseconds, () => this.#findSilence(), error => logger.error('reach of endpoints could not be checked', { error: String(error) }))
    lifeCycle.own('endpoint reach', () => { this.#closed = true })
  }

  override async send (endpoint: EndpointEntry, request: EndpointRequest, signal: AbortSignal): Promise<EndpointReply> {
    const histories = [this.#reachOf(endpoint.pool), this.#historyOf(endpoint)]
    const call = { startedAt: this.#options.clock.now() }
    for (const { waiting } of histories) waiting.add(call)
    const reply = await this.#options.transport.send(endpoint, request, signal)
    for (const { waiting } of histories) waiting.delete(call)
    if (reply.kind === 'answered' || reply.kind === 'refused') for (const history of histories) history.lastReachedAt = this.#options.clock.now()
    // Single connections break for many reasons; after a cut, the next one cannot be established.
    else if (reply.kind === 'unreachable' && !signal.aborted) {
      this.doubt(endpoint.pool)
      void this.#probeEndpoint(this.#historyOf(endpoint))
    }
    return reply
  }

  override async grant (holder: Holder, grant: Grant): Promise<GrantReply> {
    const reply = await this.#options.transport.grant(holder, grant)
    const pool = this.#options.directory().get(holder.endpoint)?.pool
    if (pool === undefined) return reply
    if (reply.kind === 'granted' || reply.kind === 'fenced') this.#reachOf(pool).lastReachedAt = this.#options.clock.now()
    else this.doubt(pool)
    return reply
  }

  override async release (holder: Holder, release: KeyRange & { readonly fence: number }, signal: AbortSignal): Promise<ReleaseReply> {
    return await this.#options.transport.release(holder, release, signal)
  }

  override async reach (holder: Holder): Promise<boolean> {
    return await this.#options.transport.reach(holder)
  }

  override async probe (holder: Holder): Promise<ProbeResult> {
    return await this.#options.transport.probe(holder)
  }

  override keepOnly (directory: Directory): void {
    for (const [key, { entry }] of this.#endpoints) if (directory.get(entry.id)?.life !== entry.life) this.#endpoints.delete(key)
    this.#options.transport.keepOnly(directory)
  }

  #reachOf (pool: string): PoolReach {
    let reach = this.#pools.get(pool)
    if (reach === undefined) this.#pools.set(pool, reach = { waiting: new Set(), lastReachedAt: -Infinity, doubtedAt: undefined, restsUntil: -Infinity, cutOff: false })
    return reach
  }

  #historyOf (entry: EndpointEntry): EndpointHistory {
    const key = processKeyOf(entry)
    let history = this.#endpoints.get(key)
    if (history === undefined) this.#endpoints.set(key, history = { entry, waiting: new Set(), lastReachedAt: -Infinity, probing: false, restsUntil: -Infinity, unreached: false })
    return history
  }

  #findSilence (): void {
    for (const [pool, reach] of this.#pools) if (this.#isSilent(reach)) this.doubt(pool)
    for (const history of this.#endpoints.values()) if (this.#isSilent(history)) void this.#probeEndpoint(history)
  }

  #isSilent ({ waiting, lastReachedAt }: CallHistory): boolean {
    const since = this.#options.clock.now() - silenceMilliseconds
    const [oldest] = waiting
    return oldest !== undefined && oldest.startedAt < since && lastReachedAt < since
  }

  /** Finds out whether this VM reaches an endpoint. If not, tries until it does or the endpoint leaves the directory. */
  async #probeEndpoint (history: EndpointHistory): Promise<void> {
    const { clock, transport } = this.#options
    if (history.probing || clock.now() < history.restsUntil) return
    history.probing = true
    const { entry } = history
    const holder = { endpoint: entry.id, life: entry.life, address: addressOf(entry) }
    while (!await transport.reach(holder) && !this.#closed && this.#endpoints.get(processKeyOf(entry)) === history) {
      if (!history.unreached) {
        history.unreached = true
        logger.info('this VM does not reach an endpoint', { endpoint: entry.id, pool: entry.pool, life: entry.life, waiting: history.waiting.size })
        for (const listener of this.#unreachedListeners) listener(entry.id)
      }
      await delay(unreachedPauseMilliseconds)
    }
    if (history.unreached) logger.info('endpoint is not out of reach any more, or has left the directory', { endpoint: entry.id, pool: entry.pool, life: entry.life })
    history.unreached = history.probing = false
    history.restsUntil = clock.now() + slowRestMilliseconds
  }

  /** Finds out whether this VM is cut off from a pool, unless it did so a moment ago. */
  doubt (pool: string): void {
    const reach = this.#reachOf(pool)
    const now = this.#options.clock.now()
    if (reach.doubtedAt !== undefined || now < reach.restsUntil) return
    reach.doubtedAt = now
    void this.#investigate(pool, reach, now)
  }

  async #investigate (pool: string, reach: PoolReach, doubtedAt: number): Promise<void> {
    const { clock } = this.#options
    let failed = 0
    while (!this.#closed) {
      const { reached, probed } = await this.#probeSample(pool, failed === 0 ? sampleSize : confirmingSampleSize)
      if (reached > 0 || probed === 0) break
      failed++
      if (failed >= roundsToCutOff && clock.now() - doubtedAt >= shortestDoubtMilliseconds) {
        this.#setCutOff(pool, reach, true, doubtedAt)
        await this.#untilBack(pool)
        this.#setCutOff(pool, reach, false, doubtedAt)
        break
      }
      await delay(roundPauseMilliseconds)
    }
    reach.doubtedAt = undefined
    reach.restsUntil = clock.now() + restMilliseconds
  }

  async #untilBack (pool: string): Promise<void> {
    for (let rounds = 0; rounds < roundsToReturn && !this.#closed;) {
      await delay(cutOffPauseMilliseconds)
      const { reached, probed } = await this.#probeSample(pool, sampleSize)
      rounds = reached * 2 > probed || probed === 0 ? rounds + 1 : 0
    }
  }

  #setCutOff (pool: string, reach: PoolReach, cutOff: boolean, doubtedAt: number): void {
    reach.cutOff = cutOff
    if (!cutOff) reach.lastReachedAt = this.#options.clock.now()
    logger.warning(cutOff ? 'this VM reaches no endpoint of a pool' : 'this VM reaches the endpoints of a pool again', { pool, waiting: reach.waiting.size, milliseconds: Math.round(this.#options.clock.now() - doubtedAt) })
    for (const listener of this.#listeners) listener(pool)
  }

  /** Tries to connect to some endpoints of a pool, chosen at random. */
  async #probeSample (pool: string, size: number): Promise<{ readonly reached: number, readonly probed: number }> {
    const { random, directory, transport } = this.#options
    const rest = [...directory().values()].filter(entry => entry.pool === pool && !entry.leaving)
    const sample: EndpointEntry[] = []
    while (sample.length < size && rest.length > 0) sample.push(...rest.splice(random.integer(0, rest.length - 1), 1))
    const results = await Promise.all(sample.map(async entry => await transport.reach({ endpoint: entry.id, life: entry.life, address: addressOf(entry) })))
    return { reached: results.filter(Boolean).length, probed: sample.length }
  }
}
