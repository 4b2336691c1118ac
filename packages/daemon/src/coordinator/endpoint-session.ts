import { Logger, type Clock, type LifeCycle, type Random } from '@briarsaddle/common'
import type { BucketState, EndpointDescription } from '@briarsaddle/ownership'
import { Outcome, ServiceClass, type Answer, type Forward } from '@briarsaddle/protocol'
import { EndpointQueue, type JobDescription, type QueuePolicy } from '@briarsaddle/scheduling'
import { answerForRejection, defaultRetryAfterMilliseconds, notRun, notRunError, unknown, type Reason } from './answers.js'
import { EndpointClient, type BucketGrant, type CoordinatorToken, type RenewAnswer } from './endpoint-client.js'
import { GrantKeeper, GrantDelegate, type GrantTiming } from './grant-keeper.js'
import { IdempotencyKeyHandler, RequestQueue, type PendingRequest } from './idempotency-key-handler.js'
import type { PoolRunner } from './coordinator.js'
import { JournalImports, type FormerHolderJournals, type HandedOverBucket } from './journal-imports.js'
import { IdempotencyJournal, type JournalSink } from './journal.js'
import { RequestSender } from './request-sender.js'
import { LongWork, type LongDurations, type LongJob } from './long-work.js'
import type { LeaseSource } from './lease-source.js'
import { RunningRequests } from './running-requests.js'
import { serviceClassOf } from './service-class.js'
import { SessionLoad } from './session-load.js'
import type { SessionState } from './session-state.js'

const logger = new Logger('session')

/** The control state that concerns one endpoint. */
export abstract class EndpointView {
  /** Buckets that the endpoint owns, without those that a former owner may still hold. */
  abstract owned (): readonly BucketGrant[]
  /** Buckets that were reassigned to other endpoints and that this endpoint has not released yet. */
  abstract leaving (): readonly number[]
  /** Owned buckets that another endpoint held before. */
  abstract handedOver (): readonly HandedOverBucket[]
  /** State of a bucket of the endpoint's pool. */
  abstract bucket (bucket: number): BucketState | undefined
  /** Local time until which a former coordinator may still act on an endpoint that does not check tokens; undefined when not known. */
  abstract takeoverAt (): number | undefined
}

/** Receives the events of sessions. */
export abstract class SessionObserver {
  /** The session has changed to this state. */
  abstract stateChanged (session: EndpointSession, state: SessionState): void
  /** The endpoint has acknowledged that it no longer holds these buckets. */
  abstract bucketsRevoked (session: EndpointSession, buckets: readonly number[]): void
  /** A long job is about to be queued; its deadline is `deadlineMilliseconds` away. */
  abstract longJobArrives (session: EndpointSession, deadlineMilliseconds: number): void
  /** A request that is not long waited in the queue for `milliseconds`; a long request was running when it was queued. */
  abstract waitedBehindLong (session: EndpointSession, serviceClass: string, milliseconds: number): void
}

/** Settings and dependencies of a session. */
export interface SessionOptions {
  /** Name under which the endpoint knows this process. */
  readonly coordinatorName: string
  readonly description: EndpointDescription
  readonly token: CoordinatorToken
  readonly standby: string | undefined
  readonly clock: Clock
  readonly random: Random
  readonly rights: LeaseSource
  readonly timing: GrantTiming
  readonly view: EndpointView
  readonly observer: SessionObserver
  readonly journalSink: JournalSink
  readonly formerHolders: FormerHolderJournals
  /** Returns undefined while the VM is starting. */
  readonly poolRunner: () => PoolRunner | undefined
  readonly policy: QueuePolicy
  readonly longDurations: LongDurations
  readonly admission: boolean
  readonly maximumQueued: number
  readonly maximumConnections: number
  readonly maximumAnswerBytes: number
}

/** A coordinator's session with one endpoint: its grants, queue, journal and connections. */
export class EndpointSession extends GrantDelegate {
  readonly description: EndpointDescription
  readonly grants: GrantKeeper
  readonly journal: IdempotencyJournal
  readonly queue: EndpointQueue
  readonly load: SessionLoad
  readonly running = new RunningRequests()
  readonly longWork: LongWork
  readonly #options: SessionOptions
  readonly #client: EndpointClient
  readonly #sender: RequestSender
  readonly #imports: JournalImports
  readonly #idempotencyKeys: IdempotencyKeyHandler
  readonly #lifeCycle: LifeCycle
  /** Buckets that may be granted while this VM coordinates provisionally. */
  #provisionalGrants: ReadonlySet<number> | undefined
  /** Requests that wait until the session is active. */
  #activeWaiters: Array<() => void> = []
  /** Aborts the running requests when the endpoint is lost. */
  #lost = new AbortController()

  constructor (options: SessionOptions, lifeCycle: LifeCycle) {
    super()
    this.#options = options
    this.#lifeCycle = lifeCycle
    this.load = new SessionLoad(options.clock)
    this.longWork = new LongWork(options.description.pool, options.clock, options.longDurations)
    this.description = options.description
    this.#client = new EndpointClient(options.description, { coordinatorName: options.coordinatorName, maximumConnections: options.maximumConnections, maximumAnswerBytes: options.maximumAnswerBytes })
    this.journal = new IdempotencyJournal({ endpoint: options.description.id, token: options.token.offset, standby: options.standby, clock: options.clock, sink: options.journalSink })
    this.#imports = new JournalImports({ endpoint: options.description.id, journal: this.journal, journals: options.formerHolders, clock: options.clock, lifeCycle })
    this.#idempotencyKeys = new IdempotencyKeyHandler({
      ...options,
      endpoint: options.description.id,
      journal: this.journal,
      imports: this.#imports,
      queue: new SessionQueue(request => this.#refuse(request), async (request, prepare) => await this.#enqueue(request, prepare), bucket => this.#heldBucket(bucket))
    })
    this.queue = new EndpointQueue({ slots: 1, maximumQueued: options.maximumQueued, clock: options.clock, random: options.random, policy: options.policy, admission: options.admission })
    this.grants = new GrantKeeper({ ...options, client: this.#client, delegate: this })
    this.#sender = new RequestSender({ client: this.#client, grants: this.grants, clock: options.clock, coordinatorName: options.coordinatorName })
    lifeCycle.own('connections', async () => await this.#client.destroy())
  }

  /** Starts to offer the coordinator token to the endpoint. */
  start (): void {
    void this.grants.run(this.#lifeCycle)
  }

  /** Number of requests that the endpoint is running for this session. */
  get inFlight (): number {
    return this.running.total
  }

  /** Switches to a newer coordinator record that names this VM again. */
  renewToken (token: CoordinatorToken, standby: string | undefined): void {
    this.#provisionalGrants = undefined
    this.grants.replaceToken(token)
    this.journal.replaceStandby(token.offset, standby)
    void this.journal.copyAll()
  }

  /** Starts to import the idempotency keys of buckets that other endpoints held before. */
  reviewImports (): void {
    this.#imports.review(this.#options.view.handedOver())
  }

  /** Samples the queue and the owned buckets for the load averages. */
  sampleLoad (): void {
    this.load.sample(this.queue.queued, this.queue.slots, this.#options.view.owned().length)
  }

  /** Refuses all queued requests at once, as not run. Running requests continue. */
  refuseQueued (reason: Reason): void {
    // An expired lease returns once the log or the witnesses answer again; a new coordinator is available as soon as the entry VMs have read its record.
    const retryAfterMilliseconds = reason === 'right_expired' ? defaultRetryAfterMilliseconds : movedRetryMilliseconds
    this.queue.rejectQueued(() => notRunError(notRun(reason, retryAfterMilliseconds)))
  }

  /** Runs a request. Always resolves. */
  async handle (forward: Forward, signal: AbortSignal): Promise<Answer> {
    const deadlineAt = this.#options.clock.now() + forward.deadlineMilliseconds
    if (!await this.#waitUntilActive(deadlineAt, signal)) return this.#withOutstanding(notRun('endpoint_unavailable'))
    const bucketToken = this.#bucketToken(forward.bucket)
    if (bucketToken === undefined) return this.#withOutstanding(notRun('not_owner', 50))
    const request: PendingRequest = { forward, bucketToken, deadlineAt, signal }
    if (forward.idempotent || forward.idempotencyKey === '') return this.#withOutstanding(this.#refuse(request) ?? await this.#enqueue(request, async () => true))
    return this.#withOutstanding(await this.#idempotencyKeys.handle(request))
  }

  override takeoverEffective (): boolean {
    return this.#options.clock.now() >= (this.#options.view.takeoverAt() ?? Infinity)
  }

  override bucketsToGrant (reportedGrants: readonly BucketGrant[]): readonly BucketGrant[] {
    if (this.grants.acceptedToken.provisional > 0) return this.#provisionalBuckets(reportedGrants)
    // A bucket that was reassigned stays granted under its former token until its running requests have ended.
    const stillRunning: BucketGrant[] = []
    for (const bucket of this.#options.view.leaving()) {
      const token = this.grants.grantedToken(bucket)
      if (token !== undefined && this.running.has(bucket)) stillRunning.push({ bucket, token })
    }
    const owned = this.#options.view.owned()
    // Returning the array of the last call shows the grant keeper, without a comparison of the elements, that nothing has changed.
    return stillRunning.length === 0 ? owned : [...owned, ...stillRunning]
  }

  override stateChanged (state: SessionState): void {
    if (state === 'active') {
      for (const wake of this.#activeWaiters.splice(0)) wake()
    }
    if (state === 'fenced') this.refuseQueued('not_coordinator')
    if (state === 'lost') {
      this.refuseQueued('endpoint_lost')
      // Running requests are answered at once. An endpoint that checks tokens refuses the effects of those that end after its grant has expired.
      this.#lost.abort()
      this.#lost = new AbortController()
    }
    this.#options.observer.stateChanged(this, state)
  }

  override renewalOverdue (): void {
    // Otherwise a queued request would be refused only when its turn comes, which may be after a long job.
    this.refuseQueued('right_expired')
  }

  override reconnected (running: number, since: number): void {
    this.#sender.abortUnanswered(running, since)
  }

  override renewed (granted: readonly BucketGrant[], answer: RenewAnswer): void {
    if (this.queue.slots !== this.grants.slots) this.queue.setSlots(this.grants.slots)
    // Requests that a former coordinator sent may still occupy slots.
    this.queue.setForeignRunning(Math.max(0, answer.running - this.inFlight))
    const leaving = this.#options.view.leaving()
    if (leaving.length === 0) return
    const held = new Set([...granted.map(({ bucket }) => bucket), ...answer.stillHeld])
    const revoked = leaving.filter(bucket => !held.has(bucket))
    if (revoked.length > 0) this.#options.observer.bucketsRevoked(this, revoked)
  }

  /** State of the session for the state dump. */
  snapshot (): Readonly<Record<string, unknown>> {
    return {
      endpoint: this.description.id,
      pool: this.description.pool,
      state: this.grants.state,
      token: this.grants.acceptedToken,
      ready: this.grants.ready,
      draining: this.grants.draining,
      inFlight: this.inFlight,
      queue: this.queue.snapshot(),
      journal: { size: this.journal.size, complete: this.journal.complete }
    }
  }

  /**
   * While this VM coordinates provisionally, only buckets that the endpoint reported as granted when it accepted the
   * token are renewed. The endpoint may have given up others, and this VM may not have read the record of their release;
   * the witnesses rule out every other way in which a bucket could have left the endpoint.
   */
  #provisionalBuckets (reportedGrants: readonly BucketGrant[]): readonly BucketGrant[] {
    this.#provisionalGrants ??= new Set(reportedGrants.map(({ bucket }) => bucket))
    const renewable = this.#provisionalGrants
    return this.#options.view.owned().filter(({ bucket }) => renewable.has(bucket))
  }

  #bucketToken (bucket: number): number | undefined {
    if (bucket < 0) return -1
    return this.#heldBucket(bucket)?.token
  }

  #heldBucket (bucket: number): BucketState | undefined {
    const state = this.#options.view.bucket(bucket)
    return state?.owner === this.description.id && state.pendingFrom === undefined ? state : undefined
  }

  /** Returns a refusal before any work is done for the request, because a rejection by `submit` costs about 20 times as much. */
  #refuse ({ forward, deadlineAt, signal }: PendingRequest): Answer | undefined {
    if (this.grants.renewalIsOverdue) return notRun('right_expired')
    const refusal = this.queue.refuseIfNotAdmitted(describeJob(forward, deadlineAt, signal))
    return refusal === undefined ? undefined : notRun(refusal.code, refusal.retryAfterMilliseconds)
  }

  /** Queues the request. `prepare` runs while it is queued; the request is sent only if `prepare` resolves to true. */
  async #enqueue (request: PendingRequest, prepare: () => Promise<boolean>): Promise<Answer> {
    const { forward, deadlineAt, signal } = request
    let rejected = false
    let complete = false
    const longJob = this.#addLongJob(forward)
    const submittedAt = this.#options.clock.now()
    const behindLong = this.running.anyLong
    const prepared = Promise.resolve().then(async () => rejected || await prepare())
    const submitted = this.queue.submit<Answer>({
      ...describeJob(forward, deadlineAt, signal),
      isRunningTimeSample: answer => answer.outcome === Outcome.OUTCOME_ANSWERED,
      run: async runSignal => {
        if (behindLong) this.#reportWait(forward, this.#options.clock.now() - submittedAt)
        if (!await prepared) throw notRunError(notRun('journal_unavailable'))
        if (longJob !== undefined) this.longWork.start(longJob)
        return await this.#run({ ...request, signal: runSignal })
      }
    })
    try {
      const answer = await submitted
      complete = answer.outcome === Outcome.OUTCOME_ANSWERED
      return answer
    } catch (error) {
      rejected = true
      const answer = answerForRejection(error)
      if (answer !== undefined) return answer
      logger.error('unexpected failure of a request', { request: forward.requestId, reason: String(error) })
      return unknown('connection_broken')
    } finally {
      if (longJob !== undefined) this.longWork.end(longJob, complete)
    }
  }

  #addLongJob (forward: Forward): LongJob | undefined {
    if (forward.serviceClass !== ServiceClass.SERVICE_CLASS_LONG) return undefined
    const job = this.longWork.add(forward.bucket, forward.rule)
    this.#options.observer.longJobArrives(this, forward.deadlineMilliseconds)
    return job
  }

  #reportWait (forward: Forward, milliseconds: number): void {
    const serviceClass = serviceClassOf(forward.serviceClass)
    if (serviceClass !== 'long') this.#options.observer.waitedBehindLong(this, serviceClass, milliseconds)
  }

  async #run ({ forward, bucketToken, deadlineAt, signal }: PendingRequest): Promise<Answer> {
    // The bucket may have been reassigned while the request was queued.
    if (this.#bucketToken(forward.bucket) !== bucketToken) return notRun('not_owner', 50)
    const bucket = forward.bucket
    const long = forward.serviceClass === ServiceClass.SERVICE_CLASS_LONG
    this.running.start(bucket, long)
    const startedAt = this.#options.clock.now()
    try {
      const lost = this.#lost.signal
      const answer = await this.#sender.send(forward, bucketToken, deadlineAt, AbortSignal.any([signal, lost]))
      return answer.reason === 'cancelled' && lost.aborted ? { ...answer, reason: 'endpoint_lost' } : answer
    } finally {
      this.running.end(bucket, long)
      this.load.recordRequest(bucket, this.#options.clock.now() - startedAt, long)
    }
  }

  async #waitUntilActive (deadlineAt: number, signal: AbortSignal): Promise<boolean> {
    const { state } = this.grants
    if (state === 'active') return true
    if (!this.#activatesBefore(deadlineAt) || this.#activeWaiters.length >= this.#options.maximumQueued) return false
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, Math.min(maximumActivationWaitMilliseconds, deadlineAt - this.#options.clock.now()))
      signal.addEventListener('abort', finish)
      this.#activeWaiters.push(finish)
    })
    return this.grants.state === 'active' && !signal.aborted
  }

  /** True when a request may wait for the session to become active: while the token is offered, or when the end of a takeover is known, near and before the deadline. */
  #activatesBefore (deadlineAt: number): boolean {
    const { state } = this.grants
    if (state !== 'waiting') return state === 'offering'
    const takeoverAt = this.#options.view.takeoverAt() ?? Infinity
    return takeoverAt < deadlineAt && takeoverAt - this.#options.clock.now() < maximumTakeoverWaitMilliseconds
  }

  #withOutstanding (answer: Answer): Answer {
    return { ...answer, outstanding: this.queue.outstanding }
  }
}

const maximumActivationWaitMilliseconds = 1000
/** Requests that waited longer would be so many, all starting at once, that they would delay the first answers. */
const maximumTakeoverWaitMilliseconds = 250
const movedRetryMilliseconds = 50

function describeJob (forward: Forward, deadlineAt: number, signal: AbortSignal): JobDescription {
  return { serviceClass: serviceClassOf(forward.serviceClass), rule: forward.rule, deadlineAt, signal }
}

class SessionQueue extends RequestQueue {
  constructor (
    readonly refuse: RequestQueue['refuse'],
    readonly enqueue: RequestQueue['enqueue'],
    readonly heldBucket: RequestQueue['heldBucket']
  ) {
    super()
  }
}
