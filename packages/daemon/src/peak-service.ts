/** Share of the highest recent rate from which a window belongs to a peak. */
const peakShare = 0.8
/** Share of the highest rate that is kept from one window to the next, so that a former peak fades. */
const rateMemory = 0.99

interface PoolCounts {
  offered: number
  answered: number
  highest: number
}

/** Service of a pool at the peak of a demand swing, from the outcomes of its requests. */
export interface PeakShare {
  readonly pool: string
  /** Share of the offered requests that were answered, from 0 to 1. */
  readonly answeredShare: number
}

/** Counts outcomes per window and reports the windows in which demand is near its highest. */
export class PeakService {
  readonly #pools = new Map<string, PoolCounts>()

  /** Counts one finished request. */
  record (pool: string, answered: boolean): void {
    const counts = this.#pools.get(pool) ?? { offered: 0, answered: 0, highest: 0 }
    this.#pools.set(pool, counts)
    counts.offered += 1
    if (answered) counts.answered += 1
  }

  /** Closes the window and returns the pools that were at a peak in it. */
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
