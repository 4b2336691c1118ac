import { StatsD } from 'hot-shots'
import { Logger, describeError } from '@briarsaddle/common'
import { PeakServiceCounter } from './peak-service-counter.js'

const logger = new Logger('metrics')

// Fits in one Ethernet frame, so that datagrams are not fragmented.
const maximumDatagramBytes = 1_432
const flushIntervalMilliseconds = 1_000

/** Destination and common settings of metrics. */
export interface MetricsOptions {
  readonly host: string
  readonly port: number
  readonly prefix: string
  /** VM id, added to every metric. */
  readonly vm: string
  /** Keeps metrics in `mockBuffer` instead of sending them, for tests. */
  readonly mock?: boolean
}

/** One finished request. */
export interface RequestMetric {
  readonly pool: string
  readonly serviceClass: string
  readonly outcome: string
  /** Empty for answered requests. */
  readonly reason: string
  /** Time from the arrival of the request to its final answer. */
  readonly milliseconds: number
}

/** Sends metrics over StatsD. No method throws; errors are counted. */
export class Metrics {
  readonly #client: StatsD
  readonly #peaks = new PeakServiceCounter()
  #errors = 0

  constructor (options: MetricsOptions) {
    this.#client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: options.prefix,
      globalTags: { vm: options.vm },
      maxBufferSize: maximumDatagramBytes,
      bufferFlushInterval: flushIntervalMilliseconds,
      mock: options.mock ?? false,
      errorHandler: error => this.#failed(error)
    })
  }

  /** Number of metrics or datagrams that could not be sent. */
  get errors (): number {
    return this.#errors
  }

  /** Metrics as StatsD lines when `mock` is set; otherwise empty. */
  get mockBuffer (): readonly string[] {
    return this.#client.mockBuffer ?? []
  }

  /** Counts and times one request of a caller. */
  request ({ pool, serviceClass, outcome, reason, milliseconds }: RequestMetric): void {
    this.#peaks.record(pool, outcome === 'answered')
    this.#send(() => {
      this.#client.increment('requests', 1, { pool, class: serviceClass, outcome, reason: reason === '' ? 'none' : reason })
      this.#client.timing('request_milliseconds', milliseconds, { pool, class: serviceClass, outcome })
    })
  }

  /** Counts a request that was sent again. */
  resent (reason: string): void {
    this.#send(() => this.#client.increment('requests_resent', 1, { reason }))
  }

  /** Reports load imbalance: the load of the most loaded endpoint of a pool divided by the mean load. */
  loadImbalance (pool: string, ratio: number): void {
    this.#send(() => this.#client.gauge('load_imbalance', ratio, { pool }))
  }

  /** Reports churn of key ownership: the number of buckets that changed their owner. */
  bucketsMoved (pool: string, buckets: number, cause: string): void {
    this.#send(() => this.#client.increment('buckets_moved', buckets, { pool, cause }))
  }

  /** Reports how long buckets of a pool could not serve their keys. */
  unavailable (pool: string, milliseconds: number): void {
    this.#send(() => this.#client.timing('unavailable_milliseconds', milliseconds, { pool }))
  }

  /**
   * Reports the service at peak demand: the share of received requests that were answered, from 0 to 1. Closes the window
   * in which requests were counted and reports the pools that were near their highest demand in it.
   */
  peakService (): void {
    for (const { pool, answeredShare } of this.#peaks.closeWindow()) {
      this.#send(() => this.#client.gauge('peak_service', answeredShare, { pool }))
    }
  }

  /** Reports head-of-line blocking: how long a request waited in the queue behind long requests. */
  blockedBehindLong (pool: string, serviceClass: string, milliseconds: number): void {
    this.#send(() => this.#client.timing('blocked_behind_long_milliseconds', milliseconds, { pool, class: serviceClass }))
  }

  /** Reports the number of requests in the queue of an endpoint. */
  queued (pool: string, endpoint: string, requests: number): void {
    this.#send(() => this.#client.gauge('queued', requests, { pool, endpoint }))
  }

  /** Reports any other gauge of the process, for example `event_loop_delay_milliseconds`. */
  gauge (name: string, value: number): void {
    this.#send(() => this.#client.gauge(name, value))
  }

  /** Sends the buffered metrics and closes the socket. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.#send(() => this.#client.close(error => {
        if (error !== undefined && error !== null) this.#failed(error)
        resolve()
      }), resolve)
    })
  }

  #send (send: () => void, onError?: () => void): void {
    try {
      send()
    } catch (error) {
      this.#failed(error)
      onError?.()
    }
  }

  #failed (error: unknown): void {
    // Only the first error is logged; the following ones are only counted.
    if (this.#errors === 0) logger.warning('metrics cannot be sent', { error: describeError(error) })
    this.#errors += 1
  }
}
