import { randomBytes } from 'node:crypto'
import { describeError, Logger, type Clock } from '@briarsaddle/common'
import { z } from 'zod'
import type { EndpointEntry } from '../endpoint-entry.js'
import { fingerprintOf, processFingerprintOf, type RequestContent } from './request-fingerprint.js'

const logger = new Logger('poison')

/** Reason of a refusal because the request crashes the endpoints that run it. */
export const poisonReason = 'crashes_endpoints'

const saltBytes = 32
const crashesToRefuse = 3
// Time for a request that is often in flight to be answered elsewhere, which acquits it, before it is refused.
const acquittalMilliseconds = 500
// After this time VMs that knew of the crashes would have acquitted it.
const settledMilliseconds = 2_000
const refusalMilliseconds = 60 * 60_000
// After the refusal a single further crash renews it, as long as the request is remembered.
const rememberRefusedMilliseconds = 24 * 60 * 60_000
const rememberSuspectMilliseconds = 10 * 60_000
// The whole list fits into a record of the log.
const mostRequests = 256
const mostCrashes = 8
const longestTargetCharacters = 100
// Clocks of VMs are not compared; ages grow by the time on the way between VMs.
const ageSlackMilliseconds = 1_000
// The leader asks for changes once a second; another one may have to ask again.
const recentMilliseconds = 10_000

const crashSchema = z.object({
  /** Fingerprint of the process that crashed. */
  process: z.string(),
  /** Whether the run began when an earlier crash under the request was known, so that both were not one event. */
  sequential: z.boolean(),
  /** Whether the request has been answered since, or an operator has lifted the refusal. */
  cleared: z.boolean()
})

const requestSchema = z.object({
  fingerprint: z.string(),
  bodyBytes: z.int().nonnegative(),
  pool: z.string(),
  target: z.string(),
  /** Time since the last crash. */
  ageMilliseconds: z.number().nonnegative(),
  crashes: z.array(crashSchema).max(mostCrashes)
})

const listSchema = z.object({ salt: z.string(), requests: z.array(requestSchema) })

type Crash = z.output<typeof crashSchema>
type RequestRecord = z.output<typeof requestSchema>

/** A request under which endpoints crashed. */
interface Suspect extends Pick<RequestRecord, 'fingerprint' | 'bodyBytes' | 'pool' | 'target'> {
  /** Crashes by process of an endpoint. */
  readonly crashes: Map<string, Crash>
  lastCrashAt: number
  /** When this VM learned of enough crashes to refuse the request; undefined before. */
  provenAt: number | undefined
  /** When this VM itself last observed a crash or an answer. */
  observedAt: number
}

/**
 * Requests under which endpoints crashed, as far as this VM has learned. A request is refused when it was in flight at three endpoints when they
 * crashed, and was not answered in between. Lists of several VMs can be merged in any order, any number of times.
 */
export class PoisonList {
  readonly #clock: Clock
  readonly #suspects = new Map<string, Suspect>()
  readonly #listeners: Array<() => void> = []
  #salt: string | undefined
  #version = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Rises with each change. */
  get version (): number { return this.#version }
  /** Number of requests under suspicion, including those that are refused. */
  get size (): number { return this.#suspects.size }
  /** Number of requests that are refused. */
  get refused (): number { return [...this.#suspects.values()].filter(suspect => this.#refusedFor(suspect) !== undefined).length }

  /** Calls the listener after each change. */
  onChange (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** Creates the salt of the fingerprints, unless there is one. Called by the leader, which sends it to all VMs. */
  ensureSalt (): void {
    if (this.#salt !== undefined) return
    this.#salt = randomBytes(saltBytes).toString('base64url')
    this.#changed()
  }

  /** Whether endpoints crashed under the request and it has not been answered since. */
  isSuspect (request: RequestContent): boolean {
    const suspect = this.#find(request)
    return suspect !== undefined && openCrashes(suspect).length > 0
  }

  /** Returns for how long the request is refused, in milliseconds; undefined when it may run. */
  refusedFor (request: RequestContent): number | undefined {
    const suspect = this.#find(request)
    return suspect === undefined ? undefined : this.#refusedFor(suspect)
  }

  /** Records that a process of an endpoint crashed while the request was in flight there. `sequential`: see `crashSchema`. */
  recordCrash (request: RequestContent, { id, life }: Pick<EndpointEntry, 'id' | 'life'>, sequential: boolean): void {
    if (this.#salt === undefined) return logger.warning('an endpoint crashed under a request, but there is no salt yet to identify it', { endpoint: id, pool: request.pool })
    const record = {
      fingerprint: fingerprintOf(this.#salt, request),
      bodyBytes: request.body.length,
      pool: request.pool,
      target: request.target.slice(0, longestTargetCharacters),
      ageMilliseconds: 0,
      crashes: [{ process: processFingerprintOf(this.#salt, id, life), sequential, cleared: false }]
    }
    if (this.#apply(record)) this.#changed()
    const suspect = this.#suspects.get(record.fingerprint)
    if (suspect === undefined) return
    suspect.observedAt = this.#clock.now()
    logger.warning('endpoint crashed under a request', { endpoint: id, life, pool: suspect.pool, target: suspect.target, fingerprint: suspect.fingerprint, sequential, crashes: openCrashes(suspect).length })
  }

  /** Records that an endpoint has answered the request, which shows that it does not crash the endpoints that run it. */
  acquit (request: RequestContent): void {
    const suspect = this.#find(request)
    if (suspect !== undefined) this.#clear(suspect, 'answered')
  }

  /** Ends the refusal of a request. Returns false when it is not known. */
  lift (fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint)
    if (suspect !== undefined) this.#clear(suspect, 'lifted by an operator')
    return suspect !== undefined
  }

  /** The whole list as text for other VMs and for the platform's store. */
  encode (): string {
    return this.#encode([...this.#suspects.values()])
  }

  /** The part that this VM has observed itself within the last seconds; empty when there is none. */
  encodeRecent (): string {
    const since = this.#clock.now() - recentMilliseconds
    const recent = [...this.#suspects.values()].filter(suspect => suspect.observedAt >= since)
    return recent.length === 0 ? '' : this.#encode(recent)
  }

  /** Adds what another VM knows. A text that cannot be read is logged and ignored. */
  merge (text: string): void {
    if (text === '') return
    let list: z.output<typeof listSchema>
    try {
      list = listSchema.parse(JSON.parse(text))
    } catch (error) {
      return logger.error('list of requests that crash endpoints could not be read', { error: describeError(error) })
    }
    if (list.salt === '') return
    let changed = this.#adoptSalt(list.salt)
    if (list.salt !== this.#salt) return
    for (const record of list.requests) if (this.#apply(record)) changed = true
    if (changed) this.#changed()
  }

  /** Returns the state as plain data for the state dump. */
  snapshot (): ReadonlyArray<Readonly<Record<string, unknown>>> {
    return [...this.#suspects.values()].map(suspect => ({ ...this.#record(suspect), refusedForMilliseconds: this.#refusedFor(suspect) ?? 0 }))
  }

  /** Two leaders may each have created a salt; all VMs then take the same one. Fingerprints with the other one are of no use. */
  #adoptSalt (salt: string): boolean {
    if (this.#salt !== undefined && this.#salt <= salt) return false
    this.#salt = salt
    this.#suspects.clear()
    return true
  }

  /** Adds a record. Returns whether it had anything new. */
  #apply (record: RequestRecord): boolean {
    this.#forgetExpired()
    const lastCrashAt = this.#clock.now() - record.ageMilliseconds
    let suspect = this.#suspects.get(record.fingerprint)
    if (suspect === undefined) {
      if (record.ageMilliseconds > rememberedFor(record.crashes) || !this.#makeRoom(lastCrashAt)) return false
      const { fingerprint, bodyBytes, pool, target } = record
      suspect = { fingerprint, bodyBytes, pool, target, crashes: new Map(), lastCrashAt, provenAt: undefined, observedAt: -Infinity }
      this.#suspects.set(fingerprint, suspect)
    }
    let changed = false
    // After the first crashes only the time of the last one matters. Ages are not exact.
    if (record.crashes.some(crash => !crash.cleared) && lastCrashAt > suspect.lastCrashAt + ageSlackMilliseconds) {
      suspect.lastCrashAt = lastCrashAt
      changed = true
    }
    for (const crash of record.crashes) {
      const known = suspect.crashes.get(crash.process)
      const merged = known === undefined ? crash : { process: crash.process, sequential: known.sequential || crash.sequential, cleared: known.cleared || crash.cleared }
      if (known === undefined && suspect.crashes.size >= mostCrashes) continue
      if (known?.sequential === merged.sequential && known.cleared === merged.cleared) continue
      suspect.crashes.set(crash.process, merged)
      changed = true
    }
    if (changed) this.#judge(suspect)
    return changed
  }

  #judge (suspect: Suspect): void {
    const proven = isProven([...suspect.crashes.values()])
    if (proven === (suspect.provenAt !== undefined)) return
    const now = this.#clock.now()
    suspect.provenAt = proven ? (now - suspect.lastCrashAt > settledMilliseconds ? suspect.lastCrashAt : now) : undefined
    const { fingerprint, pool, target } = suspect
    logger.warning(proven ? 'request crashes the endpoints that run it and is refused from now on' : 'request is not refused any more', { pool, target, fingerprint, crashes: openCrashes(suspect).length })
  }

  #clear (suspect: Suspect, reason: string): void {
    const open = openCrashes(suspect)
    if (open.length === 0) return
    for (const crash of open) suspect.crashes.set(crash.process, { ...crash, cleared: true })
    suspect.observedAt = this.#clock.now()
    logger.info('request is not suspected any more to crash endpoints', { reason, pool: suspect.pool, target: suspect.target, fingerprint: suspect.fingerprint, crashes: open.length })
    this.#judge(suspect)
    this.#changed()
  }

  /** Makes room for a request whose last crash was at the given time. Returns false when all others have crashed endpoints more recently. */
  #makeRoom (lastCrashAt: number): boolean {
    if (this.#suspects.size < mostRequests) return true
    const suspects = [...this.#suspects.values()].sort((one, other) => one.lastCrashAt - other.lastCrashAt)
    const oldest = suspects.find(suspect => suspect.provenAt === undefined) ?? suspects[0]
    // Without a difference two VMs with full lists would replace each other's requests for ever.
    if (oldest === undefined || oldest.lastCrashAt > lastCrashAt - ageSlackMilliseconds) return false
    return this.#suspects.delete(oldest.fingerprint)
  }

  #forgetExpired (): void {
    const now = this.#clock.now()
    for (const suspect of this.#suspects.values()) {
      if (now - suspect.lastCrashAt > rememberedFor([...suspect.crashes.values()])) this.#suspects.delete(suspect.fingerprint)
    }
  }

  #refusedFor ({ provenAt, lastCrashAt }: Suspect): number | undefined {
    const now = this.#clock.now()
    if (provenAt === undefined || now - provenAt < acquittalMilliseconds) return undefined
    const left = lastCrashAt + refusalMilliseconds - now
    return left > 0 ? left : undefined
  }

  #find (request: RequestContent): Suspect | undefined {
    if (this.#suspects.size === 0 || this.#salt === undefined) return undefined
    // Spares the hash of large bodies.
    const mayBeKnown = [...this.#suspects.values()].some(({ bodyBytes, pool }) => bodyBytes === request.body.length && pool === request.pool)
    return mayBeKnown ? this.#suspects.get(fingerprintOf(this.#salt, request)) : undefined
  }

  #record ({ fingerprint, bodyBytes, pool, target, crashes, lastCrashAt }: Suspect): RequestRecord {
    return { fingerprint, bodyBytes, pool, target, ageMilliseconds: Math.round(Math.max(0, this.#clock.now() - lastCrashAt)), crashes: [...crashes.values()] }
  }

  #encode (suspects: readonly Suspect[]): string {
    return JSON.stringify({ salt: this.#salt ?? '', requests: suspects.map(suspect => this.#record(suspect)) })
  }

  #changed (): void {
    this.#version++
    for (const listener of this.#listeners) listener()
  }
}

function openCrashes ({ crashes }: Suspect): readonly Crash[] {
  return [...crashes.values()].filter(crash => !crash.cleared)
}

function isProven (crashes: readonly Crash[]): boolean {
  const open = crashes.filter(crash => !crash.cleared)
  return open.length >= crashesToRefuse && open.some(crash => crash.sequential)
}

function rememberedFor (crashes: readonly Crash[]): number {
  return isProven(crashes) ? rememberRefusedMilliseconds : rememberSuspectMilliseconds
}
