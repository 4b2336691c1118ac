import { performance, type EventLoopUtilization } from 'node:perf_hooks'
import type { Clock, TurnQueue } from '@briarsaddle/common'

/** Load of a VM during one period. */
export interface LoadSample {
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
  take (): LoadSample & { readonly milliseconds: number } {
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
