import type { Clock } from '@briarsaddle/common'

const smoothing = 0.3
const maximumRules = 1024
/** A job that has run for longer than the mean is expected to go on for this share of it. */
const overdueShare = 0.25

/** How long the long jobs of each rule run, over all endpoints of this VM: one endpoint sees too few of them. */
export class LongDurations {
  readonly #rulesVersion: () => number
  readonly #means = new Map<string, number>()
  #version: number | undefined

  /** `rulesVersion` returns the version of the rule file, since rule numbers change with it. */
  constructor (rulesVersion: () => number) {
    this.#rulesVersion = rulesVersion
  }

  /** Mean in milliseconds, or undefined for a rule that was not observed. */
  mean (pool: string, rule: number): number | undefined {
    this.#forgetFormerRules()
    return this.#means.get(`${pool} ${rule}`)
  }

  /** Records a job that ran to its end. */
  record (pool: string, rule: number, milliseconds: number): void {
    this.#forgetFormerRules()
    const name = `${pool} ${rule}`
    const mean = this.#means.get(name)
    if (mean === undefined && this.#means.size >= maximumRules) return
    this.#means.set(name, mean === undefined ? milliseconds : mean + smoothing * (milliseconds - mean))
  }

  #forgetFormerRules (): void {
    const version = this.#rulesVersion()
    if (version !== this.#version) this.#means.clear()
    this.#version = version
  }
}

/** One long job from its admission to its end. */
export interface LongJob {
  readonly bucket: number
  readonly rule: number
  /** Clock milliseconds; undefined while it waits. */
  startedAt: number | undefined
}

/** Long jobs that wait or run at one endpoint. */
export class LongWork {
  readonly #pool: string
  readonly #clock: Clock
  readonly #durations: LongDurations
  readonly #jobs = new Set<LongJob>()

  constructor (pool: string, clock: Clock, durations: LongDurations) {
    this.#pool = pool
    this.#clock = clock
    this.#durations = durations
  }

  /** Jobs that wait or run. */
  get count (): number { return this.#jobs.size }

  /** True when it is known how long the rules of all jobs run. */
  get known (): boolean {
    return [...this.#jobs].every(({ rule }) => this.#durations.mean(this.#pool, rule) !== undefined)
  }

  /** True while a job waits or runs for the bucket. */
  has (bucket: number): boolean {
    return [...this.#jobs].some(job => job.bucket === bucket)
  }

  /** Counts a job that waits from now on. */
  add (bucket: number, rule: number): LongJob {
    const job: LongJob = { bucket, rule, startedAt: undefined }
    this.#jobs.add(job)
    return job
  }

  /** The job starts. */
  start (job: LongJob): void {
    job.startedAt = this.#clock.now()
  }

  /** The job has ended or will not run; `complete` says that its running time is typical of its rule. */
  end (job: LongJob, complete: boolean): void {
    this.#jobs.delete(job)
    if (complete && job.startedAt !== undefined) this.#durations.record(this.#pool, job.rule, this.#clock.now() - job.startedAt)
  }

  /** Expected time in milliseconds until all jobs have ended, when `slots` of them run at a time. */
  remaining (slots: number): number {
    const now = this.#clock.now()
    const elapsed = [...this.#jobs].map(({ startedAt }) => startedAt === undefined ? 0 : now - startedAt)
    // Without an observation, a job is expected to go on for as long as it has run.
    const unknown = Math.max(0, ...elapsed)
    const work = [...this.#jobs].reduce((sum, { rule }, index) => {
      const mean = this.#durations.mean(this.#pool, rule)
      return sum + (mean === undefined ? unknown : Math.max(mean - (elapsed[index] ?? 0), overdueShare * mean))
    }, 0)
    return work / Math.max(1, slots)
  }
}
