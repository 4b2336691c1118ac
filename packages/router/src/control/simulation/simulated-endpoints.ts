import { delay, type Random } from '@briarsaddle/common'
import type { Holder, KeyRange } from '@briarsaddle/key-ranges'
import { EndpointTransport, type EndpointReply, type Grant, type GrantReply, type ReleaseReply } from '../../endpoint-transport.js'

const keyCount = 65_536
const mostTransitMilliseconds = 8
const mostWorkMilliseconds = 60
const lostAnswerShare = 0.04
const reportedEvents = 30
/** Longest time after which a grant without an answer takes effect. */
const mostLateMilliseconds = 1_500

/** Keys that an endpoint holds, until `until` in milliseconds of `performance.now()`. */
interface Held extends KeyRange {
  readonly fence: number
  readonly until: number
}

/** One process of an endpoint: the keys that it holds, and the highest fencing token that it has seen for each key. */
export class SimulatedEndpoint {
  readonly fences = new Float64Array(keyCount)
  held: readonly Held[] = []
  alive = true

  constructor (readonly holder: Holder) {}

  /** Removes a range from the keys that are held; the rest of each grant stays. */
  withdraw ({ from, to }: KeyRange): void {
    this.held = this.held.flatMap(held => held.to < from || held.from > to
      ? [held]
      : [{ ...held, to: from - 1 }, { ...held, from: to + 1 }].filter(part => part.from <= part.to))
  }
}

/** All endpoints of a simulation. Records every grant that violates the exclusive ownership of keys. */
export class SimulatedEndpoints {
  readonly violations: string[] = []
  readonly #history: Array<KeyRange & { readonly text: string }> = []
  readonly #random: Random
  readonly #endpoints = new Map<string, SimulatedEndpoint>()
  readonly #startedAt = performance.now()

  constructor (random: Random) {
    this.#random = random
  }

  /** Adds a process of an endpoint. */
  add (holder: Holder): SimulatedEndpoint {
    const endpoint = new SimulatedEndpoint(holder)
    this.#endpoints.set(nameOf(holder), endpoint)
    return endpoint
  }

  /** Returns the process of a holder. */
  get (holder: Holder): SimulatedEndpoint | undefined {
    return this.#endpoints.get(nameOf(holder))
  }

  /** Applies a grant, whose hold time begins at `arrivedAt`. Returns whether the endpoint accepted it. */
  applyGrant (vm: string, endpoint: SimulatedEndpoint, grant: Grant, arrivedAt: number): boolean {
    const { from, to, fence, holdMilliseconds } = grant
    const until = arrivedAt + holdMilliseconds
    const accepted = !endpoint.fences.subarray(from, to + 1).some(seen => seen > fence)
    this.recordEvent(grant, `${vm} grants ${from}-${to} with ${fence} to ${nameOf(endpoint.holder)}, arrived ${Math.round(performance.now() - arrivedAt)} ms ago, ${accepted ? 'accepted' : 'refused'}`)
    if (!accepted) return false
    endpoint.withdraw(grant)
    endpoint.fences.fill(fence, from, to + 1)
    if (until <= performance.now()) return true
    for (const other of this.#endpoints.values()) if (other !== endpoint && other.alive) this.#check(vm, endpoint, other, grant)
    endpoint.held = [...endpoint.held, { from, to, fence, until }]
    return true
  }

  #check (vm: string, endpoint: SimulatedEndpoint, other: SimulatedEndpoint, { from, to, fence }: Grant): void {
    const what = `${vm} grants ${from}-${to} with ${fence} to ${nameOf(endpoint.holder)}`
    const held = other.held.find(one => one.until > performance.now() && one.from <= to && one.to >= from)
    if (held !== undefined) this.#recordViolation({ from, to }, `${what}, while ${nameOf(other.holder)} holds ${held.from}-${held.to} with ${held.fence}`)
    else if (other.fences.subarray(from, to + 1).some(seen => seen >= fence)) this.#recordViolation({ from, to }, `${what}, below a token of ${nameOf(other.holder)}`)
  }

  /** Records a violation with the latest events on its keys. */
  #recordViolation ({ from, to }: KeyRange, text: string): void {
    this.violations.push(text, ...this.#history.filter(event => event.from <= to && event.to >= from).slice(-reportedEvents).map(event => event.text))
  }

  /** Records an event on a range of keys, for the report of a violation. */
  recordEvent ({ from, to }: KeyRange, text: string): void {
    this.#history.push({ from, to, text: `${Math.round(performance.now() - this.#startedAt)} ms: ${text}` })
  }

  /** Waits for the simulated network latency of one direction. */
  async transit (): Promise<void> {
    await delay(this.#random.integer(1, mostTransitMilliseconds))
  }

  /** Waits for the end of the requests that run on released keys. */
  async work (): Promise<void> {
    await delay(this.#random.integer(0, mostWorkMilliseconds))
  }

  /** Decides at random whether the answer to a call is lost. */
  get losesAnswer (): boolean { return this.#random.fraction() < lostAnswerShare }
  /** Returns a random delay after which a grant without an answer takes effect. */
  get lateMilliseconds (): number { return this.#random.integer(0, mostLateMilliseconds) }
}

/** The connections of one VM to the endpoints. */
export class SimulatedLinks extends EndpointTransport {
  /** Endpoints that this VM cannot reach. */
  readonly cut = new Set<string>()
  readonly #vm: string
  readonly #endpoints: SimulatedEndpoints
  readonly #callMilliseconds: number
  readonly #connections = new Map<string, number>()

  constructor (vm: string, endpoints: SimulatedEndpoints, callMilliseconds: number) {
    super()
    this.#vm = vm
    this.#endpoints = endpoints
    this.#callMilliseconds = callMilliseconds
  }

  override async send (): Promise<EndpointReply> { return { kind: 'unreachable' } }
  override keepOnly (): void {}
  override async reach (holder: Holder): Promise<boolean> { return this.#reached(holder) !== undefined }

  override async grant (holder: Holder, grant: Grant): Promise<GrantReply> {
    const name = nameOf(holder)
    const connection = this.#connections.get(name) ?? 1
    if (grant.connection !== undefined && grant.connection !== connection) return { kind: 'disconnected' }
    await this.#endpoints.transit()
    const endpoint = this.#reached(holder)
    if (endpoint === undefined) return { kind: 'unreachable' }
    if (this.#endpoints.losesAnswer) {
      const arrivedAt = performance.now()
      void delay(this.#endpoints.lateMilliseconds).then(() => { if (endpoint.alive) this.#endpoints.applyGrant(this.#vm, endpoint, grant, arrivedAt) })
      this.#connections.set(name, connection + 1)
      await delay(this.#callMilliseconds)
      return { kind: 'broken' }
    }
    const accepted = this.#endpoints.applyGrant(this.#vm, endpoint, grant, performance.now())
    await this.#endpoints.transit()
    return accepted ? { kind: 'granted', connection } : { kind: 'fenced' }
  }

  override async release (holder: Holder, release: KeyRange & { readonly fence: number }): Promise<ReleaseReply> {
    await this.#endpoints.transit()
    const endpoint = this.#reached(holder)
    if (endpoint === undefined) return { kind: 'failed' }
    endpoint.withdraw(release)
    this.#endpoints.recordEvent(release, `${this.#vm} releases ${release.from}-${release.to} with ${release.fence} at ${nameOf(holder)}`)
    await this.#endpoints.work()
    return this.#endpoints.losesAnswer ? { kind: 'failed' } : { kind: 'released', handover: 'warm' }
  }

  #reached (holder: Holder): SimulatedEndpoint | undefined {
    const endpoint = this.#endpoints.get(holder)
    return endpoint?.alive === true && !this.cut.has(holder.endpoint) ? endpoint : undefined
  }
}

function nameOf ({ endpoint, life }: Holder): string {
  return `${endpoint}#${life}`
}
