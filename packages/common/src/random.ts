import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

/** Seeded pseudo-random number generator, so that experiments and tests are reproducible. */
export class Random {
  readonly #generator

  constructor (readonly seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** Returns an integer from `minimum` to `maximum`, both inclusive. */
  integer (minimum: number, maximum: number): number {
    return uniformInt(this.#generator, minimum, maximum)
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  fraction (): number {
    return uniformFloat64(this.#generator)
  }

  /** Returns a random item. The list must not be empty. */
  pick<Item> (items: readonly Item[]): Item {
    return items[this.integer(0, items.length - 1)] as Item
  }
}
