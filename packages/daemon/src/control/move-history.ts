import type { Clock } from '@briarsaddle/common'
import type { ReadRecord } from '@briarsaddle/ownership'
import { defaultBalanceSettings } from '@briarsaddle/scheduling'
import type { ControlView } from '../contracts.js'
import { loadWindowMilliseconds } from '../coordinator/session-load.js'

/** Time after a move until the load averages of both endpoints cover a complete window that began after it. */
const settleMilliseconds = 2 * loadWindowMilliseconds

/** The last move of a bucket, with the local time in milliseconds. */
export interface LastMove {
  readonly at: number
  readonly from: string
}

/** Remembers when buckets moved, so that they do not move again too soon or straight back. */
export class MoveHistory {
  readonly #view: ControlView
  readonly #clock: Clock
  readonly #lastMoves = new Map<string, LastMove>()
  /** Time at which each endpoint last gained or lost a bucket. */
  readonly #changedAt = new Map<string, number>()
  /** Time at which each endpoint last lost some of its buckets but not all. */
  readonly #gaveAt = new Map<string, number>()

  constructor (view: ControlView, clock: Clock) {
    this.#view = view
    this.#clock = clock
  }

  /** Records the moves of the assignments among the records that led to the current state. */
  recordsRead (read: readonly ReadRecord[]): void {
    const now = this.#clock.now()
    for (const { record, voidReason } of read) {
      if (record.kind !== 'assignment' || voidReason !== undefined) continue
      const givers = new Set<string>()
      for (const { bucket, to } of record.moves) {
        const from = this.#view.state.pools.get(record.pool)?.buckets[bucket]?.pendingFrom
        this.#changedAt.set(to, now)
        if (from === undefined) continue
        this.#changedAt.set(from, now)
        this.#remember(`${record.pool} ${bucket}`, { at: now, from })
        givers.add(from)
      }
      for (const giver of givers) this.#recordGiver(record.pool, giver, now)
    }
    this.#forgetOld(now)
  }

  /** Returns the last move of a bucket, or undefined if it has not moved recently. */
  lastMove (pool: string, bucket: number): LastMove | undefined {
    return this.#lastMoves.get(`${pool} ${bucket}`)
  }

  /** True when the load averages of the endpoint cover only the time since it last gained or lost a bucket. */
  isSettled (endpoint: string): boolean {
    return this.#clock.now() - (this.#changedAt.get(endpoint) ?? -Infinity) >= settleMilliseconds
  }

  /**
   * True when the endpoint gave some of its buckets away so recently that it must not take others. It would get the same
   * buckets back, or would load the endpoints that took them until these have to give buckets away in turn.
   */
  gaveRecently (endpoint: string): boolean {
    return this.#clock.now() - (this.#gaveAt.get(endpoint) ?? -Infinity) < defaultBalanceSettings.noReturnMilliseconds
  }

  /** Notes that an endpoint gave buckets away. One that gave all was lost or has left and may take its share as soon as it is back. */
  #recordGiver (pool: string, endpoint: string, now: number): void {
    const owns = this.#view.state.pools.get(pool)?.buckets.some(bucket => bucket?.owner === endpoint) === true
    if (owns) this.#gaveAt.set(endpoint, now)
    else this.#gaveAt.delete(endpoint)
  }

  #remember (key: string, move: LastMove): void {
    // Re-inserted to keep the map ordered by time, so that the removal of old moves can stop at the first recent one.
    this.#lastMoves.delete(key)
    this.#lastMoves.set(key, move)
  }

  #forgetOld (now: number): void {
    const oldest = now - defaultBalanceSettings.noReturnMilliseconds
    for (const [key, { at }] of this.#lastMoves) {
      if (at > oldest) break
      this.#lastMoves.delete(key)
    }
  }
}
