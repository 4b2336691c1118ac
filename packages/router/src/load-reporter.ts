import { Logger, type Clock, type LifeCycle, type TurnQueue } from '@briarsaddle/common'
import type { EntryServer } from '@briarsaddle/entry'
import type { VmLoad } from './control/coordination-plan.js'
import { LoadMonitor, SmoothedLoad } from './load-monitor.js'
import type { Dispatcher } from './request/dispatcher.js'
import type { RouterMetrics } from './router-metrics.js'

const logger = new Logger('node')
const intervalMilliseconds = 1_000

/** What is reported of a VM. */
export interface LoadReporterOptions {
  readonly clock: Clock
  readonly turns: TurnQueue
  readonly entry: Pick<EntryServer<object>, 'inFlight' | 'requests' | 'abandonedRequests' | 'acceptedConnections'>
  readonly dispatcher: Pick<Dispatcher, 'accepted' | 'gates'>
  readonly metrics: RouterMetrics
}

/** Measures the load of a VM once a second, for the log, the metrics and the leader. */
export class LoadReporter {
  readonly #options: LoadReporterOptions
  readonly #monitor: LoadMonitor
  readonly #smoothed = new SmoothedLoad()
  #requestsBefore = 0

  constructor (options: LoadReporterOptions) {
    this.#options = options
    this.#monitor = new LoadMonitor(options.clock, options.turns)
  }

  /** Load over the last seconds; undefined until it has been measured. */
  get current (): VmLoad | undefined { return this.#smoothed.current }

  /** Reports until the life cycle closes. */
  start (lifeCycle: LifeCycle): void {
    lifeCycle.every('load', intervalMilliseconds, () => this.#report(), error => logger.error('load report failed', { error: String(error) }))
  }

  #report (): void {
    const { turns, entry, dispatcher, metrics } = this.#options
    const sample = this.#monitor.take()
    const { milliseconds, busyShare, processorMilliseconds, longestTurnMilliseconds, heldMilliseconds } = sample
    this.#smoothed.add(sample, entry.requests - this.#requestsBefore)
    this.#requestsBefore = entry.requests
    for (const gate of dispatcher.gates.values()) gate.rate.endPeriod(milliseconds)
    metrics.state({ busyShare, longestTurnSeconds: longestTurnMilliseconds / 1000, heldSeconds: heldMilliseconds / 1000 })
    logger.info('load', {
      milliseconds: Math.round(milliseconds),
      busyShare: Number(busyShare.toFixed(3)),
      processorMilliseconds: Math.round(processorMilliseconds),
      longestTurnMilliseconds: Math.round(longestTurnMilliseconds),
      heldMilliseconds: Math.round(heldMilliseconds),
      waitingRequests: turns.length,
      inFlight: entry.inFlight,
      requests: entry.requests,
      abandoned: entry.abandonedRequests,
      forwarded: dispatcher.accepted,
      coordinatedPerSecond: Math.round([...dispatcher.gates.values()].reduce((sum, gate) => sum + gate.rate.perSecond, 0)),
      acceptedConnections: entry.acceptedConnections
    })
  }
}
