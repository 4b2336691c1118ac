import { BriarsaddleError, Logger, withTimeLimit, type Clock, type Random } from '@briarsaddle/common'
import { lengthUnknown, Answer, notRunAnswer, Outcome, ServiceClass, unknownAnswer, type Forward } from '@briarsaddle/protocol'
import { ClassPolicy, EndpointQueue, RefusalError, type ServiceClass as QueueClass } from '@briarsaddle/scheduling'
import type { Directory, EndpointEntry } from '../endpoint-entry.js'
import type { EndpointReach } from '../endpoint-reach.js'
import type { EndpointReply, EndpointTransport, ReportedLimit } from '../endpoint-transport.js'
import { SmoothedRate } from '../load-monitor.js'
import type { LeavingEndpoints } from '../leaving-endpoints.js'
import type { RouterMetrics } from '../router-metrics.js'
import { CrashWitness, type RunEnd } from '../poison/crash-witness.js'
import { poisonReason, type PoisonList } from '../poison/poison-list.js'
import { KeyDemandMeter } from './key-demand.js'

const logger = new Logger('gate')

/** What a gate needs from the VM. */
export interface EndpointGateOptions {
  readonly entry: EndpointEntry
  readonly transport: EndpointTransport
  readonly clock: Clock
  readonly random: Random
  readonly metrics: RouterMetrics
  readonly leaving: LeavingEndpoints
  readonly directory: () => Directory
  readonly poison: PoisonList
  readonly reach: Pick<EndpointReach, 'isInDoubt' | 'doubt' | 'isUnreached'>
}

// Further requests would wait beyond their deadlines; admission control refuses most of them before this limit.
const maximumQueued = 64
const policy = new ClassPolicy()
// A limit that was not named for this long is no reason to leave an endpoint to its coordinator.
const limitKnownMilliseconds = 5_000
// Keys are moved away from an endpoint that wants no requests for longer than a move takes.
const longPauseMilliseconds = 1_000
// How long requests that wait for an endpoint may still start after its directory entry said that it leaves.
const queueMilliseconds = 400

const queueClasses: Readonly<Record<ServiceClass, QueueClass>> = {
  [ServiceClass.SERVICE_CLASS_NORMAL]: 'normal',
  [ServiceClass.SERVICE_CLASS_PROMPT]: 'prompt',
  [ServiceClass.SERVICE_CLASS_LONG]: 'long'
}

/** Queues the requests for one endpoint and sends at most as many at a time as the endpoint has slots. */
export class EndpointGate {
  readonly #options: EndpointGateOptions
  readonly #queue: EndpointQueue
  /** Measures the demand at this endpoint. */
  readonly demand: KeyDemandMeter
  readonly #witness: CrashWitness
  /** Requests of all VMs for this endpoint, counted on arrival. */
  readonly rate = new SmoothedRate()
  #entry: EndpointEntry
  /** Requests a second that the endpoint takes from all VMs together; undefined when it names no limit. */
  #limit: number | undefined
  #limitNamedAt = -Infinity
  #pausedForLong = false
  #closesAt = Infinity
  /** Runs that may be repeated; given up when this VM does not reach the endpoint any more. */
  readonly #repeatable = new Set<AbortController>()
  #closeTimer: NodeJS.Timeout | undefined

  constructor (options: EndpointGateOptions) {
    this.#options = options
    this.#entry = options.entry
    const { clock, random } = options
    this.#queue = new EndpointQueue({ slots: options.entry.slots, maximumQueued, clock, random, policy })
    this.demand = new KeyDemandMeter(clock)
    this.#witness = new CrashWitness(options)
  }

  /** Number of requests that run or wait. */
  get outstanding (): number { return this.#queue.outstanding }
  /** Name of the endpoint's pool. */
  get pool (): string { return this.#entry.pool }
  /** Number of requests that the endpoint runs at the same time. */
  get slots (): number { return this.#queue.slots }
  /** Number of requests that wait. */
  get queued (): number { return this.#queue.queued }

  /** Requests a second that the endpoint takes from all VMs together; undefined when it names no limit. */
  get limit (): number | undefined { return this.#limit }
  /** Whether the endpoint has named a limit recently. */
  get isLimited (): boolean { return this.#limit !== undefined && this.#options.clock.now() - this.#limitNamedAt <= limitKnownMilliseconds }

  /** Slots that a recent limit or a long pause allows to be busy, given the mean service time; undefined without one, and while the time is not known. */
  usableSlots (serviceMilliseconds: number): number | undefined {
    if (this.#pausedForLong && this.#queue.pauseMilliseconds > 0) return 0
    if (this.#limit === undefined || !this.isLimited || serviceMilliseconds === 0) return undefined
    return Math.min(this.slots, this.#limit * serviceMilliseconds / 1_000)
  }

  /** Applies a new directory entry of the endpoint. */
  update (entry: EndpointEntry): void {
    if (entry.life !== this.#entry.life) {
      this.#setLimit(undefined)
      this.#queue.pauseStarts(0)
      clearTimeout(this.#closeTimer)
      this.#closesAt = Infinity
    }
    this.#entry = entry
    if (this.#options.leaving.isClosed(entry)) this.#closeIn(queueMilliseconds)
    if (entry.slots !== this.#queue.slots) this.#queue.setSlots(entry.slots)
  }

  /** Clears what was measured per rule. */
  forgetRules (): void {
    this.#queue.forgetRules()
    this.demand.forgetRules()
  }

  /** Applies the limit that another VM has from the endpoint; undefined when it names none. */
  adoptLimit (requestsPerSecond: number | undefined): void {
    if (requestsPerSecond !== undefined) this.#limitNamedAt = this.#options.clock.now()
    this.#setLimit(requestsPerSecond)
  }

  /** Queues a request, sends it to the endpoint and returns the answer. A refusal by the queue is an answer as well. */
  async handle (forward: Forward, signal: AbortSignal): Promise<Answer> {
    const { clock } = this.#options
    const arrivedAt = clock.now()
    const deadlineAt = arrivedAt + forward.deadlineMilliseconds
    this.rate.count()
    this.demand.recordArrival(forward.rule, forward.bucket)
    if (this.#options.leaving.isClosed(this.#entry)) return this.#refuseAsLeaving()
    if (this.#options.reach.isUnreached(this.#entry)) return this.#refuseAsUnreachable(endpointUnreachable)
    try {
      // Nobody waits for the answer after the deadline, even if the cancellation by the VM that received the request is late.
      const answer = await withTimeLimit(forward.deadlineMilliseconds, signal, async limited => await this.#queue.submit({
        serviceClass: queueClasses[forward.serviceClass],
        rule: forward.rule,
        deadlineAt,
        signal: limited,
        isPortable: forward.anyEndpoint,
        run: async runSignal => await this.#run(forward, { arrivedAt, deadlineAt }, runSignal),
        isRunningTimeSample: result => result.outcome === Outcome.OUTCOME_ANSWERED
      }))
      return { ...answer, outstanding: this.outstanding, requestsPerSecond: this.#limit ?? Infinity, endpointLeaving: this.#options.leaving.has(this.#entry) }
    } catch (error) {
      if (error instanceof BriarsaddleError && (error.code === outOfReachReason || error.code === endpointUnreachable)) return this.#refuseAsUnreachable(error.code)
      if (error instanceof BriarsaddleError && error.code === leavingReason) return this.#refuseAsLeaving()
      if (!(error instanceof RefusalError)) throw error
      const fields = {
        request: forward.requestId,
        endpoint: this.#entry.id,
        pool: this.pool,
        key: keyOf(forward),
        reason: error.code,
        outstanding: this.outstanding,
        queued: this.queued,
        slots: this.slots,
        requestsPerSecond: this.#limit,
        waitedMilliseconds: Math.round(clock.now() - arrivedAt),
        remainingMilliseconds: Math.round(deadlineAt - clock.now()),
        retryAfterMilliseconds: Math.round(error.retryAfterMilliseconds)
      }
      logger.info('request refused by the queue', fields)
      return notRunAnswer(error.code, { retryAfterMilliseconds: error.retryAfterMilliseconds, outstanding: this.outstanding, requestsPerSecond: this.#limit ?? Infinity })
    }
  }

  #refuseAsUnreachable (reason: string): Answer {
    // A VM that has not reached the endpoint does not know whether it names a limit.
    return notRunAnswer(reason, { retryAfterMilliseconds: fullRetryMilliseconds, outstanding: this.outstanding, ...(this.#limit === undefined ? {} : { requestsPerSecond: this.#limit }) })
  }

  #refuseAsLeaving (): Answer {
    return notRunAnswer(leavingReason, { retryAfterMilliseconds: moveMilliseconds, outstanding: this.outstanding, requestsPerSecond: this.#limit ?? Infinity, endpointLeaving: true })
  }

  /** Refuses the requests that still wait after the given time, because the endpoint leaves. */
  #closeIn (milliseconds: number): void {
    const closesAt = this.#options.clock.now() + milliseconds
    if (closesAt >= this.#closesAt) return
    this.#closesAt = closesAt
    clearTimeout(this.#closeTimer)
    this.#closeTimer = setTimeout(() => {
      const refused = this.#queue.rejectQueued(() => new BriarsaddleError('the endpoint leaves', { code: leavingReason, step: 'queue request' }))
      if (refused > 0) logger.info('requests refused that waited for an endpoint that leaves', { endpoint: this.#entry.id, pool: this.pool, refused, running: this.outstanding })
    }, milliseconds)
    this.#closeTimer.unref()
  }

  /** Refuses the requests that wait, and gives up those that may be repeated and have no answer: their senders use another VM. */
  outOfReach (reason: typeof outOfReachReason | typeof endpointUnreachable): void {
    const refused = this.#queue.rejectQueued(() => new BriarsaddleError('this VM does not reach the endpoint', { code: reason, step: 'queue request' }))
    if (refused + this.outstanding > 0) logger.info('requests are sent through other VMs, because this VM does not reach their endpoint', { endpoint: this.#entry.id, pool: this.pool, reason, refused, running: this.outstanding })
    for (const controller of this.#repeatable) controller.abort()
  }

  /** Returns the state as plain data for the state dump. */
  snapshot (): Readonly<Record<string, unknown>> {
    return { endpoint: this.#entry, queue: this.#queue.snapshot(), work: this.demand.snapshot() }
  }

  async #run (forward: Forward, { arrivedAt, deadlineAt }: { readonly arrivedAt: number, readonly deadlineAt: number }, signal: AbortSignal): Promise<Answer> {
    const { clock, transport, metrics } = this.#options
    const startedAt = clock.now()
    metrics.queueWait(this.pool, startedAt - arrivedAt)
    // The event loop may have been delayed since the queue checked the deadline.
    if (signal.aborted || startedAt >= deadlineAt) {
      logger.info('request was cancelled or passed its deadline before it was sent', { request: forward.requestId, endpoint: this.#entry.id, pool: this.pool, key: keyOf(forward), waitedMilliseconds: Math.round(startedAt - arrivedAt), remainingMilliseconds: Math.round(deadlineAt - startedAt) })
      return notRunAnswer('deadline_exceeded')
    }
    // A VM that forwards the request may not know yet that it crashes endpoints.
    const refusedMilliseconds = this.#options.poison.refusedFor(forward)
    if (refusedMilliseconds !== undefined) return notRunAnswer(poisonReason, { retryAfterMilliseconds: refusedMilliseconds })
    const { requestId, bucket, method, target, headers, body } = forward
    const run = this.#witness.begin(this.#entry, forward)
    const controller = new AbortController()
    const abort = (): void => controller.abort()
    signal.addEventListener('abort', abort)
    if (forward.idempotent) this.#repeatable.add(controller)
    const reply = await transport.send(this.#entry, { requestId, key: bucket < 0 ? undefined : bucket, method, target, headers, body, remainingMilliseconds: deadlineAt - startedAt }, controller.signal)
    signal.removeEventListener('abort', abort)
    this.#repeatable.delete(controller)
    const milliseconds = clock.now() - startedAt
    this.#witness.end(run, runEndOf(reply, signal))
    if (reply.kind === 'refused' && reply.retryAfterMilliseconds !== undefined) this.#pause(reply.retryAfterMilliseconds)
    if ('leaving' in reply && reply.leaving === true) this.#observeLeaving()
    if ('limit' in reply) this.#observeLimit(reply.limit, startedAt, reply.kind === 'answered')
    if (reply.kind === 'answered') this.demand.recordServiceTime(forward.rule, milliseconds)
    else logger.info('endpoint did not answer', { request: requestId, endpoint: this.#entry.id, pool: this.pool, key: keyOf(forward), life: this.#entry.life, result: reply.kind, reason: 'reason' in reply ? reply.reason : reply.kind, waitedMilliseconds: Math.round(startedAt - arrivedAt), milliseconds: Math.round(milliseconds) })
    return answerOf(reply, milliseconds)
  }

  /** Records that the coordinator was lost after it had received a request for this endpoint, which may have crashed meanwhile. */
  coordinatorLost (endpoint: EndpointEntry, forward: Forward): void {
    this.#witness.end(this.#witness.begin(endpoint, forward), 'broken')
  }

  #pause (milliseconds: number): void {
    logger.info('endpoint wants no requests for some time', { endpoint: this.#entry.id, pool: this.pool, life: this.#entry.life, milliseconds: Math.round(milliseconds), queued: this.queued })
    this.#pausedForLong = milliseconds > longPauseMilliseconds
    this.#queue.pauseStarts(milliseconds)
  }

  #observeLeaving (): void {
    const { leaving } = this.#options
    leaving.add(this.#entry, 'answer')
    this.#closeIn(leaving.millisecondsToClose(this.#entry))
  }

  /** Applies what the reply to a request says of the limit. */
  #observeLimit (limit: ReportedLimit, sentAt: number, answered: boolean): void {
    if (limit === 'unknown') return
    if (limit !== 'none') this.adoptLimit(limit)
    // A request that was sent earlier may have been answered before the endpoint named its limit.
    else if (answered && sentAt > this.#limitNamedAt) this.#setLimit(undefined)
  }

  #setLimit (requestsPerSecond: number | undefined): void {
    if (requestsPerSecond === this.#limit) return
    logger.info('limit of an endpoint changed', { endpoint: this.#entry.id, pool: this.pool, life: this.#entry.life, requestsPerSecond, before: this.#limit, queued: this.queued })
    this.#limit = requestsPerSecond
    this.#queue.setStartRate(requestsPerSecond)
  }
}

/** Reason of a reply when the connection to the endpoint ended before the answer was complete. */
export const connectionBroken = 'connection_broken'

/** Reason of a refusal because the VM reaches no endpoint of the pool, while others may. */
export const outOfReachReason = 'endpoints_out_of_reach'

/** Reason of a refusal because no connection to the endpoint could be established. */
export const endpointUnreachable = 'endpoint_unreachable'

/** Reason of a refusal because the endpoint leaves. */
export const leavingReason = 'endpoint_leaving'

// Advised delay of a repeat while the keys of an endpoint that leaves move to another one.
const moveMilliseconds = 300

// Advised delay of a repeat: the endpoint will probably have finished a request, and have a free slot, by then.
const fullRetryMilliseconds = 100

function keyOf ({ bucket }: Forward): number | undefined {
  return bucket < 0 ? undefined : bucket
}

function runEndOf (reply: EndpointReply, signal: AbortSignal): RunEnd {
  if (reply.kind === 'answered') return 'answered'
  if (reply.kind !== 'broken') return 'refused'
  if (signal.aborted) return 'given_up'
  return reply.reason === connectionBroken ? 'broken' : 'refused'
}

function answerOf (reply: EndpointReply, serviceMilliseconds: number): Answer {
  switch (reply.kind) {
    case 'answered': return { ...Answer.create(), outcome: Outcome.OUTCOME_ANSWERED, status: reply.status, headers: [...reply.headers], body: reply.body, reason: reply.lengthKnown ? '' : lengthUnknown, serviceMilliseconds }
    case 'refused': return notRunAnswer(reply.reason, { retryAfterMilliseconds: reply.retryAfterMilliseconds ?? fullRetryMilliseconds })
    case 'unreachable': return notRunAnswer(endpointUnreachable, { retryAfterMilliseconds: fullRetryMilliseconds })
    case 'broken': return unknownAnswer(reply.reason)
  }
}
