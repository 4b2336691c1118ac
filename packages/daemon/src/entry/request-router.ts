import { randomUUID } from 'node:crypto'
import { longestTurnWait, type Clock, type Random, type TurnOptions } from '@briarsaddle/common'
import { CallerRequestHandler, type CallerRequest } from '@briarsaddle/entry'
import { bucketsPerPool, type KeyHasher } from '@briarsaddle/ownership'
import { Outcome, ServiceClass, notRunAnswer, peerReasons, type Answer, type Forward } from '@briarsaddle/protocol'
import { RuleMatcher, type MatchResult, type RuleFile } from '@briarsaddle/rules'
import type { EndpointChooser, RetryBudget } from '@briarsaddle/scheduling'
import type { ControlView, ForwardHandler, PeerForwarder } from '../contracts.js'
import type { Metrics } from '../metrics.js'
import { noBucket, type RequestProgress, type RequestTemplate } from './request-progress.js'
import { BoundedForwarder, deadlineReserveMilliseconds } from './bounded-forwarder.js'
import { callerAnswer, refusal, unknownOutcome, type OutcomeAnswer } from './caller-answer.js'
import { idempotencyKeyOf, requestedDeadline, type AcceptedRequest } from './caller-request.js'
import { endpointHeaders } from './headers.js'
import { LongPlacement } from './long-placement.js'
import { PoolMembers, bucketDestination, endpointDestination, type NoDestinationReason, type Destination } from './destination.js'
import { DestinationWaiter } from './destination-waiter.js'
import { RetryBudgets } from './retry-budgets.js'
import { classifyAnswer, showsFailure, type AnswerClass } from './retry-policy.js'

/** Settings and dependencies of a request router. */
export interface RequestRouterOptions {
  /** Id of this VM. */
  readonly vm: string
  readonly control: ControlView
  /** Coordinator of this VM. */
  readonly local: ForwardHandler
  readonly peers: PeerForwarder
  readonly hasher: KeyHasher
  /** Creates the chooser for a pool that is not partitioned by key. */
  readonly createChooser: (pool: string) => EndpointChooser
  /** Creates the retry budget of a keyed endpoint or of a pool without keys. Default `RetryBudget`. */
  readonly createBudget?: () => RetryBudget
  readonly metrics: Metrics
  readonly clock: Clock
  readonly random: Random
  /** Maximum number of requests that wait for the control state to change. Default 2,000. */
  readonly maximumWaiting?: number
}

const firstBackoffMilliseconds = 25
const longestBackoffMilliseconds = 400
// Replacing a lost endpoint together with its coordinator takes about 1.2 s. A destination that has not changed within
// this limit is not expected to change soon, so the caller gets the final answer.
const maximumDestinationWaitMilliseconds = 2_000

const serviceClasses: Readonly<Record<AcceptedRequest['rule']['serviceClass'], ServiceClass>> = {
  prompt: ServiceClass.SERVICE_CLASS_PROMPT,
  normal: ServiceClass.SERVICE_CLASS_NORMAL,
  long: ServiceClass.SERVICE_CLASS_LONG
}

/** Order of the turns of requests on a VM that is short of processor time. */
const urgencies: Readonly<Record<AcceptedRequest['rule']['serviceClass'], number>> = { prompt: 0, normal: 1, long: 2 }

interface AttemptResult {
  readonly answer: Answer
  readonly answerClass: AnswerClass
}

/** Routes the requests of callers to the coordinators of their endpoints. */
export class RequestRouter extends CallerRequestHandler<AcceptedRequest> {
  readonly #options: RequestRouterOptions
  readonly #clock: Clock
  readonly #members = new PoolMembers()
  readonly #longPlacement = new LongPlacement()
  readonly #choosers = new Map<string, EndpointChooser>()
  readonly #budgets: RetryBudgets
  readonly #forwarder: BoundedForwarder
  readonly #destinationWaiter: DestinationWaiter
  /** VMs that coordinate an endpoint provisionally, by the version of the destination. */
  readonly #provisional = new Map<string, string>()
  #rules: RuleFile | undefined
  #matcher = new RuleMatcher({ rules: [] })

  constructor (options: RequestRouterOptions) {
    super()
    this.#options = options
    this.#clock = options.clock
    this.#budgets = new RetryBudgets(options.createBudget)
    this.#destinationWaiter = new DestinationWaiter(options.control, options.clock, options.maximumWaiting)
    this.#forwarder = new BoundedForwarder(options.vm, options.local, options.peers)
  }

  /** Number of requests that wait for the control state to change. */
  get waiting (): number {
    return this.#destinationWaiter.waiting
  }

  /** State of the router for the state dump. */
  snapshot (): Readonly<Record<string, unknown>> {
    return {
      waiting: this.#destinationWaiter.waiting,
      choosers: Object.fromEntries([...this.#choosers].map(([pool, chooser]) => [pool, chooser.snapshot()])),
      retryTokens: this.#budgets.snapshot(),
      provisional: Object.fromEntries(this.#provisional)
    }
  }

  override accept (request: CallerRequest): AcceptedRequest | OutcomeAnswer {
    const match = this.#match(request)
    if (match.outcome !== 'matched') return this.#refuse(matchReason(match))
    const requested = requestedDeadline(request.headers)
    if (requested === 'invalid') return this.#refuse('invalid_deadline')
    const idempotencyKey = idempotencyKeyOf(request.headers)
    if (idempotencyKey === undefined) return this.#refuse('invalid_idempotency_key')
    const milliseconds = Math.min(match.rule.deadlineMilliseconds, requested ?? Infinity)
    return { request, rule: match.rule, key: match.key, idempotencyKey, deadlineAt: request.arrivedAt + milliseconds }
  }

  override turnOf ({ request, rule, deadlineAt }: AcceptedRequest): TurnOptions {
    return { urgency: urgencies[rule.serviceClass], longestWaitMilliseconds: longestTurnWait(deadlineAt - request.arrivedAt) }
  }

  override async route (accepted: AcceptedRequest, body: Buffer, signal: AbortSignal, mayEndConnection: () => boolean): Promise<OutcomeAnswer> {
    const { request, rule, deadlineAt } = accepted
    const answer = await this.#run(this.#createTemplate(accepted, body), deadlineAt, signal)
    const final = callerAnswer(answer, request.method, this.#options.random, mayEndConnection)
    this.#options.metrics.request({
      pool: rule.pool,
      serviceClass: rule.serviceClass,
      outcome: final.outcome,
      reason: final.reason,
      milliseconds: this.#clock.now() - request.arrivedAt
    })
    return final
  }

  override refusal (reason: string): OutcomeAnswer {
    return refusal(reason, this.#options.random)
  }

  override unknownOutcome (reason: string): OutcomeAnswer {
    return unknownOutcome(reason, this.#options.random)
  }

  #match (request: CallerRequest): MatchResult {
    const rules = this.#options.control.rules
    if (rules !== this.#rules) {
      this.#rules = rules
      this.#matcher = new RuleMatcher(rules)
    }
    const queryAt = request.target.indexOf('?')
    const path = queryAt < 0 ? request.target : request.target.slice(0, queryAt)
    return this.#matcher.match({ method: request.method, path, query: queryAt < 0 ? undefined : request.target.slice(queryAt), headers: request.headers })
  }

  /** Runs a request at any endpoint of its pool, for the coordinator whose journal has its idempotency key. */
  async runAnywhere (forward: Forward, signal: AbortSignal): Promise<Answer> {
    const headers = [...forward.headers, { name: 'Idempotency-Key', value: forward.idempotencyKey }]
    const template = { ...forward, headers, bucket: noBucket, anyEndpoint: false, idempotencyKey: '' }
    return await this.#run(template, this.#clock.now() + forward.deadlineMilliseconds, signal)
  }

  async #run (template: RequestTemplate, deadlineAt: number, signal: AbortSignal): Promise<Answer> {
    const progress: RequestProgress = { template, deadlineAt, signal, excluded: new Set(), backoffMilliseconds: firstBackoffMilliseconds, destinationWaitEndsAt: undefined, mayHaveRun: false }
    const answer = await this.#sendUntilFinal(progress)
    if (progress.mayHaveRun && answer.outcome === Outcome.OUTCOME_NOT_RUN) return { ...answer, outcome: Outcome.OUTCOME_UNKNOWN }
    return answer
  }

  async #sendUntilFinal (progress: RequestProgress): Promise<Answer> {
    for (;;) {
      const destination = await this.#findDestination(progress)
      if ('outcome' in destination) return destination
      if (this.#remaining(progress) <= deadlineReserveMilliseconds) return notRunAnswer(peerReasons.deadlineExceeded)
      const { answer, answerClass } = await this.#sendToDestination(progress, destination)
      if (answerClass === 'broken') progress.mayHaveRun = true
      if (answerClass === 'final' || progress.signal.aborted) return answer
      if (!await this.#waitForRetry(progress, destination, answer, answerClass)) return answer
      this.#options.metrics.resent(answer.reason)
    }
  }

  /** Waits until the control state has a destination for the request. Returns a refusal when there is none before the deadline. */
  async #findDestination (progress: RequestProgress): Promise<Destination | Answer> {
    for (;;) {
      const destination = this.#currentDestination(progress)
      if (typeof destination !== 'string') return destination
      const position = this.#options.control.state.position + 1
      if (!await this.#destinationWaiter.waitForPosition(progress, position, this.#remaining(progress))) return notRunAnswer(progress.signal.aborted ? peerReasons.cancelled : destination)
      progress.excluded.clear()
    }
  }

  #currentDestination ({ template, excluded }: RequestProgress): Destination | NoDestinationReason {
    const { pool, bucket } = template
    const { state } = this.#options.control
    if (bucket !== noBucket) return bucketDestination(state, pool, bucket)
    const chosen = this.#choose(template, this.#members.of(state, pool), excluded)
    const endpoint = chosen === undefined ? undefined : state.endpoints.get(chosen)
    return endpoint === undefined ? 'no_endpoint' : endpointDestination(endpoint)
  }

  #choose ({ pool, serviceClass }: RequestTemplate, members: readonly string[], excluded: ReadonlySet<string>): string | undefined {
    const chooser = this.#chooser(pool)
    const avoiding = serviceClass === ServiceClass.SERVICE_CLASS_LONG ? chooser.choose(members, this.#longPlacement.avoid(excluded)) : undefined
    return avoiding ?? chooser.choose(members, excluded)
  }

  /**
   * Sends the request to the VM that is expected to coordinate the endpoint: the coordinator, or the standby once it was
   * found to coordinate provisionally. If that VM is unreachable or does not coordinate the endpoint, tries the other one.
   */
  async #sendToDestination (progress: RequestProgress, destination: Destination): Promise<AttemptResult> {
    const provisional = this.#provisional.get(destination.version)
    const first = await this.#send(progress, destination, provisional ?? destination.coordinator)
    if (!this.#mayBeCoordinatedElsewhere(first) || progress.signal.aborted) return first
    const other = provisional === undefined ? destination.standby : destination.coordinator
    this.#provisional.delete(destination.version)
    if (other === undefined || other === provisional || this.#remaining(progress) <= 0) return first
    const second = await this.#send(progress, destination, other)
    if (this.#mayBeCoordinatedElsewhere(second)) return first
    if (other === destination.standby) this.#rememberProvisional(destination.version, other)
    return second
  }

  #mayBeCoordinatedElsewhere ({ answer, answerClass }: AttemptResult): boolean {
    return answerClass === 'unreachable' || (answerClass === 'moved' && answer.reason === 'not_coordinator' && answer.position <= this.#options.control.state.position)
  }

  #rememberProvisional (version: string, vm: string): void {
    // Versions of earlier states are never looked up again, so a full map is simply cleared.
    if (this.#provisional.size >= bucketsPerPool) this.#provisional.clear()
    this.#provisional.set(version, vm)
  }

  async #send (progress: RequestProgress, destination: Destination, vm: string): Promise<AttemptResult> {
    const { pool, bucket, idempotent, serviceClass } = progress.template
    const keyed = bucket !== noBucket
    const chooser = keyed ? undefined : this.#chooser(pool)
    const startedAt = this.#clock.now()
    const longWithoutKey = !keyed && serviceClass === ServiceClass.SERVICE_CLASS_LONG
    chooser?.started(destination.endpoint)
    if (longWithoutKey) this.#longPlacement.started(destination.endpoint)
    const answer = await this.#forwarder.forward(vm, this.#createForward(progress, destination), progress.signal)
    if (longWithoutKey) this.#longPlacement.ended(destination.endpoint)
    // An answer that does not come from a coordinator has 0 outstanding requests.
    const reported = answer.outcome === Outcome.OUTCOME_ANSWERED || answer.outstanding > 0 ? answer.outstanding : undefined
    const milliseconds = answer.outcome === Outcome.OUTCOME_NOT_RUN ? undefined : this.#clock.now() - startedAt
    chooser?.finished(destination.endpoint, { outstanding: reported, milliseconds, failed: showsFailure(answer) })
    const answerClass = classifyAnswer(answer, idempotent, keyed)
    const budget = this.#budget(progress, destination)
    if (answer.outcome === Outcome.OUTCOME_ANSWERED) budget.succeeded()
    else if (answerClass === 'refused' || answerClass === 'broken') budget.failed()
    return { answer, answerClass }
  }

  #createTemplate ({ request, rule, key, idempotencyKey }: AcceptedRequest, body: Buffer): RequestTemplate {
    // In a pool that is not partitioned by key, the bucket of the idempotency key decides which coordinator keeps the key.
    const anyEndpoint = key === undefined && idempotencyKey !== '' && !rule.idempotent
    const bucketKey = anyEndpoint ? idempotencyKey : key
    return {
      requestId: randomUUID(),
      pool: rule.pool,
      bucket: bucketKey === undefined ? noBucket : this.#options.hasher.bucketOf(bucketKey, bucketsPerPool),
      anyEndpoint,
      key: key ?? '',
      serviceClass: serviceClasses[rule.serviceClass],
      idempotent: rule.idempotent,
      idempotencyKey,
      rule: rule.line,
      objectiveMilliseconds: 0,
      method: request.method,
      target: request.target,
      headers: endpointHeaders(request.rawHeaders, request.remoteAddress),
      body
    }
  }

  #createForward (progress: RequestProgress, destination: Destination): Forward {
    return {
      ...progress.template,
      id: 0,
      endpoint: destination.endpoint,
      deadlineMilliseconds: Math.max(1, this.#remaining(progress) - deadlineReserveMilliseconds),
      position: Math.max(0, this.#options.control.state.position)
    }
  }

  /** Decides whether a request is sent again, and waits until it may be. */
  async #waitForRetry (progress: RequestProgress, destination: Destination, answer: Answer, answerClass: AnswerClass): Promise<boolean> {
    const budget = this.#budget(progress, destination)
    const otherEndpoint = this.#excludeEndpoint(progress, destination)
    if (answerClass === 'broken') {
      if (otherEndpoint) return budget.allowsRetry
      return (budget.allowsRetry || expectsNewDestination(answer, answerClass)) && await this.#waitForChange(progress, destination, answer, answerClass)
    }
    if (answerClass === 'refused' && !budget.allowsRetry) return false
    return otherEndpoint || await this.#waitForChange(progress, destination, answer, answerClass)
  }

  /** Excludes the endpoint for a request without a bucket. Returns true when the request can be sent to another endpoint at once. */
  #excludeEndpoint (progress: RequestProgress, destination: Destination): boolean {
    if (progress.template.bucket !== noBucket) return false
    progress.excluded.add(destination.endpoint)
    const members = this.#members.of(this.#options.control.state, progress.template.pool)
    if (members.some(member => !progress.excluded.has(member))) return true
    progress.excluded.clear()
    return false
  }

  /**
   * Waits until the destination has changed, or until the back-off has passed and a retry to the same destination is
   * allowed. Returns false when the request must not be sent again.
   */
  async #waitForChange (progress: RequestProgress, destination: Destination, answer: Answer, answerClass: AnswerClass): Promise<boolean> {
    const endsAt = progress.destinationWaitEndsAt ??= this.#clock.now() + maximumDestinationWaitMilliseconds
    const { control } = this.#options
    if (answerClass === 'moved' && answer.position > control.state.position) {
      return await this.#destinationWaiter.waitForPositionOrChange(progress, destination, answer.position, endsAt)
    }
    for (;;) {
      const backoffEndsAt = this.#clock.now() + progress.backoffMilliseconds * (0.5 + this.#options.random.fraction() / 2)
      progress.backoffMilliseconds = Math.min(longestBackoffMilliseconds, progress.backoffMilliseconds * 2)
      if (!await this.#destinationWaiter.waitForChange(progress, destination, Math.min(backoffEndsAt, endsAt))) return false
      if (this.#destinationWaiter.hasChanged(progress, destination)) return true
      if (this.#clock.now() >= endsAt) return false
      if (answerClass === 'unreachable' || answerClass === 'shed' || this.#takeRetry(progress, destination, answerClass)) return true
      if (!expectsNewDestination(answer, answerClass)) return false
    }
  }

  /** Returns true when the budget allows one more attempt at an unchanged destination, and counts the attempt. */
  #takeRetry (progress: RequestProgress, destination: Destination, answerClass: AnswerClass): boolean {
    const budget = this.#budget(progress, destination)
    if (!budget.allowsRetry) return false
    // For other classes, the failure was counted when the answer arrived.
    if (answerClass === 'moved') budget.failed()
    return true
  }

  #remaining ({ deadlineAt }: RequestProgress): number {
    return deadlineAt - this.#clock.now()
  }

  #refuse (reason: string): OutcomeAnswer {
    const answer = refusal(reason, this.#options.random)
    this.#options.metrics.request({ pool: 'none', serviceClass: 'none', outcome: answer.outcome, reason, milliseconds: 0 })
    return answer
  }

  #chooser (pool: string): EndpointChooser {
    let chooser = this.#choosers.get(pool)
    if (chooser === undefined) this.#choosers.set(pool, chooser = this.#options.createChooser(pool))
    return chooser
  }

  #budget ({ template: { bucket, pool } }: RequestProgress, destination: Destination): RetryBudget {
    return bucket === noBucket ? this.#budgets.ofPool(pool) : this.#budgets.ofEndpoint(destination.endpoint)
  }
}

/**
 * True when the destination is expected to change, for example because a lost coordinator is replaced. A retry to a
 * changed destination does not count against the retry budget, so the request waits for the change even when the
 * requests that were lost with it have used up the budget.
 */
function expectsNewDestination (answer: Answer, answerClass: AnswerClass): boolean {
  return answerClass === 'moved' || (answerClass === 'broken' && answer.reason === peerReasons.lost)
}

function matchReason (match: Exclude<MatchResult, { outcome: 'matched' }>): string {
  return match.outcome === 'bad_key' ? `key_${match.reason}` : match.outcome
}
