import { Logger, longestTurnWait, overloadedReason, withTimeLimit, type Clock, type LogFields, type Random, type TurnOptions } from '@briarsaddle/common'
import { CallerRequestHandler, endToEndHeaders, headerPairs, headerValue, isValidHeader, type CallerAnswer, type CallerHeader, type CallerRequest } from '@briarsaddle/entry'
import { segmentAt, type KeyMap, type Segment } from '@briarsaddle/key-ranges'
import { lengthUnknown, notRunAnswer, Outcome, ServiceClass, unknownAnswer, type Answer, type Forward } from '@briarsaddle/protocol'
import { FastQuantile } from '@briarsaddle/scheduling'
import type { StateAges } from '../control/state-ages.js'
import type { Directory, EndpointEntry } from '../endpoint-entry.js'
import type { LeavingEndpoints } from '../leaving-endpoints.js'
import { RouteMatcher } from '../route-matcher.js'
import type { Pool, Route, RoutingTable } from '../routing-table.js'
import type { RouterMetrics } from '../router-metrics.js'
import { poisonReason, type PoisonList } from '../poison/poison-list.js'
import { TargetRotation } from '../target-rotation.js'
import type { RetryBudget } from '../retry-budget.js'
import type { CallerFields, CallerProtocol } from './caller-protocol.js'
import type { ChangeNotifier } from './change-notifier.js'
import type { Dispatcher } from './dispatcher.js'
import { leavingReason } from './endpoint-gate.js'
import { refusalFor, renderOwnAnswer, unknownFor, type OwnAnswer } from './own-answer.js'
import type { RequestContent } from '../poison/request-fingerprint.js'
import { PoolChooser } from './pool-chooser.js'

const logger = new Logger('requests')

/** What the router needs from the VM. The functions return the current state. */
export interface RangeRouterOptions {
  readonly dataCentre: string
  readonly clock: Clock
  readonly random: Random
  readonly protocol: CallerProtocol
  readonly dispatcher: Dispatcher
  readonly retries: RetryBudget
  readonly map: () => KeyMap | undefined
  readonly directory: () => Directory
  readonly changes: ChangeNotifier
  readonly leaving: LeavingEndpoints
  readonly poison: PoisonList
  readonly metrics: RouterMetrics
  /** Ages of the states; used in log lines only. */
  readonly stateAges: () => StateAges
}

/** A request that matched a route. */
export interface RoutedRequest {
  readonly request: CallerRequest
  readonly fields: CallerFields
  readonly route: Route
  readonly pool: Pool
  /** When the caller stops waiting for the answer, in clock milliseconds. */
  readonly deadlineAt: number
  /** Time from arrival within which the answer is of full use to the caller. */
  readonly objectiveMilliseconds: number
}

/** State of a request while it is routed, over all of its sends. */
interface RoutingState {
  readonly routed: RoutedRequest
  readonly body: Buffer
  readonly signal: AbortSignal
  /** Asks whether the caller's connection may end with the answer; once it has said so, it does. */
  readonly mayEndConnection: () => boolean
  /** Endpoints that it was sent to without success. */
  readonly excluded: Set<string>
  /** Endpoints that it has reached; their number is limited by the route. */
  readonly reached: Set<string>
  /** Number of times that it was sent. */
  sent: number
  /** Whether a send had an unknown outcome. */
  mayHaveRun: boolean
  /** The segment of the key map by which the request was last routed. */
  segment: Segment | undefined
  /** Id of the endpoint that it was last sent to. */
  endpoint: string | undefined
  /** Whether the request was not sent again because this VM's share of the retry budget was used up. */
  retriesSpent: boolean
}

const notForwarded: ReadonlySet<string> = new Set(['content-length', 'expect'])
const noKey = -1
// Shares of the objective for which a request waits for moving keys. A planned move takes as long as the requests that run on the
// keys; a move after the loss of an endpoint takes seconds, longer than callers wait.
const plannedMoveWaitShare = 0.5
const lossWaitShare = 0.125
// An endpoint that refused a request for lack of a slot has a free slot again after a fraction of its service time.
const freeSlotWaitMilliseconds = 30
// Longest wait for a pending grant to arrive, or for a key map that shows that the key has moved.
const ownerWaitMilliseconds = 60
// A VM that reads requests this late, as a share of their objective, lacks processor time. It refuses them early, while that is
// cheap, instead of working for callers who leave before the answer.
const overloadShare = 0.5
// Advised delay of a repeat after a refusal by a VM that is short of processor time. A repeat usually arrives at another VM.
const overloadedRetryMilliseconds = 100
// With less time left, a request is not sent.
const minimumRemainingMilliseconds = 5
// A request with this share of its route's time left is sent, however long answers take.
const alwaysSentShare = 0.5
const firstServerErrorStatus = 500
// A request that has reached no endpoint is sent once more, also on a route that allows one endpoint.
const leastSends = 2

/** Routes the requests of callers to the endpoints that own their keys, or to any endpoint of a pool without keys. */
export class RangeRouter extends CallerRequestHandler<RoutedRequest> {
  readonly #options: RangeRouterOptions
  readonly #clock: Clock
  readonly #rotation = new TargetRotation()
  readonly #chooser: PoolChooser
  #table: RoutingTable | undefined
  #matcher: RouteMatcher | undefined
  #pools = new Map<string, Pool>()
  #ruleNumbers = new Map<string, number>()
  #leastUrgentRank = 0
  /** Times that endpoints take for the requests of each route, by route name. */
  readonly #answerTimes = new Map<string, FastQuantile>()

  constructor (options: RangeRouterOptions) {
    super()
    this.#options = options
    this.#clock = options.clock
    this.#chooser = new PoolChooser(options.dataCentre, options.clock, options.random)
  }

  /** Version of the routing table in use; undefined before the first. */
  get version (): number | undefined { return this.#table?.version }

  /** Switches to a routing table. */
  use (table: RoutingTable): void {
    this.#table = table
    this.#matcher = new RouteMatcher(table)
    this.#pools = new Map(table.pools.map(pool => [pool.name, pool]))
    // Routes that remain keep their numbers, and with them the service times that were measured for them.
    const before = this.#ruleNumbers
    let next = Math.max(0, ...before.values()) + 1
    this.#ruleNumbers = new Map(table.routes.map(route => [route.name, before.get(route.name) ?? next++]))
    this.#leastUrgentRank = Math.max(0, ...table.routes.map(route => route.rank))
    for (const name of this.#answerTimes.keys()) if (!this.#ruleNumbers.has(name)) this.#answerTimes.delete(name)
  }

  override accept (request: CallerRequest): RoutedRequest | CallerAnswer {
    const fields = this.#options.protocol.read(request)
    if ('invalid' in fields) return this.#refuse(request, fields, refusalFor(fields.invalid))
    if (this.#matcher === undefined) return this.#refuse(request, fields, refusalFor('no_configuration'))
    const waited = this.#clock.now() - request.arrivedAt
    const route = this.#matcher.match(fields.host, request.target)
    if (route === undefined) return this.#refuse(request, fields, refusalFor('no_route'), { host: fields.host, target: request.target })
    const pool = this.#pools.get(this.#rotation.choose(route))
    if (pool === undefined) return this.#refuse(request, fields, refusalFor('no_pool'), { route: route.name })
    if (pool.keyed && fields.key === undefined) return this.#refuse(request, fields, refusalFor('key_missing'), { route: route.name, pool: pool.name })
    const timeLimitMilliseconds = Math.min(fields.deadlineMilliseconds ?? Infinity, route.timeoutMilliseconds)
    const objectiveMilliseconds = Math.min(timeLimitMilliseconds, route.objectiveMilliseconds > 0 ? route.objectiveMilliseconds : timeLimitMilliseconds)
    if (waited > overloadShare * objectiveMilliseconds) {
      return this.#refuse(request, fields, refusalFor(overloadedReason, waited), { route: route.name, pool: pool.name, limitMilliseconds: Math.round(overloadShare * objectiveMilliseconds) })
    }
    this.#options.retries.recordRequest(pool.name)
    return { request, fields, route, pool, deadlineAt: request.arrivedAt + timeLimitMilliseconds, objectiveMilliseconds }
  }

  override turnOf ({ route, objectiveMilliseconds }: RoutedRequest): TurnOptions {
    return { urgency: route.rank, longestWaitMilliseconds: longestTurnWait(objectiveMilliseconds) }
  }

  override async route (routed: RoutedRequest, body: Buffer, signal: AbortSignal, mayEndConnection: () => boolean): Promise<CallerAnswer> {
    return await withTimeLimit(routed.deadlineAt - this.#clock.now(), signal, async limited => {
      const state: RoutingState = { routed, body, signal: limited, mayEndConnection, excluded: new Set(), reached: new Set(), sent: 0, mayHaveRun: false, segment: undefined, endpoint: undefined, retriesSpent: false }
      const answer = await this.#run(state)
      return this.#finish(state, state.mayHaveRun && answer.outcome === Outcome.OUTCOME_NOT_RUN ? { ...answer, outcome: Outcome.OUTCOME_UNKNOWN } : answer)
    })
  }

  override refusal (reason: string, accepted?: RoutedRequest): CallerAnswer {
    return this.#answerForEntry('not-run', refusalFor(reason, reason === overloadedReason ? overloadedRetryMilliseconds : undefined), accepted)
  }

  override unknownOutcome (reason: string, accepted?: RoutedRequest): CallerAnswer {
    return this.#answerForEntry('unknown', unknownFor(reason), accepted)
  }

  /** Returns the state as plain data for the state dump. */
  snapshot (): Readonly<Record<string, unknown>> {
    return { version: this.version, choosers: this.#chooser.snapshot() }
  }

  async #run (state: RoutingState): Promise<Answer> {
    let previous: { readonly answer: Answer, readonly fence: number | undefined } | undefined
    for (;;) {
      const { poison } = this.#options
      const refusedMilliseconds = poison.size === 0 ? undefined : poison.refusedFor(this.#content(state))
      if (refusedMilliseconds !== undefined) return notRunAnswer(poisonReason, { retryAfterMilliseconds: refusedMilliseconds })
      const endpoint = await this.#locate(state)
      if ('outcome' in endpoint) return endpoint
      if (previous !== undefined) {
        if (!mayReach(state, endpoint)) return previous.answer
        this.#recordRepeat(state, previous.answer, previous.fence)
      }
      const answer = await this.#send(state, endpoint)
      previous = { answer, fence: state.segment?.fence }
      if (!await this.#maySendAgain(state, endpoint, answer)) return answer
    }
  }

  /** Finds the endpoint for a request. While there is none, for example because its key is moving, waits for a share of the objective. */
  async #locate (state: RoutingState): Promise<EndpointEntry | Answer> {
    const { routed } = state
    const startedAt = this.#clock.now()
    for (;;) {
      if (this.#remaining(state) < minimumRemainingMilliseconds) return notRunAnswer('deadline_exceeded')
      if (this.#remaining(state) < this.#leastTime(routed.route)) return notRunAnswer('deadline_unreachable')
      const endpoint = routed.pool.keyed ? this.#ownerOf(state) : this.#chooseEndpoint(state)
      if (typeof endpoint === 'object') return endpoint
      const share = endpoint === 'keys_moving' ? plannedMoveWaitShare : lossWaitShare
      const left = startedAt + share * routed.objectiveMilliseconds - this.#clock.now()
      if (left <= 0 || state.signal.aborted) return notRunAnswer(endpoint)
      await this.#options.changes.waitForChange(Math.min(left, this.#remaining(state)), state.signal)
    }
  }

  #ownerOf (state: RoutingState): EndpointEntry | 'keys_moving' | 'owner_lost' | 'no_owner' {
    const { pool, fields } = state.routed
    const map = this.#options.map()
    const segment = map === undefined ? undefined : segmentAt(map, pool.name, fields.key ?? 0)
    state.segment = segment
    if (segment === undefined) return 'no_owner'
    const directory = this.#options.directory()
    if (segment.moving) return this.#isPlanned(segment, directory) ? 'keys_moving' : 'owner_lost'
    const entry = directory.get(segment.owner.endpoint)
    return entry?.life === segment.owner.life && !this.#options.leaving.isClosed(entry) ? entry : 'owner_lost'
  }

  /** Whether the processes of all former holders still run, so that the move ends as soon as they have released the keys. */
  #isPlanned (segment: Segment, directory: Directory): boolean {
    return segment.former.every(former => directory.get(former.endpoint)?.life === former.life)
  }

  #chooseEndpoint ({ routed, excluded }: RoutingState): EndpointEntry | 'no_endpoint' {
    const endpoints = [...this.#options.directory().values()].filter(entry => entry.pool === routed.pool.name && !this.#options.leaving.has(entry))
    return this.#chooser.choose(routed.pool.name, endpoints, excluded) ?? 'no_endpoint'
  }

  async #send (state: RoutingState, endpoint: EndpointEntry): Promise<Answer> {
    const { pool } = state.routed
    const startedAt = this.#clock.now()
    state.sent++
    state.endpoint = endpoint.id
    if (pool.keyed) this.#chooser.started(pool.name, endpoint.id)
    const received = await this.#options.dispatcher.dispatch(endpoint, this.#forward(state, endpoint), state.signal)
    this.#chooser.finished(pool.name, endpoint.id, received, this.#clock.now() - startedAt)
    const answer = usableAnswer(received, state)
    if (hasReached(answer)) state.reached.add(endpoint.id)
    if (answer.outcome === Outcome.OUTCOME_UNKNOWN) state.mayHaveRun = true
    // Endpoints end a request at its deadline with an error, which says nothing of the time that it takes.
    else if (answer.outcome === Outcome.OUTCOME_ANSWERED && answer.status < firstServerErrorStatus) this.#recordAnswerTime(state.routed.route, answer.serviceMilliseconds)
    return answer
  }

  #recordAnswerTime ({ name }: Route, milliseconds: number): void {
    let times = this.#answerTimes.get(name)
    if (times === undefined) this.#answerTimes.set(name, times = new FastQuantile())
    times.record(milliseconds, this.#clock.now())
  }

  /** Returns the time below which hardly any request of a route can be answered, in milliseconds; 0 when it is not known. */
  #leastTime ({ name, timeoutMilliseconds }: Route): number {
    return Math.min(alwaysSentShare * timeoutMilliseconds, this.#answerTimes.get(name)?.estimate(this.#clock.now()) ?? 0)
  }

  /** What endpoints receive of a request, whichever runs it. */
  #content ({ routed: { request, fields, pool }, body }: RoutingState): RequestContent {
    return {
      pool: pool.name,
      bucket: fields.key ?? noKey,
      method: request.method,
      target: request.target,
      headers: endToEndHeaders(headerPairs(request.rawHeaders)).filter(header => this.#isForwarded(header)),
      body
    }
  }

  #forward (state: RoutingState, endpoint: EndpointEntry): Forward {
    const { routed: { fields, route, pool, objectiveMilliseconds } } = state
    return {
      ...this.#content(state),
      id: 0,
      requestId: fields.requestId,
      endpoint: endpoint.id,
      key: '',
      serviceClass: route.rank < this.#leastUrgentRank ? ServiceClass.SERVICE_CLASS_PROMPT : ServiceClass.SERVICE_CLASS_NORMAL,
      idempotent: route.idempotent,
      idempotencyKey: '',
      rule: this.#ruleNumbers.get(route.name) ?? 0,
      deadlineMilliseconds: Math.max(1, this.#remaining(state)),
      position: 0,
      anyEndpoint: !pool.keyed,
      objectiveMilliseconds
    }
  }

  #isForwarded ({ name }: CallerHeader): boolean {
    const lowerCase = name.toLowerCase()
    return !notForwarded.has(lowerCase) && !this.#options.protocol.understoodHeaders.has(lowerCase)
  }

  /** Decides whether to send a request again, and then waits for what may let the repeat succeed: a new owner or a free slot. */
  async #maySendAgain (state: RoutingState, endpoint: EndpointEntry, answer: Answer): Promise<boolean> {
    if (answer.outcome === Outcome.OUTCOME_ANSWERED || answer.reason === poisonReason || state.signal.aborted) return false
    const { route, pool } = state.routed
    if (state.sent >= Math.max(leastSends, route.attempts) || this.#remaining(state) < Math.max(minimumRemainingMilliseconds, this.#leastTime(route))) return false
    if (answer.outcome === Outcome.OUTCOME_UNKNOWN && (!route.idempotent || state.sent >= route.attempts)) return false
    // A repeat would go to another endpoint.
    if ((!pool.keyed || answer.reason === 'not_owner') && state.reached.size >= route.attempts) return false
    state.excluded.add(endpoint.id)
    // A request that was refused before it reached the endpoint does not count against the retry budget.
    const reached = hasReached(answer)
    if (pool.keyed && !reached && answer.reason !== 'endpoint_unreachable' && answer.reason !== leavingReason) return false
    state.retriesSpent = reached && !this.#options.retries.take(pool.name)
    if (state.retriesSpent) return false
    if (answer.reason === 'not_owner' || answer.reason === 'endpoint_unreachable' || answer.reason === leavingReason) await this.#options.changes.waitForChange(ownerWaitMilliseconds, state.signal)
    else if (pool.keyed && answer.reason !== lengthUnknown) await this.#options.changes.waitForChange(freeSlotWaitMilliseconds, state.signal)
    return true
  }

  #remaining ({ routed }: RoutingState): number {
    return routed.deadlineAt - this.#clock.now()
  }

  #finish (state: RoutingState, answer: Answer): CallerAnswer {
    const { routed: { request, fields, route, pool }, sent } = state
    const milliseconds = this.#clock.now() - request.arrivedAt
    const outcome = outcomeName(answer.outcome)
    this.#options.metrics.request({ pool: pool.name, outcome, reason: answer.reason, milliseconds })
    if (answer.outcome === Outcome.OUTCOME_ANSWERED) return callerAnswer(answer, request.method, this.#options.protocol.ownHeaders(fields.requestId))
    logger.info('request not answered by an endpoint', {
      request: fields.requestId, route: route.name, pool: pool.name, key: fields.key, outcome, reason: answer.reason, sent, milliseconds: Math.round(milliseconds), ...routingFields(state), routingVersion: this.version, ...this.#options.stateAges()
    })
    const own = answer.outcome === Outcome.OUTCOME_NOT_RUN ? refusalFor(answer.reason, answer.retryAfterMilliseconds || undefined) : unknownFor(answer.reason)
    return this.#renderOwn(own, fields.requestId)
  }

  #recordRepeat (state: RoutingState, { reason }: Answer, fence: number | undefined): void {
    const { routed: { fields, pool }, sent, endpoint } = state
    this.#options.metrics.resent(pool.name, reason)
    logger.info('request is sent again', { request: fields.requestId, pool: pool.name, key: fields.key, endpoint, fence, reason, sent, remainingMilliseconds: Math.round(this.#remaining(state)) })
  }

  /** Refuses a request that is not routed. `inputs` are log fields with the data that decided the refusal. */
  #refuse (request: CallerRequest, { requestId }: Pick<CallerFields, 'requestId'>, answer: OwnAnswer, inputs: LogFields & { readonly pool?: string } = {}): CallerAnswer {
    const milliseconds = this.#clock.now() - request.arrivedAt
    this.#options.metrics.request({ pool: inputs.pool ?? '', outcome: 'not-run', reason: answer.reason, milliseconds })
    const { routingAgeMilliseconds } = this.#options.stateAges()
    logger.info('request refused before routing', { request: requestId, reason: answer.reason, status: answer.status, ...inputs, milliseconds: Math.round(milliseconds), routingVersion: this.version, routingAgeMilliseconds })
    return this.#renderOwn(answer, requestId)
  }

  /** Creates the answer to a request that the entry could not pass on. A request that it could not read has neither id nor pool. */
  #answerForEntry (outcome: string, answer: OwnAnswer, accepted: RoutedRequest | undefined): CallerAnswer {
    const pool = accepted?.pool.name
    const milliseconds = accepted === undefined ? 0 : this.#clock.now() - accepted.request.arrivedAt
    this.#options.metrics.request({ pool: pool ?? '', outcome, reason: answer.reason, milliseconds })
    logger.info('request ended by the entry', { request: accepted?.fields.requestId ?? '', route: accepted?.route.name, pool, key: accepted?.fields.key, outcome, reason: answer.reason, status: answer.status, milliseconds: Math.round(milliseconds) })
    return this.#renderOwn(answer, accepted?.fields.requestId ?? '')
  }

  #renderOwn (answer: OwnAnswer, requestId: string): CallerAnswer {
    return renderOwnAnswer(answer, this.#options.protocol.ownHeaders(requestId), this.#options.random)
  }
}

/** Whether the endpoint may have received the request, even if it has refused it. */
function hasReached ({ outcome, reason }: Answer): boolean {
  return outcome !== Outcome.OUTCOME_NOT_RUN || reason === 'endpoint_full' || reason === 'not_owner'
}

/** Whether the route allows the request to reach this endpoint besides those that it has reached. */
function mayReach ({ reached, routed: { route } }: RoutingState, { id }: EndpointEntry): boolean {
  return reached.has(id) || reached.size < route.attempts
}

/** Log fields of the routing decision: the last endpoint, and the owner of the key with its fencing token in the key map. */
function routingFields ({ segment, endpoint, retriesSpent }: RoutingState): LogFields {
  return {
    endpoint,
    owner: segment?.owner.endpoint,
    fence: segment?.fence,
    ...(segment?.moving === true ? { moving: true, former: segment.former.map(former => former.endpoint).join(',') } : {}),
    ...(retriesSpent ? { retriesSpent } : {})
  }
}

function outcomeName (outcome: Outcome): string {
  if (outcome === Outcome.OUTCOME_ANSWERED) return 'answered'
  return outcome === Outcome.OUTCOME_NOT_RUN ? 'not-run' : 'unknown'
}

/**
 * Only the end of the caller's connection can say how an answer without a length ended. When the connection has to stay open for requests
 * behind this one, the outcome of this one is not known.
 */
function usableAnswer (answer: Answer, { mayEndConnection }: RoutingState): Answer {
  return answer.outcome === Outcome.OUTCOME_ANSWERED && answer.reason === lengthUnknown && !mayEndConnection() ? unknownAnswer(lengthUnknown) : answer
}

function callerAnswer (answer: Answer, method: string, ownHeaders: readonly CallerHeader[]): CallerAnswer {
  const headers: CallerHeader[] = [...ownHeaders, ...answer.headers.filter(header => header.name.toLowerCase() !== 'content-length' && isValidHeader(header))]
  // With a Content-Length, a body that was cut off would look complete.
  if (answer.reason === lengthUnknown) return { status: answer.status, headers, body: answer.body, endsWithConnection: true }
  const bodyless = method === 'HEAD' || answer.status === 204 || answer.status === 304
  const length = bodyless ? headerValue(answer.headers, 'content-length') : String(answer.body.length)
  if (length !== undefined && answer.status !== 204) headers.push({ name: 'Content-Length', value: length })
  return { status: answer.status, headers, body: answer.body }
}
