import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Result of one request of a caller. */
export interface RequestMeasure {
  /** Empty when the request was refused before its pool was known. */
  readonly pool: string
  readonly outcome: string
  readonly reason: string
  readonly milliseconds: number
}

/** Result of one request that was sent to an endpoint. */
export interface EndpointCallMeasure {
  readonly pool: string
  readonly result: string
  readonly milliseconds: number
}

/** Result of one call to the platform's store. */
export interface StoreCallMeasure {
  readonly call: string
  readonly result: string
  readonly milliseconds: number
}

/** What a connection to an endpoint is used for. */
export type ConnectionUse = 'request' | 'grant' | 'release'

/** `new`, `failed` and `reset` count connections; `reused` counts calls on a connection that was already open. */
export type ConnectionEvent = 'new' | 'reused' | 'reset' | 'failed'

/** What a move of keys waited for until a former holder no longer held them. */
export type VacateCause = 'release' | 'release_and_grants_without_answer' | 'release_and_former_leader' | 'grants_ran_out' | 'former_leader' | 'later_process'

/** `omitted`: over a rate limit. `dropped`: standard output was not read. */
export type LogLineResult = 'written' | 'omitted' | 'dropped'

const latencyBucketsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 4]
// Calls about grants time out after 0.4 s, calls to the store after 0.7 s.
const callBucketsSeconds = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1.5]
// A release takes milliseconds; grants expire after 3.5 s, those of a former leader after 13.5 s.
const moveBucketsSeconds = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 4, 7, 14, 30]
const loopDelayBucketsSeconds = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2]
const unknownPool = 'none'

/** Counters and latency histograms of one VM, served as text. */
export class RouterMetrics {
  readonly #registry = new Registry()
  readonly #requests = new Counter({ name: 'briarsaddle_requests_total', help: 'Requests of callers by pool, outcome and reason', labelNames: ['pool', 'outcome', 'reason'], registers: [this.#registry] })
  readonly #latency = this.#histogram('briarsaddle_request_seconds', 'Time from arrival to answer', ['pool', 'outcome'], latencyBucketsSeconds)
  readonly #resent = new Counter({ name: 'briarsaddle_resent_total', help: 'Repeated sendings by pool and reason', labelNames: ['pool', 'reason'], registers: [this.#registry] })
  readonly #queue = this.#histogram('briarsaddle_queue_seconds', 'Time that requests waited at the coordinator for a slot of their endpoint before they were sent', ['pool'], latencyBucketsSeconds)
  readonly #endpointCalls = this.#histogram('briarsaddle_endpoint_seconds', 'Time that endpoints took for requests', ['pool', 'result'], latencyBucketsSeconds)
  readonly #connections = new Counter({ name: 'briarsaddle_endpoint_connections_total', help: 'Connections to endpoints by use and event; reused counts calls', labelNames: ['use', 'event'], registers: [this.#registry] })
  readonly #grants = this.#histogram('briarsaddle_grant_seconds', 'Calls that grant keys to endpoints, first grants and renewals', ['result'], callBucketsSeconds)
  readonly #releases = this.#histogram('briarsaddle_release_seconds', 'Calls that release keys at endpoints', ['result'], callBucketsSeconds)
  readonly #vacated = this.#histogram('briarsaddle_vacate_seconds', 'Time until a former holder of moving keys surely held them no longer', ['waited_for'], moveBucketsSeconds)
  readonly #handovers = this.#histogram('briarsaddle_handover_seconds', 'Time of whole handovers of keys', ['result'], moveBucketsSeconds)
  readonly #leaderships = new Counter({ name: 'briarsaddle_leaderships_total', help: 'Leaderships of this VM that began and ended', labelNames: ['event', 'reason'], registers: [this.#registry] })
  readonly #storeCalls = this.#histogram('briarsaddle_store_call_seconds', 'Calls to the store', ['call', 'result'], callBucketsSeconds)
  readonly #loopDelay = this.#histogram('briarsaddle_event_loop_delay_seconds', 'By how much timers of the process were late', [], loopDelayBucketsSeconds)
  // Plain numbers instead of a counter, since every omitted line is counted here, of which there are many at peak load.
  readonly #lines: Record<LogLineResult, number> = { written: 0, omitted: 0, dropped: 0 }
  readonly #logLines = new Counter({
    name: 'briarsaddle_log_lines_total', help: 'Log lines by result', labelNames: ['result'], registers: [this.#registry], collect: () => this.#collectLogLines()
  })

  readonly #state = new Gauge({ name: 'briarsaddle_state', help: 'What the VM believes: leading, ready, routing version, key map position, endpoints', labelNames: ['what'], registers: [this.#registry] })

  readonly #build = new Gauge({ name: 'briarsaddle_build_info', help: 'Build and feature level of the VM; always 1', labelNames: ['build', 'level'], registers: [this.#registry] })

  /** Records the result of a request of a caller. */
  request ({ pool, outcome, reason, milliseconds }: RequestMeasure): void {
    const named = pool === '' ? unknownPool : pool
    this.#requests.inc({ pool: named, outcome, reason: reason === '' ? 'none' : reason })
    this.#latency.observe({ pool: named, outcome }, milliseconds / 1000)
  }

  /** Records that a request is sent again. */
  resent (pool: string, reason: string): void {
    this.#resent.inc({ pool, reason })
  }

  /** Records how long a request waited in the queue before it was sent. */
  queueWait (pool: string, milliseconds: number): void {
    this.#queue.observe({ pool }, milliseconds / 1000)
  }

  /** Records a request to an endpoint. */
  endpointCall ({ pool, result, milliseconds }: EndpointCallMeasure): void {
    this.#endpointCalls.observe({ pool, result }, milliseconds / 1000)
  }

  /** Records an event of a connection to an endpoint. */
  connection (use: ConnectionUse, event: ConnectionEvent): void {
    this.#connections.inc({ use, event })
  }

  /** Records a call that grants keys. */
  grant (result: string, milliseconds: number): void {
    this.#grants.observe({ result }, milliseconds / 1000)
  }

  /** Records a call that releases keys. */
  release (result: string, milliseconds: number): void {
    this.#releases.observe({ result }, milliseconds / 1000)
  }

  /** Records how long a move waited for a former holder. */
  vacated (waitedFor: VacateCause, milliseconds: number): void {
    this.#vacated.observe({ waited_for: waitedFor }, milliseconds / 1000)
  }

  /** Records the time of a whole handover. */
  handover (result: string, milliseconds: number): void {
    this.#handovers.observe({ result }, milliseconds / 1000)
  }

  /** Records the beginning or end of a leadership. `reason` is one of a few fixed texts, since it is a label. */
  leadership (event: 'began' | 'ended', reason: string): void {
    this.#leaderships.inc({ event, reason })
  }

  /** Records a call to the platform's store. */
  storeCall ({ call, result, milliseconds }: StoreCallMeasure): void {
    this.#storeCalls.observe({ call, result }, milliseconds / 1000)
  }

  /** Records by how many milliseconds a timer was late. */
  loopDelay (milliseconds: number): void {
    this.#loopDelay.observe(milliseconds / 1000)
  }

  /** Counts a log line. */
  logLine (result: LogLineResult): void {
    this.#lines[result]++
  }

  /** States the build of the VM and its feature level. */
  build (build: string, level: number): void {
    this.#build.set({ build, level }, 1)
  }

  /** Sets the gauges of the VM's state; the names become label values. */
  state (values: Readonly<Record<string, number>>): void {
    for (const [what, value] of Object.entries(values)) this.#state.set({ what }, value)
  }

  /** Returns all metrics in the Prometheus text format. */
  async text (): Promise<string> {
    return await this.#registry.metrics()
  }

  #collectLogLines (): void {
    this.#logLines.reset()
    for (const [result, count] of Object.entries(this.#lines)) this.#logLines.inc({ result }, count)
  }

  #histogram<Label extends string> (name: string, help: string, labelNames: readonly Label[], buckets: readonly number[]): Histogram<Label> {
    return new Histogram({ name, help, labelNames, buckets: [...buckets], registers: [this.#registry] })
  }
}
