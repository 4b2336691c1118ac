import { delay, errorCode, Logger, type Clock } from '@briarsaddle/common'
import { lengthUnknown, type Answer, type Forward } from '@briarsaddle/protocol'
import { AnswerLimitError, answerLimitLogFields } from '@briarsaddle/platform'
import { answered, notRun, unknown } from './answers.js'
import { failedBeforeWrite, writeDenied, type EndpointAnswer, type EndpointClient } from './endpoint-client.js'
import type { GrantKeeper } from './grant-keeper.js'

const logger = new Logger('requests')
const refusalRetryMilliseconds = 15
const maximumRefusals = 4
// An endpoint that was only paused answers on its old connections within this time after it has answered on a new one.
const answerGraceMilliseconds = 150
/** Refusals that are expected to end within milliseconds and are not logged: a former coordinator still uses slots, or a token or a list of grants is in transit. */
const transientRefusals: ReadonlySet<string> = new Set(['shed', 'stale', 'not-granted'])

/** A request that was sent and has no answer yet. */
interface PendingAttempt {
  readonly idempotent: boolean
  readonly startedAt: number
  readonly abandoned: AbortController
}

/** Sends requests to one endpoint, repeats those that it refuses for a moment, and classifies the results. */
export class RequestSender {
  readonly #client: EndpointClient
  readonly #grants: GrantKeeper
  readonly #clock: Clock
  readonly #coordinatorName: string
  readonly #pending = new Set<PendingAttempt>()

  constructor (options: { readonly client: EndpointClient, readonly grants: GrantKeeper, readonly clock: Clock, readonly coordinatorName: string }) {
    this.#client = options.client
    this.#grants = options.grants
    this.#clock = options.clock
    this.#coordinatorName = options.coordinatorName
  }

  /** Sends a request. `bucketToken` is the token of the bucket's assignment, or -1 without a bucket. Always resolves. */
  async send (forward: Forward, bucketToken: number, deadlineAt: number, signal: AbortSignal): Promise<Answer> {
    for (let attempt = 1; ; attempt++) {
      // The lease may have expired while the process was paused, so it is checked before each attempt.
      if (!this.#grants.holds(forward.bucket, bucketToken)) return notRun('right_expired', refusalRetryMilliseconds)
      const remaining = deadlineAt - this.#clock.now()
      if (remaining <= 0) return notRun('expired_in_queue')
      const answer = await this.#attempt(forward, bucketToken, deadlineAt, remaining, signal)
      const refused = answer.reason === 'endpoint_shed' || answer.reason === 'endpoint_refused'
      if (!refused || attempt >= maximumRefusals || signal.aborted) return answer
      await delay(Math.min(refusalRetryMilliseconds * attempt, remaining), signal)
    }
  }

  /**
   * Called when the endpoint did not answer on its connections but then answered on a new one. Aborts requests that were
   * sent before `since` (local time) and remain unanswered for a short time; they would otherwise occupy their slots until
   * their deadlines. A request that must run at most once is aborted only if the endpoint reported no `running` requests,
   * because its answer may still arrive otherwise; it is not sent again.
   */
  abortUnanswered (running: number, since: number): void {
    const unanswered = [...this.#pending].filter(({ idempotent, startedAt }) => startedAt < since && (idempotent || running === 0))
    if (unanswered.length === 0) return
    setTimeout(() => {
      for (const pending of unanswered) if (this.#pending.has(pending)) pending.abandoned.abort()
    }, answerGraceMilliseconds).unref()
  }

  async #attempt (forward: Forward, bucketToken: number, deadlineAt: number, remaining: number, signal: AbortSignal): Promise<Answer> {
    const startedAt = this.#clock.now()
    const timeout = new AbortController()
    const timer = setTimeout(() => timeout.abort(), remaining)
    const pending: PendingAttempt = { idempotent: forward.idempotent, startedAt, abandoned: new AbortController() }
    this.#pending.add(pending)
    try {
      const answer = await this.#client.send({
        method: forward.method,
        target: forward.target,
        headers: this.#headers(forward, bucketToken, deadlineAt),
        body: forward.body,
        signal: AbortSignal.any([signal, timeout.signal, pending.abandoned.signal]),
        mayWrite: () => this.#grants.holds(forward.bucket, bucketToken)
      })
      return this.#classify(answer, this.#clock.now() - startedAt)
    } catch (error) {
      return this.#classifyError(error, forward, signal, timeout.signal)
    } finally {
      clearTimeout(timer)
      this.#pending.delete(pending)
    }
  }

  #headers (forward: Forward, bucketToken: number, deadlineAt: number): ReadonlyArray<readonly [string, string]> {
    const { offset, provisional } = this.#grants.acceptedToken
    const headers: Array<readonly [string, string]> = forward.headers.map(({ name, value }) => [name, value] as const)
    headers.push(
      ['briarsaddle-instance', this.#grants.instance],
      ['briarsaddle-coordinator', this.#coordinatorName],
      ['briarsaddle-token', `${offset}.${provisional}`],
      ['briarsaddle-deadline', String(this.#grants.toEndpointClock(deadlineAt))],
      ['briarsaddle-request', forward.requestId]
    )
    if (forward.bucket >= 0) {
      headers.push(
        ['briarsaddle-bucket', String(forward.bucket)],
        ['briarsaddle-bucket-token', String(bucketToken)],
        ['briarsaddle-key', encodeURIComponent(forward.key)]
      )
    }
    if (forward.idempotencyKey !== '') headers.push(['idempotency-key', forward.idempotencyKey])
    return headers
  }

  #classify (answer: EndpointAnswer, serviceMilliseconds: number): Answer {
    const refusal = answer.headers.find(([name]) => name === 'briarsaddle-not-run')?.[1]
    if (refusal === undefined) {
      const headers = answer.headers.map(([name, value]) => ({ name, value }))
      return answered({ status: answer.status, headers, body: Buffer.from(answer.body), reason: answer.lengthKnown ? '' : lengthUnknown, serviceMilliseconds })
    }
    if (refusal === 'effect-refused') return notRun('effect_refused')
    // A second attempt would be aborted within milliseconds, and its outcome would be unknown.
    if (refusal === 'deadline-past') return notRun('deadline_passed')
    if (refusal === 'shed') return notRun('endpoint_shed')
    if (!transientRefusals.has(refusal)) logger.debug('endpoint refused a request', { refusal, instance: this.#grants.instance })
    return notRun('endpoint_refused')
  }

  #classifyError (error: unknown, forward: Forward, signal: AbortSignal, timeout: AbortSignal): Answer {
    if (errorCode(error) === writeDenied) return notRun('right_expired', refusalRetryMilliseconds)
    if (failedBeforeWrite(error)) return notRun('endpoint_unavailable')
    logger.debug('request ended without an answer', { request: forward.requestId, endpoint: forward.endpoint, code: errorCode(error) })
    if (error instanceof AnswerLimitError) {
      logger.warning('answer of an endpoint was too long, its connection is closed', { endpoint: forward.endpoint, pool: forward.pool, request: forward.requestId, ...answerLimitLogFields(error), error: error.message })
      return unknown('answer_too_large')
    }
    if (timeout.aborted) return unknown('deadline_passed')
    if (signal.aborted) return unknown('cancelled')
    return unknown('connection_broken')
  }
}
