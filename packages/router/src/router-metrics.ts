import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** How one request of a caller ended. */
export interface RequestMeasure {
  readonly pool: string
  readonly outcome: string
  readonly reason: string
  readonly milliseconds: number
}

const latencyBucketsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 4]

/** Counters and latency histograms of one VM, served as text. */
export class RouterMetrics {
  readonly #registry = new Registry()
  readonly #requests = new Counter({ name: 'briarsaddle_requests_total', help: 'Requests of callers by pool, outcome and reason', labelNames: ['pool', 'outcome', 'reason'], registers: [this.#registry] })
  readonly #latency = new Histogram({ name: 'briarsaddle_request_seconds', help: 'Time from arrival to answer', labelNames: ['pool', 'outcome'], buckets: latencyBucketsSeconds, registers: [this.#registry] })
  readonly #resent = new Counter({ name: 'briarsaddle_resent_total', help: 'Repeated sendings by pool and reason', labelNames: ['pool', 'reason'], registers: [this.#registry] })
  readonly #state = new Gauge({ name: 'briarsaddle_state', help: 'What the VM believes: leading, ready, routing version, key map position, endpoints', labelNames: ['what'], registers: [this.#registry] })

  request ({ pool, outcome, reason, milliseconds }: RequestMeasure): void {
    this.#requests.inc({ pool, outcome, reason: reason === '' ? 'none' : reason })
    this.#latency.observe({ pool, outcome }, milliseconds / 1000)
  }

  resent (pool: string, reason: string): void {
    this.#resent.inc({ pool, reason })
  }

  state (values: Readonly<Record<string, number>>): void {
    for (const [what, value] of Object.entries(values)) this.#state.set({ what }, value)
  }

  /** Returns all metrics in the Prometheus text format. */
  async text (): Promise<string> {
    return await this.#registry.metrics()
  }
}
