import { delay, Logger, type Clock } from '@briarsaddle/common'
import { addressOf, processKeyOf, type Directory, type EndpointEntry } from '../endpoint-entry.js'
import type { EndpointReach } from '../endpoint-reach.js'
import type { EndpointTransport } from '../endpoint-transport.js'
import type { PoisonList } from './poison-list.js'
import type { RequestContent } from './request-fingerprint.js'

const logger = new Logger('poison')

/** What a witness needs from the VM. */
export interface CrashWitnessOptions {
  readonly clock: Clock
  readonly transport: Pick<EndpointTransport, 'probe'>
  readonly directory: () => Directory
  readonly poison: PoisonList
  readonly reach: Pick<EndpointReach, 'isInDoubt' | 'doubt'>
}

/** A request that was sent to a process of an endpoint. */
export interface WitnessedRun {
  readonly request: RequestContent
  readonly endpoint: EndpointEntry
  /** Whether an earlier crash under the request was known when the run began. */
  readonly sequential: boolean
}

/** How a run ended: with an answer, refused by the endpoint, with a broken connection, or given up by this VM. */
export type RunEnd = 'answered' | 'refused' | 'broken' | 'given_up'

interface LostRun extends WitnessedRun {
  readonly lostAt: number
  readonly rememberedUntil: number
}

/** Search for the reason of broken connections to one process of an endpoint. */
interface Investigation {
  /** When the last connection broke, in clock milliseconds. */
  lastBrokenAt: number
  /** Connections that were established since the last one broke. */
  reached: number
}

const probeMilliseconds = 100
// A port that accepts connections this often in a row belongs to a living process; then only the directory can show a restart.
const mostReached = 3
// Directory entries of lost endpoints expire within three heartbeats.
const investigationMilliseconds = 4_000
// A run that was given up may go on at the endpoint for a while.
const givenUpMilliseconds = 1_000
// Bounds the memory for the bodies of requests that have ended.
const mostLost = 16
const mostBodyBytes = 256 * 1024

/**
 * Finds out which requests were in flight when a process of an endpoint crashed. A broken connection alone proves nothing: the endpoint may
 * live behind a cut. A refused connection, a missing directory entry or a later process does.
 */
export class CrashWitness {
  readonly #options: CrashWitnessOptions
  readonly #running = new Set<WitnessedRun>()
  #lost: LostRun[] = []
  /** By process of an endpoint. */
  readonly #investigations = new Map<string, Investigation>()

  constructor (options: CrashWitnessOptions) {
    this.#options = options
  }

  /** Records that a request is sent to an endpoint. */
  begin (endpoint: EndpointEntry, request: RequestContent): WitnessedRun {
    const run = { request, endpoint, sequential: this.#options.poison.isSuspect(request) }
    this.#running.add(run)
    return run
  }

  /** Records the end of a run. */
  end (run: WitnessedRun, end: RunEnd): void {
    this.#running.delete(run)
    if (end === 'answered') this.#options.poison.acquit(run.request)
    if (end === 'answered' || end === 'refused') return
    const now = this.#options.clock.now()
    const isBroken = end === 'broken'
    if (isBroken || run.request.body.length <= mostBodyBytes) {
      const lost = { ...run, lostAt: now, rememberedUntil: now + (isBroken ? investigationMilliseconds : givenUpMilliseconds) }
      this.#lost = [...this.#lost.filter(({ rememberedUntil }) => now <= rememberedUntil), lost].slice(-mostLost)
    }
    if (isBroken) void this.#investigate(run.endpoint, now)
  }

  async #investigate (endpoint: EndpointEntry, brokenAt: number): Promise<void> {
    const { clock } = this.#options
    const key = processKeyOf(endpoint)
    const present = this.#investigations.get(key)
    if (present !== undefined) {
      present.lastBrokenAt = brokenAt
      present.reached = 0
      return
    }
    const investigation: Investigation = { lastBrokenAt: brokenAt, reached: 0 }
    this.#investigations.set(key, investigation)
    let doubted = false
    let proof = this.#endedByDirectory(endpoint)
    while (proof === undefined && clock.now() - investigation.lastBrokenAt < investigationMilliseconds) {
      if (investigation.reached < mostReached) {
        const result = await this.#options.transport.probe({ endpoint: endpoint.id, life: endpoint.life, address: addressOf(endpoint) })
        if (result === 'refused') {
          // A cut may refuse connections too; then other endpoints of the pool are out of reach as well.
          if (!doubted) this.#options.reach.doubt(endpoint.pool)
          else if (!this.#options.reach.isInDoubt(endpoint.pool)) proof = 'connection refused'
          doubted = true
        } else if (result === 'reached') investigation.reached++
      }
      proof ??= this.#endedByDirectory(endpoint)
      if (proof === undefined) await delay(probeMilliseconds)
    }
    this.#investigations.delete(key)
    if (proof === undefined) return logger.info('a connection to an endpoint broke, but it did not crash', { endpoint: endpoint.id, life: endpoint.life })
    this.#report(endpoint, investigation, proof)
  }

  #endedByDirectory ({ id, life }: EndpointEntry): string | undefined {
    const entry = this.#options.directory().get(id)
    if (entry === undefined) return 'removed from the directory'
    return entry.life === life ? undefined : 'later process'
  }

  /** Requests that were in flight at the crash, or had been given up shortly before, are suspects. */
  #report (endpoint: EndpointEntry, { lastBrokenAt }: Investigation, proof: string): void {
    const key = processKeyOf(endpoint)
    const ofProcess = (run: WitnessedRun): boolean => processKeyOf(run.endpoint) === key
    const lost = this.#lost.filter(run => ofProcess(run) && run.lostAt >= lastBrokenAt - givenUpMilliseconds)
    this.#lost = this.#lost.filter(run => !ofProcess(run))
    const suspects = [...lost, ...[...this.#running].filter(ofProcess)]
    logger.info('endpoint crashed', { endpoint: endpoint.id, pool: endpoint.pool, life: endpoint.life, proof, suspects: suspects.length, milliseconds: Math.round(this.#options.clock.now() - lastBrokenAt) })
    for (const { request, sequential } of suspects) this.#options.poison.recordCrash(request, endpoint, sequential)
  }
}
