import type { Clock } from '@briarsaddle/common'

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

/** Knows until when an endpoint may hold keys that it does not release: what this VM sent, and what others may have sent. */
export class GrantLedger {
  readonly #options: GrantLedgerOptions
  readonly #lastSent = new Map<string, number>()
  /** Endpoints that have acknowledged a fencing token of the present leadership and so refuse every earlier leader. */
  readonly #acknowledged = new Set<string>()
  #leaderSince: number

  constructor (options: GrantLedgerOptions) {
    this.#options = options
    this.#leaderSince = options.clock.now()
  }

  /** A new leadership begins: whoever led before may go on for a while. */
  begin (): void {
    this.#leaderSince = this.#options.clock.now()
    this.#acknowledged.clear()
  }

  /** Records that a grant is about to be sent. The returned function takes that back when nothing was sent after all. */
  sending (holder: string): () => void {
    const before = this.#lastSent.get(holder) ?? -Infinity
    const now = this.#options.clock.now()
    this.#lastSent.set(holder, now)
    return () => { if (this.#lastSent.get(holder) === now) this.#lastSent.set(holder, before) }
  }

  /** Records that the endpoint accepted a fencing token of this leadership. */
  acknowledged (holder: string): void {
    this.#acknowledged.add(holder)
  }

  /** Returns the time from which the holder surely holds nothing that it was granted, in clock milliseconds. */
  mayHoldUntil (holder: string): number {
    const { holdMilliseconds, clockSlack, transitMilliseconds, staleLeaderMilliseconds } = this.#options
    const afterLastSend = holdMilliseconds * (1 + clockSlack) + transitMilliseconds
    const own = (this.#lastSent.get(holder) ?? -Infinity) + afterLastSend
    if (this.#acknowledged.has(holder)) return own
    return Math.max(own, this.#leaderSince + staleLeaderMilliseconds + afterLastSend)
  }

  /** Forgets holders that own nothing any more and whose time is over. */
  prune (): void {
    const now = this.#options.clock.now()
    for (const holder of this.#lastSent.keys()) {
      if (this.mayHoldUntil(holder) < now) {
        this.#lastSent.delete(holder)
        this.#acknowledged.delete(holder)
      }
    }
  }
}
