import type { Clock } from '@briarsaddle/common'
import type { KeyRange } from './key-map.js'

/** Settings of a `GrantLedger`; times in milliseconds. */
export interface GrantLedgerOptions {
  readonly clock: Clock
  /** How long a grant lasts from its arrival, by the endpoint's clock. */
  readonly holdMilliseconds: number
  /** By how much an endpoint's clock may run slow, as a share. */
  readonly clockSlack: number
  /** Longest time from sending a grant to its arrival or loss. */
  readonly transitMilliseconds: number
  /** How long another VM may go on renewing grants after it last read the control log. */
  readonly staleLeaderMilliseconds: number
}

/** One grant on its way. Exactly one of its methods is to be called. */
export interface GrantTicket {
  /** The endpoint has answered. */
  readonly answered: () => void
  /** No answer came; the grant may still take effect. */
  readonly lost: () => void
  /** Nothing was sent after all. */
  readonly notSent: () => void
}

/** Keys at one holder. */
export interface HeldRange extends KeyRange {
  readonly holder: string
}

interface HolderRecord {
  /** When the last grant was sent that is no longer on its way. */
  lastSent: number
  /** When the last grant without an answer was sent. */
  lastLost: number
  /** Grants on their way, with the time at which each was sent. */
  readonly pending: Set<{ readonly sentAt: number }>
  /** Keys on which the endpoint has acknowledged a token of the present leadership, so that it refuses every earlier leader. */
  acknowledged: readonly KeyRange[]
}

// Ranges that are cut and joined again are acknowledged anew; older ones are forgotten, which only makes a move wait.
const mostAcknowledgedRanges = 256

/** Knows until when an endpoint may hold keys that it does not release: what this VM sent, and what others may have sent. */
export class GrantLedger {
  readonly #options: GrantLedgerOptions
  readonly #holders = new Map<string, HolderRecord>()
  #leaderSince: number
  #firstFence = 0
  #leftBefore: readonly HeldRange[] = []

  constructor (options: GrantLedgerOptions) {
    this.#options = options
    this.#leaderSince = options.clock.now()
  }

  /**
   * A new leadership begins, whose tokens are `firstFence` and higher: whoever led before may go on for a while, but nobody
   * renews the keys of `leftBefore` any more. The leader before had begun to move them, and the holders refuse those before it.
   */
  begin (firstFence: number, leftBefore: readonly HeldRange[]): void {
    this.#firstFence = firstFence
    this.#leftBefore = leftBefore
    this.#leaderSince = this.#options.clock.now()
    for (const record of this.#holders.values()) record.acknowledged = []
  }

  /** Records that a grant is about to be sent. */
  sending (holder: string): GrantTicket {
    const record = this.#recordOf(holder)
    const grant = { sentAt: this.#options.clock.now() }
    record.pending.add(grant)
    // A process that was held up may have sent it right before the end of the call.
    const latestSent = (): number => Math.max(grant.sentAt, this.#options.clock.now() - this.#options.transitMilliseconds)
    const sent = (): void => {
      record.pending.delete(grant)
      record.lastSent = Math.max(record.lastSent, latestSent())
    }
    return {
      answered: sent,
      lost: () => {
        sent()
        record.lastLost = Math.max(record.lastLost, latestSent())
      },
      notSent: () => { record.pending.delete(grant) }
    }
  }

  /** Records that the endpoint accepted a fencing token on these keys; one of an earlier leadership, answered late, proves nothing. */
  acknowledged (holder: string, { from, to, fence }: KeyRange & { readonly fence: number }): void {
    if (fence < this.#firstFence) return
    const record = this.#recordOf(holder)
    const others = record.acknowledged.filter(other => other.from < from || other.to > to)
    record.acknowledged = [...others, { from, to }].slice(-mostAcknowledgedRanges)
  }

  /** Grants that are on their way. */
  pending (holder: string): number {
    return this.#holders.get(holder)?.pending.size ?? 0
  }

  /**
   * Returns the time from which no grant can give released keys back, in clock milliseconds: neither one of this leadership
   * without an answer nor one of a former leader.
   */
  lostUntil (holder: string, range: KeyRange): number {
    const own = (this.#holders.get(holder)?.lastLost ?? -Infinity) + this.#longestHold
    if (this.refusesFormerLeaders(holder, range)) return own
    const left = this.#leftBefore.some(other => other.holder === holder && contains(other, range))
    return Math.max(own, left ? this.#leaderSince + this.#longestHold : this.#formerLeadersUntil)
  }

  /** Returns the time from which the holder surely holds none of the keys that it was granted, in clock milliseconds. */
  mayHoldUntil (holder: string, range: KeyRange): number {
    const record = this.#holders.get(holder)
    const lastSent = Math.max(record?.lastSent ?? -Infinity, ...[...record?.pending ?? []].map(({ sentAt }) => sentAt))
    const own = lastSent + this.#longestHold
    return this.refusesFormerLeaders(holder, range) ? own : Math.max(own, this.#formerLeadersUntil)
  }

  /** Whether the endpoint has acknowledged a token of the present leadership on all of these keys. */
  refusesFormerLeaders (holder: string, range: KeyRange): boolean {
    const ranges = [...this.#holders.get(holder)?.acknowledged ?? []].sort((one, other) => one.from - other.from)
    let next = range.from
    for (const { from, to } of ranges) if (from <= next) next = Math.max(next, to + 1)
    return next > range.to
  }

  /** Time until which a former leader's grants may last; it may not have learned of this leadership. */
  get #formerLeadersUntil (): number {
    return this.#leaderSince + this.#options.staleLeaderMilliseconds + this.#longestHold
  }

  /** Time from sending a grant until it has surely run out. */
  get #longestHold (): number {
    const { holdMilliseconds, clockSlack, transitMilliseconds } = this.#options
    return holdMilliseconds * (1 + clockSlack) + transitMilliseconds
  }

  #recordOf (holder: string): HolderRecord {
    let record = this.#holders.get(holder)
    if (record === undefined) this.#holders.set(holder, record = { lastSent: -Infinity, lastLost: -Infinity, pending: new Set(), acknowledged: [] })
    return record
  }
}

function contains (outer: KeyRange, inner: KeyRange): boolean {
  return outer.from <= inner.from && inner.to <= outer.to
}
