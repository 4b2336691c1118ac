import type { Clock } from '@briarsaddle/common'
import type { Directory } from '../endpoint-entry.js'

// Longer than the log may go back.
const rememberMilliseconds = 120_000

/** Remembers which endpoints were removed from the directory, so that the directory of a log that went back does not bring them back. */
export class DirectoryHistory {
  readonly #clock: Clock
  readonly #removed = new Map<string, { readonly life: number, readonly at: number }>()
  #directory: Directory = new Map()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Applies a new directory. */
  update (directory: Directory): void {
    const now = this.#clock.now()
    for (const { id, life } of this.#directory.values()) if (!directory.has(id)) this.#removed.set(id, { life, at: now })
    for (const [id, { at }] of this.#removed) if (directory.has(id) || now - at > rememberMilliseconds) this.#removed.delete(id)
    this.#directory = directory
  }

  /** Adds to the directory that this VM holds what an older one has that was not known: other endpoints, and later processes. */
  merge (held: Directory, older: Directory): Directory {
    const merged = new Map(held)
    for (const entry of older.values()) {
      const knownLife = held.get(entry.id)?.life ?? this.#removed.get(entry.id)?.life
      if (knownLife === undefined || entry.life > knownLife) merged.set(entry.id, entry)
    }
    return merged
  }
}
