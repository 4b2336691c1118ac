import { describeError, errorCode, Logger, withTimeLimit, type Clock, type LifeCycle } from '@briarsaddle/common'
import type { VmEntry } from '@briarsaddle/key-ranges'
import type { MembershipReport, MembershipService } from './leadership.js'

const logger = new Logger('membership')

/** What the membership of a VM needs; times in milliseconds. */
export interface MemberOptions {
  readonly self: VmEntry
  readonly service: MembershipService
  readonly clock: Clock
  readonly confirmEveryMilliseconds: number
  readonly callMilliseconds: number
  /** Whether this VM stands for election; otherwise it leaves the group. */
  readonly isCandidate: () => boolean
  /** Called when the membership service answers again after a failure. */
  readonly onRegained: () => void
}

/**
 * Membership of this VM in the group of candidates for leadership: confirms it periodically while this VM is a candidate, and knows
 * whether this VM is the elected leader.
 */
export class GroupMember {
  readonly #options: MemberOptions
  #report: MembershipReport | undefined
  #confirmedAt = -Infinity
  #lost = false
  #confirming = false
  #leaving = false
  #signal: AbortSignal | undefined

  constructor (options: MemberOptions) {
    this.#options = options
  }

  /** The last report of the membership service; kept while the service is unavailable. */
  get report (): MembershipReport | undefined { return this.#report }
  /** When the last successful confirmation was sent, in clock milliseconds; -Infinity before the first. */
  get confirmedAt (): number { return this.#confirmedAt }
  /** Whether this VM is the elected leader by the last report, and is not leaving. */
  get leads (): boolean { return this.#report?.leads === true && !this.#leaving }

  /** Starts to confirm the membership, until the life cycle closes. */
  start (lifeCycle: LifeCycle): void {
    this.#signal = lifeCycle.signal
    lifeCycle.every('membership', this.#options.confirmEveryMilliseconds, async () => await this.#review(lifeCycle.signal), error => this.#failed(error))
  }

  /** Joins, confirms or leaves now instead of at the next interval, since the list of candidates has changed. */
  reviewSoon (): void {
    const signal = this.#signal
    if (signal !== undefined && !signal.aborted) void this.#review(signal).catch((error: unknown) => this.#failed(error))
  }

  async #review (signal: AbortSignal): Promise<void> {
    if (this.#confirming) return
    this.#confirming = true
    try {
      await this.#confirm(signal)
    } finally {
      this.#confirming = false
    }
  }

  /** Leaves the group, so that another VM can be elected at once instead of after the membership expires. */
  async leave (): Promise<void> {
    this.#leaving = true
    await this.#withdraw()
  }

  async #withdraw (): Promise<void> {
    if (this.#report === undefined) return
    const { generation, leads } = this.#report
    this.#report = undefined
    try {
      await withTimeLimit(this.#options.callMilliseconds, undefined, async limited => await this.#options.service.leave(this.#options.self, limited))
      logger.info('left the group of candidates', { generation, led: leads })
    } catch (error) {
      logger.warning('could not leave the group of candidates; the membership will expire', { code: errorCode(error), error: describeError(error) })
    }
  }

  /** Lists the VMs of the group. Throws `log_unavailable`. */
  async members (): Promise<readonly VmEntry[]> {
    return await withTimeLimit(this.#options.callMilliseconds, undefined, async limited => await this.#options.service.members(limited))
  }

  async #confirm (signal: AbortSignal): Promise<void> {
    if (this.#leaving) return
    if (!this.#options.isCandidate()) return await this.#withdraw()
    const startedAt = this.#options.clock.now()
    const report = await withTimeLimit(this.#options.callMilliseconds, signal, async limited => await this.#options.service.join(this.#options.self, limited))
    if (this.#leaving) return
    if (this.#lost) this.#regained()
    this.#confirmedAt = startedAt
    if (report.leads !== this.#report?.leads) logger.info(report.leads ? 'this VM leads' : 'this VM does not lead', { generation: report.generation })
    this.#report = report
  }

  #regained (): void {
    this.#lost = false
    logger.info('dependency regained', { dependency: 'membership', unconfirmedMilliseconds: Math.round(this.#options.clock.now() - this.#confirmedAt) })
    this.#options.onRegained()
  }

  #failed (error: unknown): void {
    if (!this.#lost) logger.warning('dependency lost', { dependency: 'membership', code: errorCode(error), error: describeError(error) })
    this.#lost = true
  }
}
