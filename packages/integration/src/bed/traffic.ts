import { Random } from '@briarsaddle/common'
import type { CallerAnswer, Deployment } from './deployment.js'

/** Kind of request in the Atlas rules. */
export type RequestKind = 'status' | 'order' | 'dispatch'

/** A request as its caller saw it. */
export interface CallerTrace {
  /** Unique in the test; the endpoint stand-in records it. */
  readonly id: string
  readonly kind: RequestKind
  readonly key: string
  readonly vm: string
  /** Wall clock, milliseconds. */
  readonly startedAt: number
  readonly endedAt: number
  /** Undefined when the connection to the VM broke before an answer. */
  readonly answer: CallerAnswer | undefined
}

const pondCount = 40

/** Sends Atlas requests at a steady rate until it is stopped, whatever happens to the answers. */
export class Traffic {
  readonly traces: CallerTrace[] = []
  readonly #deployment: Deployment
  readonly #random: Random
  readonly #vms: () => readonly string[]
  readonly #kinds: readonly RequestKind[]
  readonly #name: string
  readonly #intervalMilliseconds: number
  readonly #pending = new Set<Promise<void>>()
  #timer: NodeJS.Timeout | undefined
  #count = 0

  constructor (deployment: Deployment, options: { readonly seed: number, readonly perSecond?: number, readonly kinds?: readonly RequestKind[], readonly vms?: () => readonly string[], /** Begins the ids; must differ between traffics of one deployment. */ readonly name?: string }) {
    this.#deployment = deployment
    this.#random = new Random(options.seed)
    this.#vms = options.vms ?? (() => [...deployment.vms.keys()])
    this.#name = options.name === undefined ? '' : `${options.name}-`
    this.#kinds = options.kinds ?? ['status', 'order', 'dispatch']
    this.#intervalMilliseconds = 1000 / (options.perSecond ?? 100)
  }

  /** Starts sending. */
  start (): void {
    this.#timer = setInterval(() => this.#send(), this.#intervalMilliseconds)
  }

  /** Stops sending and waits for all answers. */
  async stop (): Promise<readonly CallerTrace[]> {
    clearInterval(this.#timer)
    await Promise.all(this.#pending)
    return this.traces
  }

  #send (): void {
    const kind = this.#random.pick(this.#kinds)
    const key = `pond-${this.#random.integer(1, pondCount)}`
    const vms = this.#vms()
    if (vms.length === 0) return
    const id = `${this.#name}${kind}-${this.#random.seed}-${++this.#count}`
    const pending = sendTraced(this.#deployment, { id, kind, key, vm: this.#random.pick(vms) }).then(trace => {
      this.traces.push(trace)
      this.#pending.delete(pending)
    })
    this.#pending.add(pending)
  }
}

/** Sends one request and returns what its caller saw. */
export async function sendTraced (deployment: Deployment, request: Pick<CallerTrace, 'id' | 'kind' | 'key' | 'vm'>, headers: Readonly<Record<string, string>> = {}): Promise<CallerTrace> {
  const startedAt = Date.now()
  const { method, path } = addressOf(request)
  let answer: CallerAnswer | undefined
  try {
    answer = await deployment.call(request.vm, method, path, { headers: { 'x-test-request': request.id, ...headers }, ...(method === 'POST' && { body: request.id }) })
  } catch {
    answer = undefined
  }
  return { ...request, startedAt, endedAt: Date.now(), answer }
}

function addressOf ({ kind, key }: Pick<CallerTrace, 'kind' | 'key'>): { readonly method: string, readonly path: string } {
  switch (kind) {
    case 'status': return { method: 'GET', path: `/ponds/${key}/sheet-status` }
    case 'order': return { method: 'POST', path: `/ponds/${key}/flood-orders` }
    case 'dispatch': return { method: 'POST', path: '/dispatches' }
  }
}
