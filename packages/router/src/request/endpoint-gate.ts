import { Logger, withTimeLimit, type Clock, type Random } from '@briarsaddle/common'
import { Answer, notRunAnswer, Outcome, ServiceClass, unknownAnswer, type Forward } from '@briarsaddle/protocol'
import { ClassPolicy, EndpointQueue, RefusalError, type ServiceClass as QueueClass } from '@briarsaddle/scheduling'
import type { EndpointEntry } from '../endpoint-entry.js'
import type { EndpointReply, EndpointTransport } from '../endpoint-transport.js'
import type { RouterMetrics } from '../router-metrics.js'
import { KeyWorkMeter } from './key-work.js'

const logger = new Logger('gate')

/** What a gate needs from the VM. */
export interface EndpointGateOptions {
  readonly entry: EndpointEntry
  readonly transport: EndpointTransport
  readonly clock: Clock
  readonly random: Random
  readonly metrics: RouterMetrics
}

// More would wait longer than their deadlines; admission refuses most of them earlier.
const maximumQueued = 64
const policy = new ClassPolicy()

const queueClasses: Readonly<Record<ServiceClass, QueueClass>> = {
  [ServiceClass.SERVICE_CLASS_NORMAL]: 'normal',
  [ServiceClass.SERVICE_CLASS_PROMPT]: 'prompt',
  [ServiceClass.SERVICE_CLASS_LONG]: 'long'
}

/** Queues the requests for one endpoint, so that it never gets more than it has slots, and sends them. */
export class EndpointGate {
  readonly #options: EndpointGateOptions
  readonly #queue: EndpointQueue
  readonly work: KeyWorkMeter
  #entry: EndpointEntry

  constructor (options: EndpointGateOptions) {
    this.#options = options
    this.#entry = options.entry
    const { clock, random } = options
    this.#queue = new EndpointQueue({ slots: options.entry.slots, maximumQueued, clock, random, policy })
    this.work = new KeyWorkMeter(clock)
  }

  /** Requests that run or wait. */
  get outstanding (): number { return this.#queue.outstanding }
  get pool (): string { return this.#entry.pool }
  get slots (): number { return this.#queue.slots }
  /** Requests that wait. */
  get queued (): number { return this.#queue.queued }

  /** Takes a new entry of the directory. */
  update (entry: EndpointEntry): void {
    this.#entry = entry
    if (entry.slots !== this.#queue.slots) this.#queue.setSlots(entry.slots)
  }

  /** Forgets what was learned per rule. */
  forgetRules (): void {
    this.#queue.forgetRules()
    this.work.forgetRules()
  }

  /** Always resolves. */
  async handle (forward: Forward, signal: AbortSignal): Promise<Answer> {
    const { clock } = this.#options
    const arrivedAt = clock.now()
    const deadlineAt = arrivedAt + forward.deadlineMilliseconds
    this.work.arrived(forward.rule, forward.bucket)
    try {
      // The cancellation by the VM that took the request may be late; nobody waits for the answer after the deadline.
      const answer = await withTimeLimit(forward.deadlineMilliseconds, signal, async limited => await this.#queue.submit({
        serviceClass: queueClasses[forward.serviceClass],
        rule: forward.rule,
        deadlineAt,
        signal: limited,
        run: async runSignal => await this.#run(forward, { arrivedAt, deadlineAt }, runSignal),
        measured: result => result.outcome === Outcome.OUTCOME_ANSWERED
      }))
      return { ...answer, outstanding: this.outstanding }
    } catch (error) {
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
        waitedMilliseconds: Math.round(clock.now() - arrivedAt),
        remainingMilliseconds: Math.round(deadlineAt - clock.now()),
        retryAfterMilliseconds: Math.round(error.retryAfterMilliseconds)
      }
      logger.info('request refused by the queue', fields)
      return notRunAnswer(error.code, { retryAfterMilliseconds: error.retryAfterMilliseconds, outstanding: this.outstanding })
    }
  }

  snapshot (): Readonly<Record<string, unknown>> {
    return { endpoint: this.#entry, queue: this.#queue.snapshot(), work: this.work.snapshot() }
  }

  async #run (forward: Forward, { arrivedAt, deadlineAt }: { readonly arrivedAt: number, readonly deadlineAt: number }, signal: AbortSignal): Promise<Answer> {
    const { clock, transport, metrics } = this.#options
    const startedAt = clock.now()
    metrics.queued(this.pool, startedAt - arrivedAt)
    // A process that was held up looks at the clock before it sends.
    if (signal.aborted || startedAt >= deadlineAt) {
      logger.info('request reached its turn too late', { request: forward.requestId, endpoint: this.#entry.id, pool: this.pool, key: keyOf(forward), waitedMilliseconds: Math.round(startedAt - arrivedAt), remainingMilliseconds: Math.round(deadlineAt - startedAt) })
      return notRunAnswer('deadline_exceeded')
    }
    const { requestId, bucket, method, target, headers, body } = forward
    const reply = await transport.send(this.#entry, { requestId, key: bucket < 0 ? undefined : bucket, method, target, headers, body, remainingMilliseconds: deadlineAt - startedAt }, signal)
    const milliseconds = clock.now() - startedAt
    if (reply.kind === 'answered') this.work.served(forward.rule, milliseconds)
    else logger.info('endpoint did not answer', { request: requestId, endpoint: this.#entry.id, pool: this.pool, key: keyOf(forward), life: this.#entry.life, result: reply.kind, reason: 'reason' in reply ? reply.reason : reply.kind, waitedMilliseconds: Math.round(startedAt - arrivedAt), milliseconds: Math.round(milliseconds) })
    return answerOf(reply, milliseconds)
  }
}

/** Reason of an answer that had no length and ended with its connection. */
export const lengthUnknown = 'length_unknown'

// Long enough for the endpoint to end a request; the next caller may find room.
const fullRetryMilliseconds = 100

function keyOf ({ bucket }: Forward): number | undefined {
  return bucket < 0 ? undefined : bucket
}

function answerOf (reply: EndpointReply, serviceMilliseconds: number): Answer {
  switch (reply.kind) {
    case 'answered': return { ...Answer.create(), outcome: Outcome.OUTCOME_ANSWERED, status: reply.status, headers: [...reply.headers], body: reply.body, reason: reply.lengthKnown ? '' : lengthUnknown, serviceMilliseconds }
    case 'refused': return notRunAnswer(reply.reason, { retryAfterMilliseconds: fullRetryMilliseconds })
    case 'unreachable': return notRunAnswer('endpoint_unreachable', { retryAfterMilliseconds: fullRetryMilliseconds })
    case 'broken': return unknownAnswer(reply.reason)
  }
}
