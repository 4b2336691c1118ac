import { sendTraced, type CallerTrace } from './traffic.js'
import type { Deployment } from './deployment.js'

/** Asks for the status of every key in turn, so that a time without answers is seen for each key. */
export class KeyProbe {
  readonly traces: CallerTrace[] = []
  readonly keys: readonly string[]
  readonly #deployment: Deployment
  readonly #vms: () => readonly string[]
  readonly #prefix: string
  readonly #intervalMilliseconds: number
  readonly #pending = new Set<Promise<void>>()
  #timer: NodeJS.Timeout | undefined
  #count = 0

  /** Each key is asked for once per `intervalMilliseconds`. */
  constructor (deployment: Deployment, options: { readonly prefix: string, readonly keyCount: number, readonly intervalMilliseconds: number, readonly vms: () => readonly string[] }) {
    this.#deployment = deployment
    this.#vms = options.vms
    this.#prefix = options.prefix
    this.#intervalMilliseconds = options.intervalMilliseconds
    this.keys = Array.from({ length: options.keyCount }, (_, index) => `pond-${index + 1}`)
  }

  /** Starts asking. */
  start (): void {
    this.#timer = setInterval(() => this.#send(), this.#intervalMilliseconds / this.keys.length)
  }

  /** Stops asking and waits for all answers. */
  async stop (): Promise<readonly CallerTrace[]> {
    clearInterval(this.#timer)
    await Promise.all(this.#pending)
    return this.traces
  }

  #send (): void {
    const vms = this.#vms()
    const round = Math.floor(this.#count / this.keys.length)
    const key = this.keys[this.#count % this.keys.length] as string
    // The VM changes with each round, so that every key is asked for through every VM.
    const vm = vms[(this.#count + round) % vms.length] as string
    const pending = sendTraced(this.#deployment, { id: `probe-${this.#prefix}-${++this.#count}`, kind: 'status', key, vm }).then(trace => {
      this.traces.push(trace)
      this.#pending.delete(pending)
    })
    this.#pending.add(pending)
  }
}
