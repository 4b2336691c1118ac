import type { Clock } from '@briarsaddle/common'
import type { KeyRange } from './key-map.js'

/** Settings of a `GrantLedger`; times in milliseconds. */
export interface GrantLedgerOptions {
  readonly clock: Clock
  /** Lifetime of a grant from its arrival, by the endpoint's clock. */
  readonly holdMilliseconds: number
  /** Maximum rate by which an endpoint's clock may run slow, as a fraction (0.02 is 2 %). */
  readonly clockSlack: number
  /** Maximum time from sending a grant to its arrival or loss. */
  readonly transitMilliseconds: number
  /** Maximum time for which a former leader may go on renewing grants after it last read the control log. */
  readonly staleLeaderMilliseconds: number
}

/** A grant that is being sent. Exactly one of its methods must be called when the call ends. */
export interface PendingGrant {
  /** The endpoint has answered. */
  readonly answered: () => void
  /** The call ended without an answer; the grant may still take effect. */
  readonly unanswered: () => void
  /** The grant was not sent. */
  readonly notSent: () => void
}

/** Keys that one holder may hold. */
export interface HeldRange extends KeyRange {
  readonly holder: string
}

interface HolderRecord {
  /** Latest send time of the grants whose calls have ended, adjusted for calls that took longer than the transit time. */
  lastSentAt: number
  /** Latest adjusted send time of the grants whose calls ended without an answer. */
  lastUnansweredAt: number
  /** Grants whose calls have not ended. */
  readonly pending: Set<{ readonly sentAt: number }>
  /** Keys for which the endpoint has acknowledged a token of the present leadership, so that it refuses all earlier leaders. */
  acknowledged: readonly KeyRange[]
}

// Bounds memory while ranges are split and joined. Forgetting an acknowledged range only delays a move of its keys.
const maximumAcknowledgedRanges = 256

/**
 * Determines until when an endpoint that does not release its keys may hold them, from the grants that this VM sent and those
 * that former leaders may have sent.
 */
export class GrantLedger {
  readonly #options: GrantLedgerOptions
  readonly #holders = new Map<string, HolderRecord>()
  #leaderSince: number
  #firstFence = 0
  #unrenewedRanges: readonly HeldRange[] = []

  constructor (options: GrantLedgerOptions) {
    this.#options = options
    this.#leaderSince = options.clock.now()
  }

  /**
   * Begins a new leadership of this VM, whose tokens are `firstFence` and higher. Former leaders may go on renewing grants for a
   * while, except for the keys in `unrenewedRanges`: the previous leader had begun to move these and no longer renews them, and
   * their holders refuse the leaders before it.
   */
  beginLeadership (firstFence: number, unrenewedRanges: readonly HeldRange[]): void {
    this.#firstFence = firstFence
    this.#unrenewedRanges = unrenewedRanges
    this.#leaderSince = this.#options.clock.now()
    for (const record of this.#holders.values()) record.acknowledged = []
  }

  /** Records that a grant is about to be sent; the result records how the call ends. */
  recordSending (holder: string): PendingGrant {
    const record = this.#recordOf(holder)
    const grant = { sentAt: this.#options.clock.now() }
    record.pending.add(grant)
    // If the event loop was blocked, the grant may have been sent just before the call ended. In a call that took longer than the
    // transit time, its lifetime is therefore counted from the end of the call.
    const latestSent = (): number => Math.max(grant.sentAt, this.#options.clock.now() - this.#options.transitMilliseconds)
    const sent = (): void => {
      record.pending.delete(grant)
      record.lastSentAt = Math.max(record.lastSentAt, latestSent())
    }
    return {
      answered: sent,
      unanswered: () => {
        sent()
        record.lastUnansweredAt = Math.max(record.lastUnansweredAt, latestSent())
      },
      notSent: () => { record.pending.delete(grant) }
    }
  }

  /**
   * Records that the endpoint accepted a fencing token for these keys. A late answer with a token of an earlier leadership is
   * ignored, because the endpoint may still accept grants of leaders between the two.
   */
  acknowledged (holder: string, { from, to, fence }: KeyRange & { readonly fence: number }): void {
    if (fence < this.#firstFence) return
    const record = this.#recordOf(holder)
    const others = record.acknowledged.filter(other => other.from < from || other.to > to)
    record.acknowledged = [...others, { from, to }].slice(-maximumAcknowledgedRanges)
  }

  /** Returns the number of grants to the holder whose calls have not ended. */
  pending (holder: string): number {
    return this.#holders.get(holder)?.pending.size ?? 0
  }

  /**
   * Returns the time, in clock milliseconds, from which no grant can give the holder keys back that it has released: neither a
   * grant of this VM without an answer nor one of a former leader.
   */
  unconfirmedGrantsExpireAt (holder: string, range: KeyRange): number {
    const own = (this.#holders.get(holder)?.lastUnansweredAt ?? -Infinity) + this.#maximumLifetimeMilliseconds
    if (this.refusesFormerLeaders(holder, range)) return own
    const isUnrenewed = this.#unrenewedRanges.some(other => other.holder === holder && contains(other, range))
    return Math.max(own, isUnrenewed ? this.#leaderSince + this.#maximumLifetimeMilliseconds : this.#formerLeaderGrantsExpireAt)
  }

  /** Returns the time, in clock milliseconds, by which all grants of these keys to the holder have certainly expired. */
  mayHoldUntil (holder: string, range: KeyRange): number {
    const record = this.#holders.get(holder)
    const lastSent = Math.max(record?.lastSentAt ?? -Infinity, ...[...record?.pending ?? []].map(({ sentAt }) => sentAt))
    const own = lastSent + this.#maximumLifetimeMilliseconds
    return this.refusesFormerLeaders(holder, range) ? own : Math.max(own, this.#formerLeaderGrantsExpireAt)
  }

  /** Returns whether the endpoint has acknowledged a token of the present leadership for all of these keys. */
  refusesFormerLeaders (holder: string, range: KeyRange): boolean {
    const ranges = [...this.#holders.get(holder)?.acknowledged ?? []].sort((one, other) => one.from - other.from)
    let next = range.from
    for (const { from, to } of ranges) if (from <= next) next = Math.max(next, to + 1)
    return next > range.to
  }

  /** Time until which grants of a former leader may be valid that has not learned of this leadership. */
  get #formerLeaderGrantsExpireAt (): number {
    return this.#leaderSince + this.#options.staleLeaderMilliseconds + this.#maximumLifetimeMilliseconds
  }

  /** Maximum time from sending a grant to its expiry. */
  get #maximumLifetimeMilliseconds (): number {
    const { holdMilliseconds, clockSlack, transitMilliseconds } = this.#options
    return holdMilliseconds * (1 + clockSlack) + transitMilliseconds
  }

  #recordOf (holder: string): HolderRecord {
    let record = this.#holders.get(holder)
    if (record === undefined) this.#holders.set(holder, record = { lastSentAt: -Infinity, lastUnansweredAt: -Infinity, pending: new Set(), acknowledged: [] })
    return record
  }
}

function contains (outer: KeyRange, inner: KeyRange): boolean {
  return outer.from <= inner.from && inner.to <= outer.to
}
