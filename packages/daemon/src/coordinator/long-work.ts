import type { Clock } from '@briarsaddle/common'

/** Weight of the newest observation in the mean duration of a rule. */
const smoothing = 0.3
const maximumRules = 1024
/** Shortest time that a job is expected to go on for, as a share of the mean duration of its rule. */
const overdueShare = 0.25

/** Mean duration of the long jobs of each rule, over all endpoints of this VM, because one endpoint alone sees too few of them. */
export class LongDurations {
  readonly #rulesVersion: () => number
  readonly #means = new Map<string, number>()
  #version: number | undefined

  /** `rulesVersion` returns the version of the rule file. A new version clears the means, because its rule numbers may stand for other rules. */
  constructor (rulesVersion: () => number) {
    this.#rulesVersion = rulesVersion
  }

  /** Mean duration in milliseconds, or undefined for a rule without observations. */
  mean (pool: string, rule: number): number | undefined {
    this.#clearOnNewRules()
    return this.#means.get(`${pool} ${rule}`)
  }

  /** Records the duration of a completed job. */
  record (pool: string, rule: number, milliseconds: number): void {
    this.#clearOnNewRules()
    const name = `${pool} ${rule}`
    const mean = this.#means.get(name)
    if (mean === undefined && this.#means.size >= maximumRules) return
    this.#means.set(name, mean === undefined ? milliseconds : mean + smoothing * (milliseconds - mean))
  }

  #clearOnNewRules (): void {
    const version = this.#rulesVersion()
    if (version !== this.#version) this.#means.clear()
    this.#version = version
  }
}

/** A long job from when it is queued until it ends. */
export interface LongJob {
  readonly bucket: number
  readonly rule: number
  /** Monotonic time in milliseconds at which the job started; undefined while it is queued. */
  startedAt: number | undefined
}

/** Long jobs that are queued or running at one endpoint. */
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

  /** Number of queued and running jobs. */
  get count (): number { return this.#jobs.size }

  /** True when a mean duration is known for the rule of each job. */
  get hasKnownDurations (): boolean {
    return [...this.#jobs].every(({ rule }) => this.#durations.mean(this.#pool, rule) !== undefined)
  }

  /** True while a job for the bucket is queued or running. */
  has (bucket: number): boolean {
    return [...this.#jobs].some(job => job.bucket === bucket)
  }

  /** Adds a job that is being queued. */
  add (bucket: number, rule: number): LongJob {
    const job: LongJob = { bucket, rule, startedAt: undefined }
    this.#jobs.add(job)
    return job
  }

  /** Marks a queued job as running. */
  start (job: LongJob): void {
    job.startedAt = this.#clock.now()
  }

  /** Removes a job that has ended or will not run. Its duration is recorded for its rule only when `complete` is true. */
  end (job: LongJob, complete: boolean): void {
    this.#jobs.delete(job)
    if (complete && job.startedAt !== undefined) this.#durations.record(this.#pool, job.rule, this.#clock.now() - job.startedAt)
  }

  /** Expected time in milliseconds until all jobs have ended, when `slots` of them run in parallel. */
  remaining (slots: number): number {
    const now = this.#clock.now()
    const elapsed = [...this.#jobs].map(({ startedAt }) => startedAt === undefined ? 0 : now - startedAt)
    // A job whose rule has no observations is expected to go on for as long as the oldest running job has run.
    const unknown = Math.max(0, ...elapsed)
    const work = [...this.#jobs].reduce((sum, { rule }, index) => {
      const mean = this.#durations.mean(this.#pool, rule)
      return sum + (mean === undefined ? unknown : Math.max(mean - (elapsed[index] ?? 0), overdueShare * mean))
    }, 0)
    return work / Math.max(1, slots)
  }
}
