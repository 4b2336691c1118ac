import type { Queue, QueueAddOptions } from 'p-queue'
import { Lane, type LaneNode } from './lane.js'
import type { QueuePolicy, QueueView } from './queue-policy.js'
import { serviceClasses, zeroPerClass, type ServiceClass } from './service-class.js'

type RunFunction = () => Promise<unknown>

/** A job in the queue or running. */
export interface QueueEntry extends LaneNode<QueueEntry> {
  readonly lane: ServiceClass
  readonly rule: number
  /** Expected running time when the job was admitted, in milliseconds. */
  readonly expected: number
  readonly spread: number
  /** Latest useful start, in clock milliseconds. */
  readonly startBy: number
  state: 'new' | 'queued' | 'running' | 'removed'
  startedAt: number
  /** Set by p-queue when the job is queued; starts the job. */
  start: RunFunction | undefined
}

/** Options of `PQueue.add` for this queue class. */
export interface EntryOptions extends QueueAddOptions {
  readonly entry?: QueueEntry
}

/** Limits that the owner of the queue changes at run time. */
export interface QueueLimits {
  slots: number
  foreignRunning: number
  maximumQueued: number
  /** Long jobs do not start before this time, in clock milliseconds. */
  longHeldUntil: number
}

/**
 * Queue class for p-queue with one lane per class. `size` counts only what may start now, because p-queue dequeues
 * whenever it is not 0; so the policy can hold jobs back while slots are free.
 */
export class LaneQueue implements Queue<RunFunction, EntryOptions>, QueueView {
  readonly running = zeroPerClass()
  readonly queued = zeroPerClass()
  readonly overtaken = zeroPerClass()
  readonly #queuedWork = zeroPerClass()
  readonly #lanes = { prompt: new Lane<QueueEntry>(), normal: new Lane<QueueEntry>(), long: new Lane<QueueEntry>() }
  readonly #runningEntries = new Set<QueueEntry>()

  constructor (
    readonly policy: QueuePolicy,
    readonly limits: Readonly<QueueLimits>,
    /** Called with an entry whose latest useful start has passed when its turn comes. */
    readonly expire: (entry: QueueEntry) => void,
    readonly now: () => number
  ) {}

  get slots (): number { return this.limits.slots }
  get foreignRunning (): number { return this.limits.foreignRunning }
  get maximumQueued (): number { return this.limits.maximumQueued }
  get longHeld (): boolean { return this.now() < this.limits.longHeldUntil }
  get runningEntries (): ReadonlySet<QueueEntry> { return this.#runningEntries }
  get runningTotal (): number { return this.#runningEntries.size }
  get queuedTotal (): number { return this.queued.prompt + this.queued.normal + this.queued.long }
  get freeSlots (): number { return this.slots - this.foreignRunning - this.runningTotal }

  get size (): number {
    return this.freeSlots > 0 && this.policy.select(this) !== undefined ? this.queuedTotal : 0
  }

  enqueue (run: RunFunction, options?: Partial<EntryOptions>): void {
    const entry = options?.entry as QueueEntry
    entry.start = run
    entry.state = 'queued'
    this.#lanes[entry.lane].append(entry)
    this.queued[entry.lane]++
    this.#queuedWork[entry.lane] += entry.expected
  }

  dequeue (): RunFunction | undefined {
    for (;;) {
      const lane = this.policy.select(this)
      const entry = lane === undefined ? undefined : this.#lanes[lane].first
      // p-queue calls what it gets; when every job that could start has expired, that is a function without effect.
      if (entry === undefined) return async () => {}
      this.take(entry)
      if (this.now() <= entry.startBy) return this.#started(entry)
      this.expire(entry)
    }
  }

  /** Removes a queued entry; its job never starts. */
  take (entry: QueueEntry): void {
    entry.state = 'removed'
    this.#lanes[entry.lane].remove(entry)
    this.queued[entry.lane]--
    // An empty lane is set to exactly 0, so that rounding errors do not add up.
    if (this.queued[entry.lane] === 0) this.#queuedWork[entry.lane] = 0
    else this.#queuedWork[entry.lane] -= entry.expected
  }

  /** Marks a running entry as ended. */
  ended (entry: QueueEntry): void {
    this.running[entry.lane]--
    this.#runningEntries.delete(entry)
  }

  /** Expected running time of the jobs queued in a lane, in milliseconds. */
  queuedWork (lane: ServiceClass): number {
    return this.#queuedWork[lane]
  }

  /** Iterates over all queued entries; the current one may be taken meanwhile. */
  * entries (): Generator<QueueEntry> {
    for (const lane of serviceClasses) yield * this.#lanes[lane]
  }

  filter (): RunFunction[] {
    return [...this.entries()].map(entry => entry.start as RunFunction)
  }

  setPriority (): void {
    throw new TypeError('The class of a queued job is fixed')
  }

  #started (entry: QueueEntry): RunFunction {
    const { lane } = entry
    for (const other of serviceClasses.slice(serviceClasses.indexOf(lane) + 1)) {
      if (this.queued[other] > 0) this.overtaken[other]++
    }
    this.overtaken[lane] = 0
    entry.state = 'running'
    entry.startedAt = this.now()
    this.running[lane]++
    this.#runningEntries.add(entry)
    return entry.start as RunFunction
  }
}
