import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

/** Seeded random numbers, so that an experiment or a test can be repeated. */
export class Random {
  readonly #generator

  constructor (readonly seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** Returns an integer from `minimum` to `maximum`, both included. */
  integer (minimum: number, maximum: number): number {
    return uniformInt(this.#generator, minimum, maximum)
  }

  /** Returns a number from 0 (included) to 1 (excluded). */
  fraction (): number {
    return uniformFloat64(this.#generator)
  }

  /** Returns one item. The list must not be empty. */
  pick<Item> (items: readonly Item[]): Item {
    return items[this.integer(0, items.length - 1)] as Item
  }
}
