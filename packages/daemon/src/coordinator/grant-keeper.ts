import { BriarsaddleError, delay, describeError, errorCode, Logger, processTicker, type Clock, type LifeCycle } from '@briarsaddle/common'
import { EndpointClock, type EndpointDescription } from '@briarsaddle/ownership'
import type { BucketGrant, CoordinatorToken, EndpointClient, HelloAnswer, RenewAnswer } from './endpoint-client.js'
import type { LeaseSource } from './lease-source.js'
import type { SessionState } from './session-state.js'

/** Durations of grants, intervals of control calls and the margin for clock drift, as in the settings. */
export interface GrantTiming {
  readonly grantMilliseconds: number
  readonly renewMilliseconds: number
  readonly suspectMilliseconds: number
  readonly clockMarginPercent: number
}

/** Decides what a grant keeper grants and receives its events. */
export abstract class GrantDelegate {
  /** Returns the buckets to grant now. `reportedGrants` are the grants that the endpoint reported when it accepted the token. */
  abstract bucketsToGrant (reportedGrants: readonly BucketGrant[]): readonly BucketGrant[]
  /** False while a former coordinator may still act on an endpoint that does not check tokens. */
  abstract takeoverEffective (): boolean
  /** Called after every change of state. */
  abstract stateChanged (state: SessionState): void
  /** The endpoint stopped answering on connections opened before `since` (local time) but answered on a new one. `running` is its number of running requests. */
  abstract reconnected (running: number, since: number): void
  /** Called after each renewal attempt while the grants have been expired for longer than a renewal normally takes. */
  abstract renewalOverdue (): void
  /** Called after each renewal that the endpoint acknowledged. */
  abstract renewed (granted: readonly BucketGrant[], answer: RenewAnswer): void
}

const logger = new Logger('grants')
const controlCallTimeoutMilliseconds = 200
const freshConnectionTimeoutMilliseconds = 150
const longestStepMilliseconds = 2 * controlCallTimeoutMilliseconds + 100
const lostRetryMilliseconds = 500
const offerMilliseconds = 50
// Waiting makes no calls to the endpoint, so frequent checks cost little. Checks at the renewal interval started service up to 100 ms late.
const takeoverPollMilliseconds = 10

/** Offers the coordinator token to one endpoint and renews its grants while this VM holds the lease. */
export class GrantKeeper {
  readonly #description: EndpointDescription
  readonly #coordinatorName: string
  #token: CoordinatorToken
  #acceptedToken: CoordinatorToken
  readonly #client: EndpointClient
  readonly #clock: Clock
  readonly #rights: LeaseSource
  readonly #timing: GrantTiming
  readonly #delegate: GrantDelegate
  #state: SessionState = 'offering'
  #hello: HelloAnswer | undefined
  #endpointClock: EndpointClock
  #lastContact: number
  #grantedUntil = -Infinity
  /** The list of grants that the endpoint has acknowledged; later renewals send only its number. */
  #knownList: { readonly number: number, readonly buckets: readonly BucketGrant[] } | undefined
  /** Number of the last list sent. */
  #lastList = 0
  /** Token of each granted bucket. */
  #granted: ReadonlyMap<number, number> = new Map()
  /** The list that `#granted` was built from; undefined after a renewal that only revoked grants. */
  #grantedList: readonly BucketGrant[] | undefined
  /** Local expiry of the last grant sent for each bucket, acknowledged or not. */
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
    readonly rights: LeaseSource
    readonly timing: GrantTiming
    readonly delegate: GrantDelegate
  }) {
    this.#description = options.description
    this.#coordinatorName = options.coordinatorName
    this.#token = options.token
    this.#acceptedToken = options.token
    this.#client = options.client
    this.#clock = options.clock
    this.#rights = options.rights
    this.#timing = options.timing
    this.#delegate = options.delegate
    this.#lastContact = options.clock.now()
    this.#endpointClock = this.#createClock()
  }

  /** State of the session. */
  get state (): SessionState { return this.#state }
  /** Id of the process that runs as the endpoint, from its last accepted offer. */
  get instance (): string { return this.#instance }
  /** Number of requests that the endpoint runs in parallel. */
  get slots (): number { return this.#slots }
  /** True when the endpoint reports that it can be given buckets. */
  get ready (): boolean { return this.#ready }
  /** True when the endpoint reports that it is leaving. */
  get draining (): boolean { return this.#draining }
  /** Token of the last accepted offer; before the first one, the token that is being offered. */
  get acceptedToken (): CoordinatorToken { return this.#acceptedToken }

  /** Local time from which no grant of the bucket by this VM is valid, whether or not the endpoint acknowledged it. */
  lastGrantEnd (bucket: number): number { return this.#lastGrantEnds.get(bucket) ?? -Infinity }

  /** Offers a newer token of this VM. Grants under the former token stay valid until they expire. */
  replaceToken (token: CoordinatorToken): void {
    this.#token = token
    this.#hello = undefined
    if (this.#state === 'fenced') this.#change('offering')
  }

  /** True when the endpoint may be sent requests for the bucket now. Bucket -1 stands for pools that are not partitioned by key. */
  holds (bucket: number, token: number): boolean {
    if (this.#state !== 'active') return false
    if (this.#expired()) return false
    return bucket < 0 || this.#granted.get(bucket) === token
  }

  /**
   * True when the grants have been expired for longer than a renewal normally takes. The time counts from when this
   * process noticed the expiry, because the first renewal after a pause of the process usually succeeds.
   */
  get renewalIsOverdue (): boolean {
    if (this.#expiredSince === undefined || !this.#expired()) return false
    return this.#clock.now() - this.#expiredSince > this.#timing.renewMilliseconds + controlCallTimeoutMilliseconds
  }

  /** Token under which the endpoint last acknowledged a grant of the bucket. */
  grantedToken (bucket: number): number | undefined {
    return this.#granted.get(bucket)
  }

  /** Converts a local time to the endpoint's clock, allowing for clock drift: the endpoint reaches the result no later than this VM reaches the local time. */
  toEndpointClock (localTime: number): number {
    return this.#endpointClock.validUntil(localTime)
  }

  /** Renews at once instead of after the interval, for example when a bucket was added. */
  wake (): void {
    this.#wakeUp.abort()
  }

  /** Stops renewals. The endpoint is not told, so grants of the next coordinator are not affected. */
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

  /** Waits until the next step is due. Renewals of all endpoints share one timer and start at most one interval after the previous one started. */
  async #pause (startedAt: number, signal: AbortSignal): Promise<void> {
    const elapsed = this.#clock.now() - startedAt
    if (this.#state === 'lost' || this.#state === 'fenced') return await delay(Math.max(1, lostRetryMilliseconds - elapsed), signal)
    if (this.#hello === undefined) return await delay(Math.max(1, offerMilliseconds - elapsed), signal)
    if (this.#state === 'waiting') return await delay(takeoverPollMilliseconds, signal)
    // After a step that took longer than the interval, the next one starts at once.
    if (elapsed < this.#timing.renewMilliseconds) await processTicker.wait(this.#timing.renewMilliseconds, signal)
  }

  async #step (lifeCycle: LifeCycle): Promise<void> {
    const startedAt = this.#clock.now()
    try {
      if (!this.#holdsLease()) return
      if (this.#hello === undefined) await this.#offer(controlCallTimeoutMilliseconds)
      if (this.#delegate.takeoverEffective()) await this.#renew()
      else this.#change('waiting')
    } catch (error) {
      if (lifeCycle.closed) return
      // A step that took much longer than its timeouts shows that this process was paused; the answer may have arrived unread.
      if (this.#clock.now() - startedAt > longestStepMilliseconds) this.#lastContact = this.#clock.now()
      await this.#failed(error)
    }
  }

  #noticeExpiry (): void {
    if (this.#state !== 'active' || !this.#expired()) this.#expiredSince = undefined
    else this.#expiredSince ??= this.#clock.now()
    if (this.renewalIsOverdue) this.#delegate.renewalOverdue()
  }

  #expired (): boolean {
    return this.#clock.now() >= this.#grantedUntil || !this.#holdsLease()
  }

  #holdsLease (): boolean {
    return this.#clock.now() < this.#rights.leaseUntil(this.#description.id)
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
    const buckets = this.#delegate.bucketsToGrant(hello.granted)
    // The clock and the lease are read after the list was built and before the write, without an await in between.
    const now = this.#clock.now()
    const until = Math.min(now + this.#timing.grantMilliseconds, this.#rights.leaseUntil(this.#description.id))
    if (until <= now) return
    for (const { bucket } of buckets) this.#lastGrantEnds.set(bucket, until)
    const known = this.#knownList !== undefined && sameGrants(this.#knownList.buckets, buckets)
    const list = known ? this.#knownList?.number ?? 0 : ++this.#lastList
    const answer = await this.#client.renew({
      instance: hello.instance,
      coordinator: this.#coordinatorName,
      token: this.#acceptedToken,
      list,
      // The list makes up most of the bytes of a renewal and seldom changes.
      ...(known ? {} : { buckets }),
      validUntil: this.toEndpointClock(until)
    }, controlCallTimeoutMilliseconds)
    if (answer.extended) this.#knownList = { number: list, buckets }
    this.#sampleClock(answer.clock)
    this.#acknowledged(buckets, until, answer.extended)
    this.#ready = answer.ready
    this.#draining = answer.draining
    this.#change('active')
    this.#delegate.renewed(buckets, answer)
  }

  #acknowledged (buckets: readonly BucketGrant[], until: number, extended: boolean): void {
    if (extended) this.#grantedUntil = until
    // Most renewals repeat the previous list.
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
    return new EndpointClock({ leaseDuration: this.#timing.grantMilliseconds, margin: this.#timing.clockMarginPercent / 100 })
  }

  async #failed (error: unknown): Promise<void> {
    logger.debug('control call failed', { endpoint: this.#description.id, reason: describeError(error) })
    if (errorCode(error) === 'list_unknown') {
      this.#knownList = undefined
      return
    }
    if (errorCode(error) === 'token_refused') return this.#refused()
    if (!(error instanceof BriarsaddleError)) {
      logger.warning('unexpected failure of a control call', { endpoint: this.#description.id, reason: describeError(error) })
    }
    // The next call is an offer, which grants nothing. A renewal without an answer would instead postpone the time from
    // which the endpoint's buckets may be given to other endpoints.
    this.#hello = undefined
    if (this.#clock.now() - this.#lastContact < this.#timing.suspectMilliseconds || this.#state === 'lost') return
    await this.#tryFreshConnection()
  }

  /** A refused renewal may come from a restarted endpoint, which accepts a new offer. A refused offer means that the endpoint knows a higher token. */
  #refused (): void {
    this.#lastContact = this.#clock.now()
    if (this.#hello === undefined) this.#change('fenced')
    this.#hello = undefined
  }

  /** Tries a new connection before the endpoint counts as lost, because the old ones may be broken while the endpoint works. */
  async #tryFreshConnection (): Promise<void> {
    const since = this.#clock.now()
    try {
      await this.#client.reconnect()
      await this.#offer(freshConnectionTimeoutMilliseconds)
      if (this.#hello !== undefined) this.#delegate.reconnected(this.#hello.running, since)
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
    this.#delegate.stateChanged(state)
  }
}

function sameGrants (one: readonly BucketGrant[], other: readonly BucketGrant[]): boolean {
  return one === other || (one.length === other.length && one.every(({ bucket, token }, index) => other[index]?.bucket === bucket && other[index]?.token === token))
}
