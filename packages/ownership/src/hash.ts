import createXxhash, { type XXHashAPI } from 'xxhash-wasm'

/** Low bits dropped from a 64-bit hash so that the result fits exactly into a JavaScript number (53 bits). */
const droppedBits = 11n

/** Hashes keys and ids with xxhash64. */
export class KeyHasher {
  readonly #xxhash: XXHashAPI

  private constructor (xxhash: XXHashAPI) {
    this.#xxhash = xxhash
  }

  /** Loads the WebAssembly hash function. */
  static async create (): Promise<KeyHasher> {
    return new KeyHasher(await createXxhash())
  }

  /** Returns the bucket of a key, from 0 to `buckets - 1`. */
  bucketOf (key: string, buckets: number): number {
    return Number(this.#xxhash.h64(key) % BigInt(buckets))
  }

  /** Returns the position of an id on the membership ring, an integer from 0 to 2^53 - 1. */
  ringPosition (id: string): number {
    return Number(this.#xxhash.h64(id) >> droppedBits)
  }
}
