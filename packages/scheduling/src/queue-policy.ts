import type { PerClass, ServiceClass } from './service-class.js'

/** What a policy sees of a queue. */
export interface QueueView {
  readonly slots: number
  /** Slots busy with work of a former coordinator, of unknown class. */
  readonly foreignRunning: number
  readonly maximumQueued: number
  readonly running: PerClass<number>
  readonly queued: PerClass<number>
  /** How often a lane that had waiting jobs was passed over by a more urgent one since its last start. */
  readonly overtaken: PerClass<number>
  /** True while long jobs must not start, for example because buckets are moving away to make room. */
  readonly longHeld: boolean
}

/** Decides the order of starts and who may wait. Policies hold no state, so queues can share one. */
export abstract class QueuePolicy {
  /** The lane in which jobs of a class wait. */
  abstract laneOf (serviceClass: ServiceClass): ServiceClass
  /** The lanes whose jobs start before a new job of the lane, its own included. */
  abstract lanesBefore (lane: ServiceClass): readonly ServiceClass[]
  /** Slots that jobs of the lane may hold at the same time. */
  abstract slotsOf (lane: ServiceClass, slots: number): number
  /** The lane whose oldest job starts next, given that a slot is free; undefined when none may start. */
  abstract select (view: QueueView): ServiceClass | undefined
  /** Whether one more job may wait in the lane. */
  abstract mayWait (lane: ServiceClass, view: QueueView): boolean
}

/** Settings of `ClassPolicy`. */
export interface ClassPolicyOptions {
  /** Share of the queue that only prompt jobs may use, from 0 to 1. */
  readonly promptReserve?: number
  /** Starts of prompt jobs after which a waiting normal job gets its turn. */
  readonly normalTurnAfter?: number
  /**
   * Starts of shorter jobs after which a waiting long job gets its turn. With short jobs of 25 ms on 2 slots, 200 let a
   * long job wait for 2.5 s each time; 24 raised the p99 of short jobs and gained long jobs little.
   */
  readonly longTurnAfter?: number
}

/** Prompt before normal before long; long jobs leave a slot free, and nobody waits for ever. */
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
    // A queue of one place has none to reserve.
    const open = maximumQueued - Math.min(Math.ceil(maximumQueued * this.#promptReserve), maximumQueued - 1)
    if (queued.normal + queued.long >= open) return false
    // Long jobs drain slowly; without this limit a few of them keep normal jobs out.
    return lane === 'normal' || queued.long < Math.ceil(open / 2)
  }

  // Foreign work counts as long, because it may be.
  #longMayStart ({ slots, running, foreignRunning, longHeld }: QueueView): boolean {
    if (longHeld) return false
    return slots === 1 || running.long + foreignRunning < this.slotsOf('long', slots)
  }
}

/** First come, first served, whatever the class; the baseline for measurements. */
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
