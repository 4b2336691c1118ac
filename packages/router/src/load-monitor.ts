import { performance, type EventLoopUtilization } from 'node:perf_hooks'
import type { Clock, TurnQueue } from '@briarsaddle/common'
import type { VmLoad } from './control/coordination-plan.js'

/** Load of a VM during one period. */
export interface LoadSample {
  /** Length of the period. */
  readonly milliseconds: number
  /** Share of the period in which the event loop did not wait for events, 0 to 1. A VM without spare processor time has 1, whatever its share of a core. */
  readonly busyShare: number
  /** Processor time that the process used, in milliseconds. */
  readonly processorMilliseconds: number
  /** Longest time that a request waited for its turn, in milliseconds. */
  readonly longestTurnMilliseconds: number
  /** Time for which requests waited because connections were accepted, in milliseconds. */
  readonly heldMilliseconds: number
}

const microsecondsPerMillisecond = 1_000
const millisecondsPerSecond = 1_000
// Weight of the newest second in the load that other VMs are told.
const newestWeight = 0.4
const leastSamples = 5

/** Counts events and smooths their rate over some seconds. */
export class SmoothedRate {
  #count = 0
  #perSecond = 0

  /** Events a second. */
  get perSecond (): number { return this.#perSecond }

  /** Counts events. */
  count (events = 1): void {
    this.#count += events
  }

  /** Ends a period of the given length. */
  endPeriod (milliseconds: number): void {
    this.#perSecond += newestWeight * (this.#count * millisecondsPerSecond / Math.max(1, milliseconds) - this.#perSecond)
    this.#count = 0
  }
}

/** Smooths the load of a VM over some seconds. */
export class SmoothedLoad {
  readonly #requests = new SmoothedRate()
  #busyShare = 0
  #samples = 0

  /** The load; undefined until it has been measured for some seconds, since a VM that has just started has few callers. */
  get current (): VmLoad | undefined {
    return this.#samples < leastSamples ? undefined : { busyShare: this.#busyShare, requestsPerSecond: this.#requests.perSecond }
  }

  /** Adds a sample, with the number of requests that were read in its period. */
  add ({ milliseconds, busyShare }: Pick<LoadSample, 'milliseconds' | 'busyShare'>, requests: number): void {
    this.#samples++
    this.#requests.count(requests)
    this.#requests.endPeriod(milliseconds)
    this.#busyShare += newestWeight * (busyShare - this.#busyShare)
  }
}

/** Measures how busy this process is. */
export class LoadMonitor {
  readonly #clock: Clock
  readonly #turns: TurnQueue
  #utilization: EventLoopUtilization = performance.eventLoopUtilization()
  #processor = process.cpuUsage()
  #since: number

  constructor (clock: Clock, turns: TurnQueue) {
    this.#clock = clock
    this.#turns = turns
    this.#since = clock.now()
  }

  /** Returns the load since the last call, and begins a new period. */
  take (): LoadSample {
    const utilization = performance.eventLoopUtilization()
    const processor = process.cpuUsage()
    const now = this.#clock.now()
    const used = processor.user - this.#processor.user + processor.system - this.#processor.system
    const sample = {
      milliseconds: now - this.#since,
      busyShare: performance.eventLoopUtilization(utilization, this.#utilization).utilization,
      processorMilliseconds: used / microsecondsPerMillisecond,
      ...this.#turns.takeWaits()
    }
    this.#utilization = utilization
    this.#processor = processor
    this.#since = now
    return sample
  }
}
