import { ByteCollector } from '@briarsaddle/common'
import type { Dispatcher } from 'undici'
import type { AnswerMemory, HeldAnswer } from './answer-memory.js'

/** A complete answer. */
export interface WholeAnswer {
  readonly status: number
  /** Alternating header names and values, as received. */
  readonly rawHeaders: readonly Buffer[]
  readonly body: Buffer
}

/** A request whose answer is read as a whole. */
export interface AnswerRequest extends Dispatcher.DispatchOptions {
  readonly signal: AbortSignal
  /** Limits the total memory of the answers that are read with the same `AnswerMemory`. */
  readonly memory?: AnswerMemory | undefined
}

/**
 * Sends a request through a `BoundedClient`, or a pool of such clients, and reads the whole answer.
 * Rejects with the error of undici, an `AnswerLimitError` or the reason of the signal.
 */
export async function readAnswer (dispatcher: Dispatcher, { signal, memory, ...options }: AnswerRequest): Promise<WholeAnswer> {
  return await new Promise((resolve, reject) => {
    dispatcher.dispatch(options, new AnswerReader(signal, memory, resolve, reject))
  })
}

/** Collects one answer. Uses the older handler callbacks of undici, because they pass the headers as received. */
class AnswerReader implements Dispatcher.DispatchHandler, HeldAnswer {
  readonly #signal: AbortSignal
  readonly #memory: AnswerMemory | undefined
  readonly #resolve: (answer: WholeAnswer) => void
  readonly #reject: (error: unknown) => void
  readonly #body = new ByteCollector()
  #abort: ((error?: Error) => void) | undefined
  #status = 0
  #rawHeaders: readonly Buffer[] = []

  constructor (signal: AbortSignal, memory: AnswerMemory | undefined, resolve: (answer: WholeAnswer) => void, reject: (error: unknown) => void) {
    this.#signal = signal
    this.#memory = memory
    this.#resolve = resolve
    this.#reject = reject
    signal.addEventListener('abort', this.#onAbort)
  }

  get heldBytes (): number { return this.#body.capacity }

  end (error: Error): void {
    this.#abort?.(error)
  }

  onConnect (abort: (error?: Error) => void): void {
    this.#abort = abort
    if (this.#signal.aborted) this.#onAbort()
  }

  onHeaders (status: number, rawHeaders: readonly Buffer[]): boolean {
    if (status >= 200) {
      this.#status = status
      this.#rawHeaders = rawHeaders
    }
    return true
  }

  onData (part: Buffer): boolean {
    const growth = this.#body.growth(part)
    if (growth === 0 || this.#memory === undefined || this.#memory.reserve(this, growth)) this.#body.add(part)
    return true
  }

  onComplete (): void {
    this.#settle()
    this.#resolve({ status: this.#status, rawHeaders: this.#rawHeaders, body: this.#body.take() })
  }

  onError (error: Error): void {
    this.#settle()
    this.#body.take()
    this.#reject(error)
  }

  // A request that is still waiting for its connection is aborted by `onConnect`, or fails when the connection fails.
  readonly #onAbort = (): void => {
    const { reason } = this.#signal
    this.#abort?.(reason instanceof Error ? reason : new Error(String(reason)))
  }

  #settle (): void {
    this.#signal.removeEventListener('abort', this.#onAbort)
    this.#memory?.release(this, this.#body.capacity)
  }
}
