import type { Queue, QueueAddOptions } from 'p-queue'
import { Lane, type LaneNode } from './lane.js'
import type { QueuePolicy, QueueView } from './queue-policy.js'
import { serviceClasses, zeroPerClass, type ServiceClass } from './service-class.js'
import type { StartRate } from './start-rate.js'

type RunFunction = () => Promise<unknown>

/** A queued or running job. */
export interface QueueEntry extends LaneNode<QueueEntry> {
  readonly lane: ServiceClass
  readonly rule: number
  /** Expected running time, estimated when the job was admitted, in milliseconds. */
  readonly expected: number
  /** Mean absolute deviation of the running time, in milliseconds. */
  readonly spread: number
  /** Latest time at which the job may start, in clock milliseconds; it expires after that. */
  readonly startBy: number
  state: 'new' | 'queued' | 'running' | 'removed'
  startedAt: number
  /** Starts the job. Set when p-queue adds the entry to the queue. */
  start: RunFunction | undefined
}

/** Options of `PQueue.add` for `LaneQueue`. */
export interface EntryOptions extends QueueAddOptions {
  readonly entry?: QueueEntry
}

/** Limits that the owner of the queue may change while jobs are queued and running. */
export interface QueueLimits {
  slots: number
  foreignRunning: number
  maximumQueued: number
  /** Time before which no long job starts, in clock milliseconds. */
  longJobsDelayedUntil: number
  readonly startRate: StartRate
}

/**
 * Queue class for p-queue with one lane per service class. p-queue dequeues whenever `size` is not 0. `size` is therefore 0
 * while no job may start, which also lets the policy delay jobs although slots are free.
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
    /** Called instead of starting a job when its entry is dequeued after `startBy`. */
    readonly expire: (entry: QueueEntry) => void,
    readonly now: () => number
  ) {}

  get slots (): number { return this.limits.slots }
  get foreignRunning (): number { return this.limits.foreignRunning }
  get maximumQueued (): number { return this.limits.maximumQueued }
  get longJobsDelayed (): boolean { return this.now() < this.limits.longJobsDelayedUntil }
  get runningEntries (): ReadonlySet<QueueEntry> { return this.#runningEntries }
  get runningTotal (): number { return this.#runningEntries.size }
  get queuedTotal (): number { return this.queued.prompt + this.queued.normal + this.queued.long }
  get freeSlots (): number { return this.slots - this.foreignRunning - this.runningTotal }

  get size (): number {
    return this.freeSlots > 0 && this.limits.startRate.delayOf(1) === 0 && this.policy.select(this) !== undefined ? this.queuedTotal : 0
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
      // p-queue calls the returned function without a check. It does nothing if all jobs that could have started have expired.
      if (entry === undefined) return async () => {}
      this.removeEntry(entry)
      if (this.now() <= entry.startBy) return this.#start(entry)
      this.expire(entry)
    }
  }

  /** Removes a queued entry; its job never starts. */
  removeEntry (entry: QueueEntry): void {
    entry.state = 'removed'
    this.#lanes[entry.lane].remove(entry)
    this.queued[entry.lane]--
    // Reset to exactly 0 when the lane is empty, so that rounding errors do not accumulate.
    if (this.queued[entry.lane] === 0) this.#queuedWork[entry.lane] = 0
    else this.#queuedWork[entry.lane] -= entry.expected
  }

  /** Frees the slot of a running entry. */
  finish (entry: QueueEntry): void {
    this.running[entry.lane]--
    this.#runningEntries.delete(entry)
  }

  /** Returns the total expected running time of the jobs queued in a lane, in milliseconds. */
  queuedWork (lane: ServiceClass): number {
    return this.#queuedWork[lane]
  }

  /** Iterates over all queued entries. The current entry may be removed during the iteration. */
  * entries (): Generator<QueueEntry> {
    for (const lane of serviceClasses) yield * this.#lanes[lane]
  }

  filter (): RunFunction[] {
    return [...this.entries()].map(entry => entry.start as RunFunction)
  }

  setPriority (): void {
    throw new TypeError('The service class of a queued job cannot be changed')
  }

  #start (entry: QueueEntry): RunFunction {
    const { lane } = entry
    for (const other of serviceClasses.slice(serviceClasses.indexOf(lane) + 1)) {
      if (this.queued[other] > 0) this.overtaken[other]++
    }
    this.overtaken[lane] = 0
    this.limits.startRate.take()
    entry.state = 'running'
    entry.startedAt = this.now()
    this.running[lane]++
    this.#runningEntries.add(entry)
    return entry.start as RunFunction
  }
}
