import type { BriarsaddleError, Clock, Random } from '@briarsaddle/common'
import PQueue from 'p-queue'
import { LaneQueue, type EntryOptions, type QueueEntry, type QueueLimits } from './lane-queue.js'
import type { QueuePolicy } from './queue-policy.js'
import { refusalError, type Refusal, type RefusalCode } from './refusal.js'
import { RunningTimes } from './running-times.js'
import { serviceClasses, zeroPerClass, type PerClass, type ServiceClass } from './service-class.js'
import { startDelay } from './start-delay.js'
import { StartRate } from './start-rate.js'

/** Options of `EndpointQueue`. */
export interface EndpointQueueOptions {
  /** Number of jobs that may run at the same time. */
  readonly slots: number
  /** Maximum number of queued jobs of all classes together. */
  readonly maximumQueued: number
  readonly clock: Clock
  readonly random: Random
  readonly policy: QueuePolicy
  /** False admits every job for which the queue has space, whether or not its deadline can be met; for measurements. */
  readonly admission?: boolean
}

/** A job: one request to the endpoint. */
export interface QueueJob<Result> {
  /** Service class that the rule declares. */
  readonly serviceClass: ServiceClass
  /** Number of the rule. Running times are estimated per rule. */
  readonly rule: number
  /** Deadline of the answer, in clock milliseconds. */
  readonly deadlineAt: number
  /** Cancels the job: removes it from the queue while it is queued; also passed to `run`. */
  readonly signal: AbortSignal
  /** Whether another queue can run the job as well, so that it is refused instead of waiting for the start rate. Default false. */
  readonly isPortable?: boolean
  /** Runs the job. The slot is busy until the promise settles. */
  readonly run: (signal: AbortSignal) => Promise<Result>
  /** Returns false for results that are not samples of the running time, such as a refusal by the endpoint. */
  readonly isRunningTimeSample?: (result: Result) => boolean
}

/** The properties of a job on which its admission depends. */
export type JobDescription = Pick<QueueJob<unknown>, 'serviceClass' | 'rule' | 'deadlineAt' | 'signal' | 'isPortable'>

/** State of an `EndpointQueue` for the state dump; times in milliseconds. */
export interface EndpointQueueSnapshot {
  readonly slots: number
  readonly foreignRunning: number
  /** Jobs that may start in a second; undefined without a limit. */
  readonly startsPerSecond: number | undefined
  readonly pauseMilliseconds: number
  readonly maximumQueued: number
  readonly draining: boolean
  readonly running: PerClass<number>
  readonly queued: PerClass<number>
  readonly expectedDrainMilliseconds: number
  readonly started: number
  readonly refused: Readonly<Record<RefusalCode, number>>
  readonly rules: ReturnType<RunningTimes['snapshot']>
}

interface Entry extends QueueEntry {
  readonly reject: (error: Error) => void
  readonly stopListening: () => void
}

// Expired jobs are also detected when they are dequeued. The sweep bounds how long after expiry the others are answered.
const minimumSweepMilliseconds = 5
const minimumDrainMilliseconds = 100
const maximumDrainMilliseconds = 30_000

// In terms of the mean absolute deviation (`spread`): with exponential running times, 18 % exceed mean + spread, 8 % exceed
// mean + 2 spreads and 2 % exceed mean + 4 spreads.
const runningSpreads = 4
// By the normal approximation, the wait for several jobs with exponential running times exceeds the expected wait by two
// spreads of the sum in 7 % of cases and by three in 1 %.
const waitingSpreads = 3
// Limits the reserved share of the time before the deadline, so that a job with a short deadline may still wait.
const maximumReservedShare = 0.7

// Share of the time before the deadline, and the most of it, in which a refusal still reaches the VM that answers at the deadline.
const replyShare = 0.05
const longestReplyMilliseconds = 50

/** Returns the time to reserve before the deadline for the way back of a refusal, in milliseconds. */
function replyTime (available: number): number {
  return Math.min(longestReplyMilliseconds, replyShare * Math.max(0, available))
}

/**
 * Returns the time to reserve for running the job before its deadline, in milliseconds: the mean running time and a margin of at
 * least one spread. `waitMargin` is an additional margin for the wait, `available` the time until the deadline.
 */
function reservedTime (mean: number, spread: number, waitMargin: number, available: number): number {
  return Math.max(mean + spread, Math.min(mean + runningSpreads * spread + waitMargin, maximumReservedShare * available))
}

/** The queue of one endpoint: decides which jobs are admitted and in which order they start, and counts the busy slots. */
export class EndpointQueue {
  readonly #clock: Clock
  readonly #random: Random
  readonly #policy: QueuePolicy
  readonly #admission: boolean
  readonly #limits: QueueLimits
  readonly #runningTimes = new RunningTimes()
  readonly #laneQueue: LaneQueue
  readonly #queue: PQueue<LaneQueue, EntryOptions>
  readonly #refused: Record<RefusalCode, number> =
    { queue_full: 0, deadline_unreachable: 0, expired_in_queue: 0, cancelled_in_queue: 0, draining: 0, start_rate_exceeded: 0 }

  #started = 0
  #draining = false
  #sweepTimer: NodeJS.Timeout | undefined
  #sweepAt = Infinity
  #longJobsTimer: NodeJS.Timeout | undefined
  #startTimer: NodeJS.Timeout | undefined

  constructor ({ slots, maximumQueued, clock, random, policy, admission = true }: EndpointQueueOptions) {
    this.#clock = clock
    this.#random = random
    this.#policy = policy
    this.#admission = admission
    this.#limits = { slots, foreignRunning: 0, maximumQueued, longJobsDelayedUntil: -Infinity, startRate: new StartRate(clock) }
    const lanes = new LaneQueue(policy, this.#limits, entry => this.#refuseRemoved(entry as Entry, 'expired_in_queue'), () => clock.now())
    this.#laneQueue = lanes
    // p-queue constructs its queue class without arguments; this constructor returns the existing queue instead.
    const queueClass = function (): LaneQueue { return lanes } as unknown as new () => LaneQueue
    this.#queue = new PQueue<LaneQueue, EntryOptions>({ concurrency: Math.max(1, slots), queueClass })
  }

  /** Number of running jobs. */
  get running (): number { return this.#laneQueue.runningTotal }
  /** Number of queued jobs. */
  get queued (): number { return this.#laneQueue.queuedTotal }
  /** Number of running and queued jobs, including running jobs of a former coordinator. */
  get outstanding (): number { return this.running + this.queued + this.#limits.foreignRunning }
  get slots (): number { return this.#limits.slots }
  get draining (): boolean { return this.#draining }

  /**
   * Queues the job and settles with its result. Rejects with a `RefusalError` if the job has not run: immediately if it is
   * not admitted, later if it expires or is cancelled in the queue.
   */
  async submit<Result> (job: QueueJob<Result>): Promise<Result> {
    const refusal = this.refuseIfNotAdmitted(job)
    if (refusal !== undefined) throw refusalError(refusal)
    return await new Promise<Result>((resolve, reject) => {
      const cancel = (): void => this.#removeQueued(entry, 'cancelled_in_queue')
      const entry = this.#newEntry(job, reject, () => job.signal.removeEventListener('abort', cancel))
      this.#queue.add(async () => await this.#run(entry, job, resolve), { entry }).catch(reject)
      if (entry.state !== 'queued') return
      job.signal.addEventListener('abort', cancel)
      this.#scheduleSweep(entry.startBy)
      this.#scheduleStart()
    })
  }

  /** Returns the refusal that the job would get now, or undefined. Much cheaper than a rejection by `submit`. */
  refusalFor ({ serviceClass, rule, deadlineAt, signal, isPortable = false }: JobDescription): Refusal | undefined {
    if (signal.aborted) return this.#refusal('cancelled_in_queue')
    if (this.#draining) return this.#refusal('draining')
    const now = this.#clock.now()
    if (deadlineAt <= now) return this.#refusal('deadline_unreachable')
    if (isPortable && this.#limits.startRate.delayOf(this.queued + 1) > 0) return this.#refusal('start_rate_exceeded')
    const lane = this.#laneOf(serviceClass, rule)
    if (this.#startsAtOnce(lane)) return undefined
    if (!this.#policy.mayWait(lane, this.#laneQueue)) return this.#refusal('queue_full')
    if (!this.#admission) return undefined
    const { mean, spread, fresh } = this.#runningTimes.estimate(rule, now)
    const reserved = fresh ? reservedTime(mean, spread, this.#waitMargin(lane, spread), deadlineAt - now) : 0
    return now + this.#expectedWait(lane, now) + reserved > deadlineAt ? this.#refusal('deadline_unreachable') : undefined
  }

  /**
   * Returns the refusal of the job and counts it, or returns undefined if the job would be admitted. For callers that call
   * `submit` only for admitted jobs.
   */
  refuseIfNotAdmitted (job: JobDescription): Refusal | undefined {
    const refusal = this.refusalFor(job)
    if (refusal !== undefined) this.#refused[refusal.code]++
    return refusal
  }

  /** Sets the number of slots; with 0 no job starts. Running jobs are not interrupted. */
  setSlots (slots: number): void {
    this.#limits.slots = slots
    this.#applyLimits()
  }

  /** Sets the number of slots that are busy with jobs of a former coordinator. */
  setForeignRunning (foreignRunning: number): void {
    this.#limits.foreignRunning = foreignRunning
    this.#applyLimits()
  }

  /** Sets how many jobs may start in a second; undefined removes the limit. */
  setStartRate (perSecond: number | undefined): void {
    this.#limits.startRate.set(perSecond)
    this.#rescheduleStart()
  }

  /** Starts no job for some time, in milliseconds; 0 ends the pause. Jobs that cannot wait that long are refused at once. */
  pauseStarts (milliseconds: number): void {
    this.#limits.startRate.pause(milliseconds)
    this.#rescheduleStart()
    for (const entry of this.#laneQueue.entries()) {
      if (entry.startBy < this.#clock.now() + milliseconds) this.#removeQueued(entry as Entry, 'deadline_unreachable')
    }
  }

  /** Time for which no job starts, in milliseconds. */
  get pauseMilliseconds (): number { return this.#limits.startRate.pauseMilliseconds }

  #rescheduleStart (): void {
    clearTimeout(this.#startTimer)
    this.#startTimer = undefined
    this.#applyLimits()
    this.#scheduleStart()
  }

  /** Sets whether new jobs are refused. Queued jobs still run. */
  setDraining (draining: boolean): void {
    this.#draining = draining
  }

  /** Starts no long job before the given time, in clock milliseconds. A time in the past lets long jobs start again. */
  delayLongJobs (until: number): void {
    clearTimeout(this.#longJobsTimer)
    this.#limits.longJobsDelayedUntil = until
    this.#applyLimits()
    const left = until - this.#clock.now()
    if (left > 0) this.#longJobsTimer = setTimeout(() => this.delayLongJobs(-Infinity), left)
    // Like the sweep timer, this timer must not keep the process alive.
    this.#longJobsTimer?.unref()
  }

  /** Rejects all queued jobs with errors from `createError` and returns their number. */
  rejectQueued (createError: () => BriarsaddleError): number {
    let removed = 0
    for (const entry of this.#laneQueue.entries()) {
      this.#laneQueue.removeEntry(entry)
      this.#rejectRemoved(entry as Entry, createError())
      removed++
    }
    return removed
  }

  /** Discards the estimates per rule. To be called when a new rule file changes the rule numbers. */
  forgetRules (): void {
    this.#runningTimes.forgetRules()
  }

  /** Returns the state as plain data. */
  snapshot (): EndpointQueueSnapshot {
    const { slots, foreignRunning, maximumQueued, running, queued } = this.#laneQueue
    return {
      slots,
      foreignRunning,
      startsPerSecond: this.#limits.startRate.perSecond,
      pauseMilliseconds: this.pauseMilliseconds,
      maximumQueued,
      draining: this.#draining,
      running: { ...running },
      queued: { ...queued },
      expectedDrainMilliseconds: this.#expectedDrain(),
      started: this.#started,
      refused: { ...this.#refused },
      rules: this.#runningTimes.snapshot()
    }
  }

  #laneOf (serviceClass: ServiceClass, rule: number): ServiceClass {
    return this.#policy.laneOf(this.#runningTimes.effectiveClass(rule, serviceClass))
  }

  #startsAtOnce (lane: ServiceClass): boolean {
    const lanes = this.#laneQueue
    if (lanes.freeSlots <= 0 || this.#limits.startRate.delayOf(1) > 0) return false
    const queued = { ...zeroPerClass(), [lane]: 1 }
    const { slots, foreignRunning, maximumQueued, running, overtaken, longJobsDelayed } = lanes
    // While a slot is free, queued jobs are there only because the policy delays them, so only jobs of the same lane can be ahead.
    return lanes.queued[lane] === 0 &&
      this.#policy.select({ slots, foreignRunning, maximumQueued, running, overtaken, longJobsDelayed, queued }) === lane
  }

  #newEntry (job: JobDescription, reject: (error: Error) => void, stopListening: () => void): Entry {
    const now = this.#clock.now()
    const lane = this.#laneOf(job.serviceClass, job.rule)
    const { mean, spread, fresh } = this.#runningTimes.estimate(job.rule, now)
    // A job that is aborted at its deadline has wasted a slot and has an unknown outcome, whereas a job that expires in the
    // queue has not run.
    const available = job.deadlineAt - now
    const runningTime = fresh ? reservedTime(mean, spread, 0, available) : 0
    const reserved = this.#admission && !this.#startsAtOnce(lane) ? Math.max(runningTime, replyTime(available)) : 0
    return {
      lane,
      rule: job.rule,
      expected: mean,
      spread,
      startBy: job.deadlineAt - reserved,
      state: 'new',
      startedAt: 0,
      start: undefined,
      previous: undefined,
      next: undefined,
      reject,
      stopListening
    }
  }

  // Never rejects, so that p-queue has no errors to report; the promise of `submit` settles with the outcome.
  async #run<Result> (entry: Entry, job: QueueJob<Result>, resolve: (result: Result) => void): Promise<void> {
    entry.stopListening()
    this.#started++
    this.#scheduleStart()
    try {
      const result = await job.run(job.signal)
      this.#measure(entry, !job.signal.aborted && job.isRunningTimeSample?.(result) !== false ? 'complete' : 'unusable', job.signal)
      this.#laneQueue.finish(entry)
      resolve(result)
    } catch (error) {
      this.#measure(entry, 'unusable', job.signal)
      this.#laneQueue.finish(entry)
      entry.reject(error as Error)
    }
  }

  #measure (entry: Entry, kind: 'complete' | 'unusable', signal: AbortSignal): void {
    const now = this.#clock.now()
    const elapsed = now - entry.startedAt
    if (kind === 'complete') this.#runningTimes.record(entry.rule, elapsed, now)
    else if (signal.aborted) this.#runningTimes.recordAborted(entry.rule, elapsed, now)
  }

  #expectedWait (lane: ServiceClass, now: number): number {
    const { slots } = this.#limits
    const work = this.#policy.lanesBefore(lane).reduce((sum, other) => sum + this.#laneQueue.queuedWork(other), 0)
    const wait = Math.max(startDelay(this.#remaining(now, undefined), slots, work), this.#limits.startRate.delayOf(this.#queuedBefore(lane) + 1))
    const laneSlots = this.#policy.slotsOf(lane, slots)
    const delay = lane === 'long' ? Math.max(0, this.#limits.longJobsDelayedUntil - now) : 0
    if (laneSlots === slots) return delay + wait
    return Math.max(wait, delay + startDelay(this.#remaining(now, lane), laneSlots, this.#laneQueue.queuedWork(lane)))
  }

  /** Margin by which a wait in the lane may exceed the expected wait; deviations of the preceding jobs partly cancel out. */
  #waitMargin (lane: ServiceClass, spread: number): number {
    return waitingSpreads * spread * Math.sqrt(this.#queuedBefore(lane)) / Math.max(1, this.#policy.slotsOf(lane, this.#limits.slots))
  }

  /** Number of queued jobs that start before a new job of the lane. */
  #queuedBefore (lane: ServiceClass): number {
    return this.#policy.lanesBefore(lane).reduce((sum, other) => sum + this.#laneQueue.queued[other], 0)
  }

  /** Expected remaining times of the running jobs of one lane, or of all running jobs including those of a former coordinator. */
  #remaining (now: number, lane: ServiceClass | undefined): number[] {
    const remaining: number[] = lane === undefined ? new Array<number>(this.#limits.foreignRunning).fill(this.#runningTimes.mean) : []
    for (const entry of this.#laneQueue.runningEntries) {
      if (lane !== undefined && entry.lane !== lane) continue
      remaining.push(Math.max(entry.expected - (now - entry.startedAt), entry.spread))
    }
    return remaining
  }

  #expectedDrain (): number {
    const queuedWork = serviceClasses.reduce((sum, lane) => sum + this.#laneQueue.queuedWork(lane), 0)
    const remaining = this.#remaining(this.#clock.now(), undefined).reduce((sum, time) => sum + time, 0)
    return Math.max((queuedWork + remaining) / Math.max(1, this.#limits.slots), this.#limits.startRate.delayOf(this.queued + 1))
  }

  #refusal (code: RefusalCode): Refusal {
    const drain = Math.min(Math.max(this.#expectedDrain(), minimumDrainMilliseconds), maximumDrainMilliseconds)
    // Jitter of half to one and a half times the drain time, so that refused callers do not retry at the same time.
    return { code, retryAfterMilliseconds: Math.round(drain * (0.5 + this.#random.fraction())) }
  }

  #removeQueued (entry: Entry, code: RefusalCode): void {
    if (entry.state !== 'queued') return
    this.#laneQueue.removeEntry(entry)
    this.#refuseRemoved(entry, code)
  }

  #refuseRemoved (entry: Entry, code: RefusalCode): void {
    this.#refused[code]++
    this.#rejectRemoved(entry, refusalError(this.#refusal(code)))
  }

  #rejectRemoved (entry: Entry, error: Error): void {
    entry.stopListening()
    entry.reject(error)
  }

  #applyLimits (): void {
    const { slots, foreignRunning } = this.#limits
    // Setting the concurrency also starts the jobs that may start now. With no free slots, `LaneQueue` itself starts none.
    this.#queue.concurrency = Math.max(1, slots - foreignRunning)
  }

  /** Sets a timer for the time at which the start rate lets the next queued job start. */
  #scheduleStart (): void {
    const wait = this.#limits.startRate.delayOf(1)
    if (wait === 0 || this.queued === 0 || this.#startTimer !== undefined) return
    this.#startTimer = setTimeout(() => {
      this.#startTimer = undefined
      this.#applyLimits()
      this.#scheduleStart()
    }, Math.ceil(wait))
    this.#startTimer.unref()
  }

  #scheduleSweep (time: number): void {
    if (time >= this.#sweepAt) return
    clearTimeout(this.#sweepTimer)
    this.#sweepAt = time
    this.#sweepTimer = setTimeout(() => this.#sweep(), Math.max(minimumSweepMilliseconds, Math.ceil(time - this.#clock.now())))
    // The callers' connections keep the process alive for queued jobs; the timer alone must not.
    this.#sweepTimer.unref()
  }

  #sweep (): void {
    const now = this.#clock.now()
    let next = Infinity
    this.#sweepAt = Infinity
    for (const entry of this.#laneQueue.entries()) {
      if (entry.startBy < now) this.#removeQueued(entry as Entry, 'expired_in_queue')
      else next = Math.min(next, entry.startBy)
    }
    if (next !== Infinity) this.#scheduleSweep(next)
  }
}
