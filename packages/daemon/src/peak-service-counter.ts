/** Share of the highest recent demand from which a window counts as peak demand. */
const peakShare = 0.8
/** Share of the highest demand that is kept from one window to the next, so that an earlier peak loses its influence. */
const rateMemory = 0.99

/** Requests of one pool in the current window, and the highest decayed count of any window. */
interface PoolCounts {
  offered: number
  answered: number
  highest: number
}

/** Service of a pool in a window of peak demand. */
export interface PeakShare {
  readonly pool: string
  /** Share of the received requests that were answered, from 0 to 1. */
  readonly answeredShare: number
}

/** Counts requests and answers of each pool per window, and reports the windows in which demand is near its highest. */
export class PeakServiceCounter {
  readonly #pools = new Map<string, PoolCounts>()

  /** Counts a finished request. */
  record (pool: string, answered: boolean): void {
    const counts = this.#pools.get(pool) ?? { offered: 0, answered: 0, highest: 0 }
    this.#pools.set(pool, counts)
    counts.offered += 1
    if (answered) counts.answered += 1
  }

  /** Closes the window and returns the pools whose demand was near its highest in it. */
  closeWindow (): readonly PeakShare[] {
    const shares: PeakShare[] = []
    for (const [pool, counts] of this.#pools) {
      const { offered, answered } = counts
      counts.highest = Math.max(offered, counts.highest * rateMemory)
      if (offered > 0 && offered >= peakShare * counts.highest) shares.push({ pool, answeredShare: answered / offered })
      counts.offered = 0
      counts.answered = 0
    }
    return shares
  }
}
