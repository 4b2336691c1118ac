import type { Clock } from '@briarsaddle/common'
import type { ReadRecord } from '@briarsaddle/ownership'
import { defaultBalanceSettings } from '@briarsaddle/scheduling'
import type { ControlView } from '../contracts.js'
import { loadWindowMilliseconds } from '../coordinator/session-load.js'

/** After a move the load averages of both endpoints are wrong until a window that began later is complete. */
const settleMilliseconds = 2 * loadWindowMilliseconds

/** The last move of a bucket; the time is local. */
export interface LastMove {
  readonly at: number
  readonly from: string
}

/** Remembers when buckets moved, so that they rest and do not go back. */
export class MoveHistory {
  readonly #view: ControlView
  readonly #clock: Clock
  readonly #lastMoves = new Map<string, LastMove>()
  /** When an endpoint last gained or lost a bucket. */
  readonly #changedAt = new Map<string, number>()
  /** When an endpoint last gave some of its buckets away and kept others. */
  readonly #gaveAt = new Map<string, number>()

  constructor (view: ControlView, clock: Clock) {
    this.#view = view
    this.#clock = clock
  }

  /** Looks at the assignments among the records that led to the current state. */
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
      for (const giver of givers) this.#noteGiver(record.pool, giver, now)
    }
    this.#forgetOld(now)
  }

  /** The last move of a bucket, if it was recent. */
  lastMove (pool: string, bucket: number): LastMove | undefined {
    return this.#lastMoves.get(`${pool} ${bucket}`)
  }

  /** True when the load averages of the endpoint cover only the time since it last gained or lost a bucket. */
  isSettled (endpoint: string): boolean {
    return this.#clock.now() - (this.#changedAt.get(endpoint) ?? -Infinity) >= settleMilliseconds
  }

  /**
   * True when the endpoint gave some of its buckets away so recently that it must not ask for others: they would be
   * the same ones, or the endpoints that took them would have to be relieved next.
   */
  gaveRecently (endpoint: string): boolean {
    return this.#clock.now() - (this.#gaveAt.get(endpoint) ?? -Infinity) < defaultBalanceSettings.noReturnMilliseconds
  }

  /** An endpoint that gave everything was lost or left; it takes its share as soon as it is back. */
  #noteGiver (pool: string, endpoint: string, now: number): void {
    const owns = this.#view.state.pools.get(pool)?.buckets.some(bucket => bucket?.owner === endpoint) === true
    if (owns) this.#gaveAt.set(endpoint, now)
    else this.#gaveAt.delete(endpoint)
  }

  #remember (key: string, move: LastMove): void {
    // Kept in the order of time, so that forgetting stops at the first recent one.
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
