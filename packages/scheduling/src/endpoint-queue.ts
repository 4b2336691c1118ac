import type { BriarsaddleError, Clock, Random } from '@briarsaddle/common'
import PQueue from 'p-queue'
import { LaneQueue, type EntryOptions, type QueueEntry, type QueueLimits } from './lane-queue.js'
import type { QueuePolicy } from './queue-policy.js'
import { refusalError, type Refusal, type RefusalCode } from './refusal.js'
import { RunningTimes } from './running-times.js'
import { serviceClasses, zeroPerClass, type PerClass, type ServiceClass } from './service-class.js'
import { startDelay } from './start-delay.js'

/** Settings of an `EndpointQueue`. */
export interface EndpointQueueOptions {
  readonly slots: number
  /** Bound of waiting jobs, of all classes together. */
  readonly maximumQueued: number
  readonly clock: Clock
  readonly random: Random
  readonly policy: QueuePolicy
  /** False admits whatever fits into the queue, whether or not its deadline can be met; for measurements. */
  readonly admission?: boolean
}

/** One request to the endpoint. */
export interface QueueJob<Result> {
  /** The class that the rule declares. */
  readonly serviceClass: ServiceClass
  /** Number of the rule; running times are observed per rule. */
  readonly rule: number
  /** When the answer must be there, in clock milliseconds. */
  readonly deadlineAt: number
  /** Cancels the job: takes it out of the queue, or is passed on to `run`. */
  readonly signal: AbortSignal
  /** Does the work. The slot stays busy until the promise settles. */
  readonly run: (signal: AbortSignal) => Promise<Result>
  /** False for results that say nothing about the running time, such as a refusal by the endpoint. */
  readonly measured?: (result: Result) => boolean
}

/** What admission needs to know of a job. */
export type JobDescription = Pick<QueueJob<unknown>, 'serviceClass' | 'rule' | 'deadlineAt' | 'signal'>

/** State of a queue for the state dump; times in milliseconds. */
export interface EndpointQueueSnapshot {
  readonly slots: number
  readonly foreignRunning: number
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

// Jobs that reach their turn are checked there; the sweep only bounds how late the others get their answer.
const minimumSweepMilliseconds = 5
const minimumDrainMilliseconds = 100
const maximumDrainMilliseconds = 30_000

// Of exponential running times, 18 % exceed mean + spread, 8 % mean + 2 spreads and 2 % mean + 4 spreads.
const runningSpreads = 4
// By the normal approximation, 7 % of the waits behind several jobs with exponential running times exceed the expected
// one by two spreads of the sum, and 1 % by three.
const waitingSpreads = 3
// With short deadlines the reserves take no more than this share of the time, so that a job may still wait at all.
const largestReserveShare = 0.7

/** Time to reserve, with the mean running time, in milliseconds; at least one spread is always reserved. */
function reserve (mean: number, spread: number, slack: number, available: number): number {
  return Math.max(mean + spread, Math.min(mean + runningSpreads * spread + slack, largestReserveShare * available))
}

/** The queue of one endpoint: admission, order of starts and exact counting of slots. */
export class EndpointQueue {
  readonly #clock: Clock
  readonly #random: Random
  readonly #policy: QueuePolicy
  readonly #admission: boolean
  readonly #limits: QueueLimits
  readonly #times = new RunningTimes()
  readonly #lanes: LaneQueue
  readonly #queue: PQueue<LaneQueue, EntryOptions>
  readonly #refused: Record<RefusalCode, number> =
    { queue_full: 0, deadline_unreachable: 0, expired_in_queue: 0, cancelled_in_queue: 0, draining: 0 }

  #started = 0
  #draining = false
  #sweepTimer: NodeJS.Timeout | undefined
  #sweepAt = Infinity
  #holdTimer: NodeJS.Timeout | undefined

  constructor ({ slots, maximumQueued, clock, random, policy, admission = true }: EndpointQueueOptions) {
    this.#clock = clock
    this.#random = random
    this.#policy = policy
    this.#admission = admission
    this.#limits = { slots, foreignRunning: 0, maximumQueued, longHeldUntil: -Infinity }
    const lanes = new LaneQueue(policy, this.#limits, entry => this.#rejectTaken(entry as Entry, 'expired_in_queue'), () => clock.now())
    this.#lanes = lanes
    // p-queue creates its queue without arguments, and the queue must be at hand here.
    const queueClass = function (): LaneQueue { return lanes } as unknown as new () => LaneQueue
    this.#queue = new PQueue<LaneQueue, EntryOptions>({ concurrency: Math.max(1, slots), queueClass })
  }

  /** Jobs in a slot. */
  get running (): number { return this.#lanes.runningTotal }
  /** Jobs that wait. */
  get queued (): number { return this.#lanes.queuedTotal }
  /** Everything the endpoint still has to do, with the work of a former coordinator. */
  get outstanding (): number { return this.running + this.queued + this.#limits.foreignRunning }
  get slots (): number { return this.#limits.slots }
  get draining (): boolean { return this.#draining }

  /**
   * Runs the job when its turn comes and settles as it does. Rejects with a `RefusalError` when the job surely did
   * not run: at once when it is not admitted, later when it expires or is cancelled in the queue.
   */
  async submit<Result> (job: QueueJob<Result>): Promise<Result> {
    const refusal = this.refuse(job)
    if (refusal !== undefined) throw refusalError(refusal)
    return await new Promise<Result>((resolve, reject) => {
      const cancel = (): void => this.#giveUp(entry, 'cancelled_in_queue')
      const entry = this.#newEntry(job, reject, () => job.signal.removeEventListener('abort', cancel))
      this.#queue.add(async () => await this.#run(entry, job, resolve), { entry }).catch(reject)
      if (entry.state !== 'queued') return
      job.signal.addEventListener('abort', cancel)
      this.#sweepNotLaterThan(entry.startBy)
    })
  }

  /** Returns why the job would be refused now, or undefined. Costs far less than a rejection by `submit`. */
  refusalFor ({ serviceClass, rule, deadlineAt, signal }: JobDescription): Refusal | undefined {
    if (signal.aborted) return this.#refusal('cancelled_in_queue')
    if (this.#draining) return this.#refusal('draining')
    const now = this.#clock.now()
    if (deadlineAt <= now) return this.#refusal('deadline_unreachable')
    const lane = this.#laneOf(serviceClass, rule)
    if (this.#startsAtOnce(lane)) return undefined
    if (!this.#policy.mayWait(lane, this.#lanes)) return this.#refusal('queue_full')
    if (!this.#admission) return undefined
    const { mean, spread, fresh } = this.#times.estimate(rule, now)
    const reserved = fresh ? reserve(mean, spread, this.#waitSlack(lane, spread), deadlineAt - now) : 0
    return now + this.#expectedWait(lane, now) + reserved > deadlineAt ? this.#refusal('deadline_unreachable') : undefined
  }

  /** Returns why the job is refused, and counts the refusal, or undefined. For callers that then do not call `submit`. */
  refuse (job: JobDescription): Refusal | undefined {
    const refusal = this.refusalFor(job)
    if (refusal !== undefined) this.#refused[refusal.code]++
    return refusal
  }

  /** Sets the number of slots; 0 starts nothing. Running jobs are not interrupted. */
  setSlots (slots: number): void {
    this.#limits.slots = slots
    this.#applyLimits()
  }

  /** Sets the number of slots that are busy with work of a former coordinator. */
  setForeignRunning (foreignRunning: number): void {
    this.#limits.foreignRunning = foreignRunning
    this.#applyLimits()
  }

  /** Refuses new jobs from now on, or accepts them again. What is queued still runs. */
  setDraining (draining: boolean): void {
    this.#draining = draining
  }

  /** Starts no long job before the given time, in clock milliseconds; a time in the past ends the hold. */
  holdLong (until: number): void {
    clearTimeout(this.#holdTimer)
    this.#limits.longHeldUntil = until
    this.#applyLimits()
    const left = until - this.#clock.now()
    if (left > 0) this.#holdTimer = setTimeout(() => this.holdLong(-Infinity), left)
    // Like the sweep, the hold alone must not keep a process alive.
    this.#holdTimer?.unref()
  }

  /** Rejects everything queued with the errors of the factory and returns how many jobs that were. */
  remove (createError: () => BriarsaddleError): number {
    let removed = 0
    for (const entry of this.#lanes.entries()) {
      this.#lanes.take(entry)
      this.#settleTaken(entry as Entry, createError())
      removed++
    }
    return removed
  }

  /** Forgets the estimates per rule; to be called when a new rule file changes the rule numbers. */
  forgetRules (): void {
    this.#times.forgetRules()
  }

  /** Returns the state as plain data. */
  snapshot (): EndpointQueueSnapshot {
    const { slots, foreignRunning, maximumQueued, running, queued } = this.#lanes
    return {
      slots,
      foreignRunning,
      maximumQueued,
      draining: this.#draining,
      running: { ...running },
      queued: { ...queued },
      expectedDrainMilliseconds: this.#expectedDrain(),
      started: this.#started,
      refused: { ...this.#refused },
      rules: this.#times.snapshot()
    }
  }

  #laneOf (serviceClass: ServiceClass, rule: number): ServiceClass {
    return this.#policy.laneOf(this.#times.effectiveClass(rule, serviceClass))
  }

  #startsAtOnce (lane: ServiceClass): boolean {
    const lanes = this.#lanes
    if (lanes.freeSlots <= 0) return false
    const queued = { ...zeroPerClass(), [lane]: 1 }
    const { slots, foreignRunning, maximumQueued, running, overtaken, longHeld } = lanes
    // Whatever is queued while a slot is free is held back by the policy; only the own lane can be ahead.
    return lanes.queued[lane] === 0 &&
      this.#policy.select({ slots, foreignRunning, maximumQueued, running, overtaken, longHeld, queued }) === lane
  }

  #newEntry (job: JobDescription, reject: (error: Error) => void, stopListening: () => void): Entry {
    const now = this.#clock.now()
    const lane = this.#laneOf(job.serviceClass, job.rule)
    const { mean, spread, fresh } = this.#times.estimate(job.rule, now)
    // A job that is cut off at its deadline has wasted a slot and has an unknown outcome; one that expires in the queue
    // surely did not run.
    const mustLeave = this.#admission && fresh && !this.#startsAtOnce(lane) ? reserve(mean, spread, 0, job.deadlineAt - now) : 0
    return {
      lane,
      rule: job.rule,
      expected: mean,
      spread,
      startBy: job.deadlineAt - mustLeave,
      state: 'new',
      startedAt: 0,
      start: undefined,
      previous: undefined,
      next: undefined,
      reject,
      stopListening
    }
  }

  // Never rejects, so p-queue has no errors to report; the outcome goes to the promise of `submit`.
  async #run<Result> (entry: Entry, job: QueueJob<Result>, resolve: (result: Result) => void): Promise<void> {
    entry.stopListening()
    this.#started++
    try {
      const result = await job.run(job.signal)
      this.#measure(entry, !job.signal.aborted && job.measured?.(result) !== false ? 'complete' : 'unusable', job.signal)
      this.#lanes.ended(entry)
      resolve(result)
    } catch (error) {
      this.#measure(entry, 'unusable', job.signal)
      this.#lanes.ended(entry)
      entry.reject(error as Error)
    }
  }

  #measure (entry: Entry, kind: 'complete' | 'unusable', signal: AbortSignal): void {
    const now = this.#clock.now()
    const elapsed = now - entry.startedAt
    if (kind === 'complete') this.#times.record(entry.rule, elapsed, now)
    else if (signal.aborted) this.#times.recordCutOff(entry.rule, elapsed, now)
  }

  #expectedWait (lane: ServiceClass, now: number): number {
    const { slots } = this.#limits
    const work = this.#policy.lanesBefore(lane).reduce((sum, other) => sum + this.#lanes.queuedWork(other), 0)
    const wait = startDelay(this.#remaining(now, undefined), slots, work)
    const laneSlots = this.#policy.slotsOf(lane, slots)
    const held = lane === 'long' ? Math.max(0, this.#limits.longHeldUntil - now) : 0
    if (laneSlots === slots) return held + wait
    return Math.max(wait, held + startDelay(this.#remaining(now, lane), laneSlots, this.#lanes.queuedWork(lane)))
  }

  /** By how much a wait in the lane may exceed the expected one: the deviations of the jobs before it partly cancel out. */
  #waitSlack (lane: ServiceClass, spread: number): number {
    const before = this.#policy.lanesBefore(lane).reduce((sum, other) => sum + this.#lanes.queued[other], 0)
    return waitingSpreads * spread * Math.sqrt(before) / Math.max(1, this.#policy.slotsOf(lane, this.#limits.slots))
  }

  /** Expected remaining times of the running jobs of one lane, or of all with the foreign ones. */
  #remaining (now: number, lane: ServiceClass | undefined): number[] {
    const remaining: number[] = lane === undefined ? new Array<number>(this.#limits.foreignRunning).fill(this.#times.mean) : []
    for (const entry of this.#lanes.runningEntries) {
      if (lane !== undefined && entry.lane !== lane) continue
      remaining.push(Math.max(entry.expected - (now - entry.startedAt), entry.spread))
    }
    return remaining
  }

  #expectedDrain (): number {
    const queuedWork = serviceClasses.reduce((sum, lane) => sum + this.#lanes.queuedWork(lane), 0)
    const remaining = this.#remaining(this.#clock.now(), undefined).reduce((sum, time) => sum + time, 0)
    return (queuedWork + remaining) / Math.max(1, this.#limits.slots)
  }

  #refusal (code: RefusalCode): Refusal {
    const drain = Math.min(Math.max(this.#expectedDrain(), minimumDrainMilliseconds), maximumDrainMilliseconds)
    // From half to one and a half times the drain time, so that refused callers do not come back together.
    return { code, retryAfterMilliseconds: Math.round(drain * (0.5 + this.#random.fraction())) }
  }

  #giveUp (entry: Entry, code: RefusalCode): void {
    if (entry.state !== 'queued') return
    this.#lanes.take(entry)
    this.#rejectTaken(entry, code)
  }

  #rejectTaken (entry: Entry, code: RefusalCode): void {
    this.#refused[code]++
    this.#settleTaken(entry, refusalError(this.#refusal(code)))
  }

  #settleTaken (entry: Entry, error: Error): void {
    entry.stopListening()
    entry.reject(error)
  }

  #applyLimits (): void {
    const { slots, foreignRunning } = this.#limits
    // Setting the concurrency also starts what may start now. The lane queue itself holds everything back at 0.
    this.#queue.concurrency = Math.max(1, slots - foreignRunning)
  }

  #sweepNotLaterThan (time: number): void {
    if (time >= this.#sweepAt) return
    clearTimeout(this.#sweepTimer)
    this.#sweepAt = time
    this.#sweepTimer = setTimeout(() => this.#sweep(), Math.max(minimumSweepMilliseconds, Math.ceil(time - this.#clock.now())))
    // The callers' connections keep a process alive for queued jobs; the timer alone must not.
    this.#sweepTimer.unref()
  }

  #sweep (): void {
    const now = this.#clock.now()
    let next = Infinity
    this.#sweepAt = Infinity
    for (const entry of this.#lanes.entries()) {
      if (entry.startBy < now) this.#giveUp(entry as Entry, 'expired_in_queue')
      else next = Math.min(next, entry.startBy)
    }
    if (next !== Infinity) this.#sweepNotLaterThan(next)
  }
}
