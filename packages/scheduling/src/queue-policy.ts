import type { PerClass, ServiceClass } from './service-class.js'

/** The state of a queue that a policy may use. */
export interface QueueView {
  readonly slots: number
  /** Slots that are busy with jobs of a former coordinator, whose service classes are unknown. */
  readonly foreignRunning: number
  readonly maximumQueued: number
  readonly running: PerClass<number>
  readonly queued: PerClass<number>
  /** Per lane, how many jobs of more urgent lanes have started since its own last start while it had queued jobs. */
  readonly overtaken: PerClass<number>
  /** True while no long job may start, for example because buckets are being moved to other endpoints first. */
  readonly longJobsDelayed: boolean
}

/** Decides in which order jobs start and which jobs may be queued. Policies are stateless, so queues can share one. */
export abstract class QueuePolicy {
  /** Returns the lane in which jobs of a service class are queued. */
  abstract laneOf (serviceClass: ServiceClass): ServiceClass
  /** Returns the lanes whose queued jobs start before a new job of the lane, including the lane itself. */
  abstract lanesBefore (lane: ServiceClass): readonly ServiceClass[]
  /** Returns the number of slots that jobs of the lane may occupy at the same time. */
  abstract slotsOf (lane: ServiceClass, slots: number): number
  /** Returns the lane whose oldest job starts next, given that a slot is free, or undefined if no job may start. */
  abstract select (view: QueueView): ServiceClass | undefined
  /** Returns whether one more job may be queued in the lane. */
  abstract mayWait (lane: ServiceClass, view: QueueView): boolean
}

/** Options of `ClassPolicy`. */
export interface ClassPolicyOptions {
  /** Share of the queue that is reserved for prompt jobs, from 0 to 1. */
  readonly promptReserve?: number
  /** Number of prompt jobs that may start before a queued normal job. */
  readonly normalTurnAfter?: number
  /**
   * Number of shorter jobs that may start before a queued long job. With short jobs of 25 ms on 2 slots, 200 delays a long
   * job by up to 2.5 s; 24 raised the p99 of short jobs and helped long jobs little.
   */
  readonly longTurnAfter?: number
}

/** Starts prompt before normal before long jobs. Long jobs leave one slot free, and no lane is starved. */
export class ClassPolicy extends QueuePolicy {
  readonly #promptReserve: number
  readonly #normalTurnAfter: number
  readonly #longTurnAfter: number

  constructor ({ promptReserve = 0.2, normalTurnAfter = 8, longTurnAfter = 200 }: ClassPolicyOptions = {}) {
    super()
    this.#promptReserve = promptReserve
    this.#normalTurnAfter = normalTurnAfter
    this.#longTurnAfter = longTurnAfter
  }

  override laneOf (serviceClass: ServiceClass): ServiceClass {
    return serviceClass
  }

  override lanesBefore (lane: ServiceClass): readonly ServiceClass[] {
    if (lane === 'prompt') return ['prompt']
    return lane === 'normal' ? ['prompt', 'normal'] : ['prompt', 'normal', 'long']
  }

  override slotsOf (lane: ServiceClass, slots: number): number {
    return lane === 'long' && slots > 1 ? slots - 1 : slots
  }

  override select (view: QueueView): ServiceClass | undefined {
    const { queued, overtaken } = view
    const longMayStart = queued.long > 0 && this.#longMayStart(view)
    if (longMayStart && overtaken.long >= this.#longTurnAfter) return 'long'
    if (queued.normal > 0 && overtaken.normal >= this.#normalTurnAfter) return 'normal'
    if (queued.prompt > 0) return 'prompt'
    if (queued.normal > 0) return 'normal'
    return longMayStart ? 'long' : undefined
  }

  override mayWait (lane: ServiceClass, { queued, maximumQueued }: QueueView): boolean {
    if (queued.prompt + queued.normal + queued.long >= maximumQueued) return false
    if (lane === 'prompt') return true
    // At least one place is not reserved, also in a queue of one place.
    const unreserved = maximumQueued - Math.min(Math.ceil(maximumQueued * this.#promptReserve), maximumQueued - 1)
    if (queued.normal + queued.long >= unreserved) return false
    // Long jobs leave the queue slowly; without this limit a few of them would block normal jobs.
    return lane === 'normal' || queued.long < Math.ceil(unreserved / 2)
  }

  // Jobs of a former coordinator count as long, because any of them may be.
  #longMayStart ({ slots, running, foreignRunning, longJobsDelayed }: QueueView): boolean {
    if (longJobsDelayed) return false
    return slots === 1 || running.long + foreignRunning < this.slotsOf('long', slots)
  }
}

/** Starts jobs in the order of arrival, regardless of service class; the baseline for measurements. */
export class FifoPolicy extends QueuePolicy {
  override laneOf (): ServiceClass {
    return 'normal'
  }

  override lanesBefore (): readonly ServiceClass[] {
    return ['normal']
  }

  override slotsOf (_lane: ServiceClass, slots: number): number {
    return slots
  }

  override select ({ queued }: QueueView): ServiceClass | undefined {
    return queued.normal > 0 ? 'normal' : undefined
  }

  override mayWait (_lane: ServiceClass, { queued, maximumQueued }: QueueView): boolean {
    return queued.normal < maximumQueued
  }
}
