import { delay, type Clock } from '@briarsaddle/common'
import type { BucketState, FormerHolder } from '@briarsaddle/ownership'
import { JournalStage, Outcome, type Answer, type Forward } from '@briarsaddle/protocol'
import { notRun, unknown } from './answers.js'
import type { PoolRunner } from './coordinator.js'
import type { JournalImports } from './journal-imports.js'
import { requestFingerprint, type IdempotencyJournal, type JournalKey } from './journal.js'

const maximumImportWaitMilliseconds = 1000
/** A full journal accepts a key only after its oldest keys have expired, so an earlier retry would be refused again. */
const fullRetryMilliseconds = 5000
const movedRetryMilliseconds = 50

/** A request that a session handles. */
export interface PendingRequest {
  readonly forward: Forward
  /** Token of the bucket's assignment when the request arrived; -1 without a bucket. */
  readonly bucketToken: number
  /** Monotonic time in milliseconds. */
  readonly deadlineAt: number
  readonly signal: AbortSignal
}

/** The operations of a session that the handling of idempotency keys needs. */
export abstract class RequestQueue {
  /** Returns a refusal when the request may not be queued, before any work is done for it; otherwise undefined. */
  abstract refuse (request: PendingRequest): Answer | undefined
  /** Queues a request. `prepare` runs while the request is queued; the request is sent only if it resolves to true. */
  abstract enqueue (request: PendingRequest, prepare: () => Promise<boolean>): Promise<Answer>
  /** State of the bucket while the endpoint holds it; otherwise undefined. */
  abstract heldBucket (bucket: number): BucketState | undefined
}

/** Runs the request of each idempotency key at most once, and answers repeated requests from the journal. */
export class IdempotencyKeyHandler {
  readonly #endpoint: string
  readonly #journal: IdempotencyJournal
  readonly #imports: JournalImports
  readonly #clock: Clock
  readonly #queue: RequestQueue
  readonly #poolRunner: () => PoolRunner | undefined

  constructor (options: {
    readonly endpoint: string
    readonly journal: IdempotencyJournal
    readonly imports: JournalImports
    readonly clock: Clock
    readonly queue: RequestQueue
    /** Returns undefined while the VM is starting. */
    readonly poolRunner: () => PoolRunner | undefined
  }) {
    this.#endpoint = options.endpoint
    this.#journal = options.journal
    this.#imports = options.imports
    this.#clock = options.clock
    this.#queue = options.queue
    this.#poolRunner = options.poolRunner
  }

  /** Answers a request with a known key from the journal and runs any other. Always resolves. */
  async handle (request: PendingRequest): Promise<Answer> {
    const { forward, bucketToken } = request
    await this.#waitForImport(request)
    // The bucket may have moved during the wait. Nothing is awaited from this check until the key is in the journal, so that neither can change in between.
    const bucket = this.#queue.heldBucket(forward.bucket)
    if (bucket?.token !== bucketToken) return notRun('not_owner', movedRetryMilliseconds)
    const key: JournalKey = { key: forward.idempotencyKey, fingerprint: requestFingerprint(forward), bucket: forward.bucket, former: this.#formerHolder(bucket) }
    const refusal = this.#answerFromJournal(key) ?? this.#refuse(request) ?? this.#begin(key)
    if (refusal !== undefined) return refusal
    const answer = forward.anyEndpoint ? await this.#runAnywhere(request) : await this.#queue.enqueue(request, async () => await this.#journal.replicate(key.key))
    this.#journal.finish(key.key, stageOf(answer), answer)
    return answer
  }

  async #waitForImport ({ forward, deadlineAt, signal }: PendingRequest): Promise<void> {
    const settled = this.#imports.running(forward.bucket)
    if (settled === undefined) return
    const wait = new AbortController()
    const longest = delay(Math.min(maximumImportWaitMilliseconds, deadlineAt - this.#clock.now()), AbortSignal.any([signal, wait.signal]))
    await Promise.race([settled, longest])
    wait.abort()
  }

  #formerHolder ({ former }: BucketState): FormerHolder | undefined {
    return former?.endpoint === this.#endpoint ? undefined : former
  }

  #answerFromJournal (key: JournalKey): Answer | undefined {
    const finding = this.#journal.find(key)
    switch (finding.kind) {
      case 'answered': return finding.answer
      case 'different_request': return notRun('idempotency_key_reused')
      case 'running': return unknown('repeat_in_progress')
      case 'unknown': return unknown('repeat_unknown')
      case 'incomplete': return unknown('journal_incomplete')
      case 'new': return undefined
    }
  }

  #refuse (request: PendingRequest): Answer | undefined {
    // A request for any endpoint of the pool does not use the queue of this endpoint.
    return request.forward.anyEndpoint ? undefined : this.#queue.refuse(request)
  }

  #begin (key: JournalKey): Answer | undefined {
    switch (this.#journal.begin(key)) {
      case 'full': return notRun('journal_full', fullRetryMilliseconds)
      case 'ended': return notRun('not_coordinator', movedRetryMilliseconds)
      case undefined: return undefined
    }
  }

  async #runAnywhere ({ forward, deadlineAt, signal }: PendingRequest): Promise<Answer> {
    const runner = this.#poolRunner()
    if (runner === undefined) return notRun('endpoint_unavailable')
    if (!await this.#journal.replicate(forward.idempotencyKey)) return notRun('journal_unavailable')
    return await runner.run({ ...forward, deadlineMilliseconds: Math.max(1, deadlineAt - this.#clock.now()) }, signal)
  }
}

function stageOf (answer: Answer): JournalStage {
  switch (answer.outcome) {
    case Outcome.OUTCOME_ANSWERED: return JournalStage.JOURNAL_STAGE_ANSWERED
    case Outcome.OUTCOME_NOT_RUN: return JournalStage.JOURNAL_STAGE_REMOVED
    default: return JournalStage.JOURNAL_STAGE_UNKNOWN
  }
}
