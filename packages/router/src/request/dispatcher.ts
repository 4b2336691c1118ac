import { Logger, longestTurnWait, overloadedReason, processTurnQueue, type Clock, type LoopDelay, type Random, type TurnOptions, type TurnQueue } from '@briarsaddle/common'
import { notRunAnswer, Outcome, peerReasons, ServiceClass, type Answer, type Forward } from '@briarsaddle/protocol'
import type { Directory, EndpointEntry } from '../endpoint-entry.js'
import type { EndpointReach } from '../endpoint-reach.js'
import type { EndpointTransport } from '../endpoint-transport.js'
import type { LeavingEndpoints } from '../leaving-endpoints.js'
import type { RouterMetrics } from '../router-metrics.js'
import type { PoisonList } from '../poison/poison-list.js'
import type { Coordinators } from './coordinators.js'
import { Detours } from './detours.js'
import { EndpointGate, endpointUnreachable, leavingReason, outOfReachReason } from './endpoint-gate.js'

const logger = new Logger('dispatch')

/** Forwards requests to other VMs. Never rejects. */
export abstract class PeerForwarder {
  abstract forward (vm: string, forward: Forward, signal: AbortSignal): Promise<Answer>
}

/** What the dispatcher needs from the VM. */
export interface DispatcherOptions {
  /** Id of this VM. */
  readonly vm: string
  readonly coordinators: Coordinators
  readonly peers: PeerForwarder
  readonly transport: EndpointTransport
  readonly directory: () => Directory
  readonly clock: Clock
  readonly loopDelay: LoopDelay
  /** Queue of the turns of forwarded requests. Default: the one that all handlers of the process share. */
  readonly turns?: TurnQueue
  readonly random: Random
  readonly metrics: RouterMetrics
  readonly leaving: LeavingEndpoints
  readonly poison: PoisonList
  /** Whether this VM reaches endpoints. */
  readonly reach: Pick<EndpointReach, 'isCutOff' | 'isInDoubt' | 'doubt' | 'isUnreached'>
}

/** Reasons that show that the peer did not handle the request, so that this VM may send it to the endpoint itself. */
const absentPeerReasons: ReadonlySet<string> = new Set([peerReasons.unreachable, peerReasons.goingAway, peerReasons.congested, 'endpoint_unknown'])

// VMs that are cut off are found one by one until the list of VMs names them.
const mostDetours = 3

/** Passes a request to the VM that coordinates its endpoint, or queues it on this VM. */
export class Dispatcher {
  readonly #options: DispatcherOptions
  readonly #gates = new Map<string, EndpointGate>()
  readonly #detours: Detours
  #accepted = 0

  constructor (options: DispatcherOptions) {
    this.#options = options
    this.#detours = new Detours(options.clock)
  }

  /** Number of requests that other VMs forwarded to this one since the start. */
  get accepted (): number { return this.#accepted }

  /** Gates that this VM has created, by endpoint id. */
  get gates (): ReadonlyMap<string, EndpointGate> { return this.#gates }

  /**
   * Sends a request to an endpoint, through its coordinator if another VM is the coordinator. When the coordinator does not reach the endpoint, another
   * VM does its work. Never rejects.
   */
  async dispatch (endpoint: EndpointEntry, forward: Forward, signal: AbortSignal): Promise<Answer> {
    const { clock, coordinators, vm } = this.#options
    const startedAt = clock.now()
    for (let detours = 0; ; detours++) {
      const coordinator = coordinators.of(endpoint, other => this.#isAvoided(other, endpoint)) ?? vm
      const deadlineMilliseconds = forward.deadlineMilliseconds - (clock.now() - startedAt)
      const answer = await this.#sendThrough(coordinator, endpoint, { ...forward, deadlineMilliseconds }, signal)
      const left = forward.deadlineMilliseconds - (clock.now() - startedAt)
      if (answer.outcome !== Outcome.OUTCOME_NOT_RUN || signal.aborted || left <= 0 || detours >= mostDetours) return answer
      if (answer.reason === outOfReachReason) this.#detours.avoidForPool(coordinator, endpoint)
      else if (answer.reason === endpointUnreachable && !this.#detours.isLost(endpoint)) this.#detours.avoidForEndpoint(coordinator, endpoint)
      else return answer
      const next = coordinators.of(endpoint, other => this.#isAvoided(other, endpoint)) ?? vm
      if (next === coordinator || this.#isAvoided(next, endpoint)) {
        this.#detours.countAsLost(endpoint)
        return answer
      }
      // A limit binds all VMs together, and only the coordinator counts for it.
      if (this.#detours.isLost(endpoint) || this.#gates.get(endpoint.id)?.isLimited === true) return answer
      logger.info('request takes another way', { request: forward.requestId, endpoint: endpoint.id, pool: endpoint.pool, coordinator, reason: answer.reason, next })
    }
  }

  #isAvoided (vm: string, endpoint: EndpointEntry): boolean {
    return (vm === this.#options.vm && this.#options.reach.isCutOff(endpoint.pool)) || this.#detours.isAvoided(vm, endpoint)
  }

  async #sendThrough (coordinator: string, endpoint: EndpointEntry, forward: Forward, signal: AbortSignal): Promise<Answer> {
    if (coordinator === this.#options.vm) return await this.#gate(endpoint).handle(forward, signal)
    const answer = await this.#options.peers.forward(coordinator, forward, signal)
    this.#adoptLimit(endpoint, answer)
    if (answer.endpointLeaving === true) this.#options.leaving.add(endpoint, answer.reason === leavingReason ? 'coordinator' : 'answer')
    if (answer.reason === peerReasons.lost) this.#gate(endpoint).coordinatorLost(endpoint, forward)
    if (answer.outcome !== Outcome.OUTCOME_NOT_RUN || !absentPeerReasons.has(answer.reason) || signal.aborted) return answer
    const gate = this.#gates.get(endpoint.id)
    if (gate?.isLimited === true) {
      // Others may have lost the coordinator too, and would exceed the limit together.
      logger.info('coordinator of an endpoint with a limit unavailable', { request: forward.requestId, endpoint: endpoint.id, coordinator, reason: answer.reason, requestsPerSecond: gate.limit })
      return notRunAnswer('endpoint_limited')
    }
    logger.info('coordinator unavailable, sending to the endpoint directly', { request: forward.requestId, endpoint: endpoint.id, coordinator, reason: answer.reason })
    return await this.#gate(endpoint).handle(forward, signal)
  }

  /** Handles a request that another VM forwarded. Never rejects. */
  async accept (forward: Forward, signal: AbortSignal): Promise<Answer> {
    this.#accepted++
    const waited = this.#options.loopDelay.milliseconds
    // Lets a cancellation that arrived right after the request take effect first.
    const startedAt = this.#options.clock.now()
    if (!await (this.#options.turns ?? processTurnQueue).turn(turnOf(forward))) return refuseForwarded(forward, overloadedReason, waited)
    const endpoint = this.#options.directory().get(forward.endpoint)
    if (endpoint === undefined) return refuseForwarded(forward, 'endpoint_unknown', waited)
    const deadlineMilliseconds = forward.deadlineMilliseconds - waited - (this.#options.clock.now() - startedAt)
    if (deadlineMilliseconds <= 0) return refuseForwarded(forward, 'deadline_exceeded', waited)
    if (this.#options.reach.isCutOff(endpoint.pool)) return refuseForwarded(forward, outOfReachReason, waited)
    return await this.#gate(endpoint).handle({ ...forward, deadlineMilliseconds }, signal)
  }

  /** Applies a new directory: updates the gates, and removes those of endpoints that are gone once nothing is outstanding. */
  update (directory: Directory): void {
    for (const [id, gate] of this.#gates) {
      const entry = directory.get(id)
      if (entry !== undefined) gate.update(entry)
      else if (gate.outstanding === 0) this.#gates.delete(id)
    }
  }

  /** Gives up what waits for the endpoints of a pool, because this VM does not reach them any more. */
  cutOffFrom (pool: string): void {
    for (const gate of this.#gates.values()) if (gate.pool === pool) gate.outOfReach(outOfReachReason)
  }

  /** Gives up what waits for one endpoint, because this VM does not reach it any more. */
  unreached (endpoint: string): void {
    this.#gates.get(endpoint)?.outOfReach(endpointUnreachable)
  }

  /** Clears what was measured per rule. */
  forgetRules (): void {
    for (const gate of this.#gates.values()) gate.forgetRules()
  }

  /** Takes over the limit that the coordinator states with an answer. */
  #adoptLimit (endpoint: EndpointEntry, { requestsPerSecond }: Answer): void {
    if (requestsPerSecond === undefined) return
    if (requestsPerSecond < Infinity) this.#gate(endpoint).adoptLimit(requestsPerSecond)
    else this.#gates.get(endpoint.id)?.adoptLimit(undefined)
  }

  #gate (entry: EndpointEntry): EndpointGate {
    let gate = this.#gates.get(entry.id)
    if (gate === undefined) this.#gates.set(entry.id, gate = new EndpointGate({ ...this.#options, entry }))
    return gate
  }
}

/** VMs of earlier versions do not state the objective. */
function turnOf ({ serviceClass, objectiveMilliseconds }: Forward): TurnOptions {
  return { urgency: serviceClass === ServiceClass.SERVICE_CLASS_PROMPT ? 0 : 1, ...(objectiveMilliseconds > 0 ? { longestWaitMilliseconds: longestTurnWait(objectiveMilliseconds) } : {}) }
}

/** Refuses a request of another VM. `waited` is the event loop delay, by which this VM may have read it late, in milliseconds. */
function refuseForwarded ({ requestId, endpoint, pool, bucket, deadlineMilliseconds }: Forward, reason: string, waited: number): Answer {
  logger.info('request of another VM refused', { request: requestId, endpoint, pool, key: bucket < 0 ? undefined : bucket, reason, remainingMilliseconds: Math.round(deadlineMilliseconds), loopDelayMilliseconds: Math.round(waited) })
  return notRunAnswer(reason)
}
