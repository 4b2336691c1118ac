import { BriarsaddleError, delay, describeError, errorCode, Logger, processTicker, type Clock, type LifeCycle } from '@briarsaddle/common'
import { EndpointClock, type EndpointDescription } from '@briarsaddle/ownership'
import type { BucketGrant, CoordinatorToken, EndpointClient, HelloAnswer, RenewAnswer } from './endpoint-client.js'
import type { RightSource } from './right-source.js'
import type { SessionState } from './session-state.js'

/** Intervals of the exchange with an endpoint, in milliseconds unless named otherwise. */
export interface GrantTiming {
  readonly grantMilliseconds: number
  readonly renewMilliseconds: number
  readonly suspectMilliseconds: number
  readonly clockMarginPercent: number
}

/** What a grant keeper needs from the session that it serves. */
export abstract class GrantOwner {
  /** Buckets to grant now. `formerly` are the grants that the endpoint reported when it accepted the token. */
  abstract bucketsToGrant (formerly: readonly BucketGrant[]): readonly BucketGrant[]
  /** False while a former coordinator of an endpoint that does not check may still act. */
  abstract takeoverEffective (): boolean
  /** Called after every change of state. */
  abstract stateChanged (state: SessionState): void
  /** The endpoint answered on a fresh connection after silence on those from before `since` (local time); `running` is its number of running requests. */
  abstract reconnected (running: number, since: number): void
  /** Called at each interval while the grants have been expired for longer than a renewal can be expected to take. */
  abstract renewalOverdue (): void
  /** Called after every renewal that the endpoint acknowledged. */
  abstract renewed (granted: readonly BucketGrant[], answer: RenewAnswer): void
}

const logger = new Logger('grants')
const controlCallTimeoutMilliseconds = 200
const freshConnectionTimeoutMilliseconds = 150
const longestStepMilliseconds = 2 * controlCallTimeoutMilliseconds + 100
const lostRetryMilliseconds = 500
const offerMilliseconds = 50
// No call is made while waiting, so looking often costs little; at the renewal interval service began up to 100 ms late.
const takeoverPollMilliseconds = 10

/** Offers the coordinator token to one endpoint and renews its grants while this VM has the right to. */
export class GrantKeeper {
  readonly #description: EndpointDescription
  readonly #coordinatorName: string
  #token: CoordinatorToken
  #acceptedToken: CoordinatorToken
  readonly #client: EndpointClient
  readonly #clock: Clock
  readonly #rights: RightSource
  readonly #timing: GrantTiming
  readonly #owner: GrantOwner
  #state: SessionState = 'offering'
  #hello: HelloAnswer | undefined
  #endpointClock: EndpointClock
  #lastContact: number
  #grantedUntil = -Infinity
  /** The list that the endpoint knows by its number, and the number of the last list sent. */
  #knownList: { readonly number: number, readonly buckets: readonly BucketGrant[] } | undefined
  #lastList = 0
  #granted: ReadonlyMap<number, number> = new Map()
  /** The list from which `#granted` was made, if it was made from a complete one. */
  #grantedList: readonly BucketGrant[] | undefined
  /** Local end of the last grant sent for each bucket, acknowledged or not. */
  readonly #lastGrantEnds = new Map<number, number>()
  #instance = ''
  #slots = 1
  #ready = false
  #draining = false
  /** When this process first noticed that the grants had expired; undefined while they are valid. */
  #expiredSince: number | undefined
  #wakeUp = new AbortController()

  constructor (options: {
    readonly description: EndpointDescription
    readonly coordinatorName: string
    readonly token: CoordinatorToken
    readonly client: EndpointClient
    readonly clock: Clock
    readonly rights: RightSource
    readonly timing: GrantTiming
    readonly owner: GrantOwner
  }) {
    this.#description = options.description
    this.#coordinatorName = options.coordinatorName
    this.#token = options.token
    this.#acceptedToken = options.token
    this.#client = options.client
    this.#clock = options.clock
    this.#rights = options.rights
    this.#timing = options.timing
    this.#owner = options.owner
    this.#lastContact = options.clock.now()
    this.#endpointClock = this.#createClock()
  }

  get state (): SessionState { return this.#state }
  get instance (): string { return this.#instance }
  get slots (): number { return this.#slots }
  get ready (): boolean { return this.#ready }
  get draining (): boolean { return this.#draining }
  /** Token of the last offer that the endpoint accepted. */
  get acceptedToken (): CoordinatorToken { return this.#acceptedToken }

  /** Local time after which no grant of the bucket given by this VM is valid, whether or not the endpoint acknowledged it. */
  lastGrantEnd (bucket: number): number { return this.#lastGrantEnds.get(bucket) ?? -Infinity }

  /** Offers a newer token of this VM. Grants given under the former token stay valid until they expire. */
  replaceToken (token: CoordinatorToken): void {
    this.#token = token
    this.#hello = undefined
    if (this.#state === 'fenced') this.#change('offering')
  }

  /** True when the bucket may be served now. A bucket of -1 stands for pools that are not partitioned by key. */
  holds (bucket: number, token: number): boolean {
    if (this.#state !== 'active') return false
    if (this.#expired()) return false
    return bucket < 0 || this.#granted.get(bucket) === token
  }

  /**
   * True when the grants have been expired for longer than a renewal can be expected to take. Counts from when this
   * process noticed, because the first renewal after a pause of the process usually succeeds.
   */
  get renewalIsOverdue (): boolean {
    if (this.#expiredSince === undefined || !this.#expired()) return false
    return this.#clock.now() - this.#expiredSince > this.#timing.renewMilliseconds + controlCallTimeoutMilliseconds
  }

  /** Token under which the endpoint last acknowledged a grant of the bucket. */
  grantedToken (bucket: number): number | undefined {
    return this.#granted.get(bucket)
  }

  /** Converts a local time to the endpoint's clock, so that it never shows later there than here. */
  toEndpointClock (localTime: number): number {
    return this.#endpointClock.validUntil(localTime)
  }

  /** Renews at once instead of at the next interval, for example when a bucket was added. */
  wake (): void {
    this.#wakeUp.abort()
  }

  /** Stops renewing; the endpoint keeps what the next coordinator grants. */
  stop (): void {
    this.#change('closed')
  }

  /** Runs until the life cycle closes or `stop` is called. */
  async run (lifeCycle: LifeCycle): Promise<void> {
    while (!lifeCycle.closed && this.#state !== 'closed') {
      const startedAt = this.#clock.now()
      await this.#step(lifeCycle)
      this.#noticeExpiry()
      await this.#pause(startedAt, AbortSignal.any([lifeCycle.signal, this.#wakeUp.signal]))
      if (this.#wakeUp.signal.aborted) this.#wakeUp = new AbortController()
    }
    this.#change('closed')
  }

  /** Renewals of all endpoints share a wake-up; the next is due at most one interval after the start of the last. */
  async #pause (startedAt: number, signal: AbortSignal): Promise<void> {
    const elapsed = this.#clock.now() - startedAt
    if (this.#state === 'lost' || this.#state === 'fenced') return await delay(Math.max(1, lostRetryMilliseconds - elapsed), signal)
    if (this.#hello === undefined) return await delay(Math.max(1, offerMilliseconds - elapsed), signal)
    if (this.#state === 'waiting') return await delay(takeoverPollMilliseconds, signal)
    // A call that lasted longer than the interval is followed by the next one at once.
    if (elapsed < this.#timing.renewMilliseconds) await processTicker.wait(this.#timing.renewMilliseconds, signal)
  }

  async #step (lifeCycle: LifeCycle): Promise<void> {
    const startedAt = this.#clock.now()
    try {
      if (!this.#hasRight()) return
      if (this.#hello === undefined) await this.#offer(controlCallTimeoutMilliseconds)
      if (this.#owner.takeoverEffective()) await this.#renew()
      else this.#change('waiting')
    } catch (error) {
      if (lifeCycle.closed) return
      // A call that took much longer than its timeout shows that this process was paused; the answer may be waiting.
      if (this.#clock.now() - startedAt > longestStepMilliseconds) this.#lastContact = this.#clock.now()
      await this.#failed(error)
    }
  }

  #noticeExpiry (): void {
    if (this.#state !== 'active' || !this.#expired()) this.#expiredSince = undefined
    else this.#expiredSince ??= this.#clock.now()
    if (this.renewalIsOverdue) this.#owner.renewalOverdue()
  }

  #expired (): boolean {
    return this.#clock.now() >= this.#grantedUntil || !this.#hasRight()
  }

  #hasRight (): boolean {
    return this.#clock.now() < this.#rights.rightUntil(this.#description.id)
  }

  async #offer (timeoutMilliseconds: number): Promise<void> {
    const token = this.#token
    const hello = await this.#client.hello(token, timeoutMilliseconds)
    if (token !== this.#token) return
    this.#hello = hello
    this.#acceptedToken = token
    this.#knownList = undefined
    this.#slots = hello.slots
    if (hello.instance !== this.#instance) {
      this.#granted = new Map()
      this.#grantedList = undefined
      this.#grantedUntil = -Infinity
      this.#endpointClock = this.#createClock()
    }
    this.#instance = hello.instance
    this.#ready = hello.ready
    this.#draining = hello.draining
    this.#sampleClock(hello.clock)
    logger.info('endpoint accepted coordinator token', { endpoint: this.#description.id, offset: this.#token.offset, provisional: this.#token.provisional, instance: hello.instance })
  }

  async #renew (): Promise<void> {
    const hello = this.#hello
    if (hello === undefined) return
    const buckets = this.#owner.bucketsToGrant(hello.granted)
    // The clock and the right are read after the list was made and before the write, in one turn of the event loop.
    const now = this.#clock.now()
    const until = Math.min(now + this.#timing.grantMilliseconds, this.#rights.rightUntil(this.#description.id))
    if (until <= now) return
    for (const { bucket } of buckets) this.#lastGrantEnds.set(bucket, until)
    const known = this.#knownList !== undefined && sameGrants(this.#knownList.buckets, buckets)
    const list = known ? this.#knownList?.number ?? 0 : ++this.#lastList
    const answer = await this.#client.renew({
      instance: hello.instance,
      coordinator: this.#coordinatorName,
      token: this.#acceptedToken,
      list,
      // The list is most of the bytes of a renewal, and it seldom changes.
      ...(known ? {} : { buckets }),
      validUntil: this.toEndpointClock(until)
    }, controlCallTimeoutMilliseconds)
    if (answer.extended) this.#knownList = { number: list, buckets }
    this.#sampleClock(answer.clock)
    this.#acknowledged(buckets, until, answer.extended)
    this.#ready = answer.ready
    this.#draining = answer.draining
    this.#change('active')
    this.#owner.renewed(buckets, answer)
  }

  #acknowledged (buckets: readonly BucketGrant[], until: number, extended: boolean): void {
    if (extended) this.#grantedUntil = until
    // Most renewals repeat the list of the last one.
    if (buckets === this.#grantedList) return
    const kept = extended ? buckets : buckets.filter(({ bucket, token }) => this.#granted.get(bucket) === token)
    this.#granted = new Map(kept.map(({ bucket, token }) => [bucket, token]))
    this.#grantedList = extended ? buckets : undefined
  }

  #sampleClock (endpointClock: number): void {
    this.#lastContact = this.#clock.now()
    this.#endpointClock.observe(endpointClock, this.#lastContact)
  }

  #createClock (): EndpointClock {
    return new EndpointClock({ rightDuration: this.#timing.grantMilliseconds, margin: this.#timing.clockMarginPercent / 100 })
  }

  async #failed (error: unknown): Promise<void> {
    logger.debug('control call failed', { endpoint: this.#description.id, reason: describeError(error) })
    if (errorCode(error) === 'list_unknown') {
      this.#knownList = undefined
      return
    }
    if (errorCode(error) === 'token_refused') return this.#refused()
    if (!(error instanceof BriarsaddleError)) {
      logger.warning('unexpected answer of an endpoint', { endpoint: this.#description.id, reason: describeError(error) })
    }
    // The next call is an offer, which grants nothing: otherwise each failed renewal would put off the time from which
    // the endpoint's buckets may be given to others.
    this.#hello = undefined
    if (this.#clock.now() - this.#lastContact < this.#timing.suspectMilliseconds || this.#state === 'lost') return
    await this.#tryFreshConnection()
  }

  /** A refusal means a new instance, which accepts a new offer, or a higher token. */
  #refused (): void {
    this.#lastContact = this.#clock.now()
    if (this.#hello === undefined) this.#change('fenced')
    this.#hello = undefined
  }

  /** A connection may have gone silent while new ones work, so a fresh one decides. */
  async #tryFreshConnection (): Promise<void> {
    const since = this.#clock.now()
    try {
      await this.#client.reconnect()
      await this.#offer(freshConnectionTimeoutMilliseconds)
      if (this.#hello !== undefined) this.#owner.reconnected(this.#hello.running, since)
    } catch (error) {
      if (errorCode(error) === 'token_refused') return this.#refused()
      this.#change('lost')
    }
  }

  #change (state: SessionState): void {
    if (this.#state === state || this.#state === 'closed') return
    const log = { endpoint: this.#description.id, from: this.#state, to: state }
    if (state === 'lost' || state === 'fenced') logger.warning('session state changed', log)
    else logger.info('session state changed', log)
    this.#state = state
    this.#owner.stateChanged(state)
  }
}

function sameGrants (one: readonly BucketGrant[], other: readonly BucketGrant[]): boolean {
  return one === other || (one.length === other.length && one.every(({ bucket, token }, index) => other[index]?.bucket === bucket && other[index]?.token === token))
}
