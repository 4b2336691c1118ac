import createXxhash, { type XXHashAPI } from 'xxhash-wasm'

/** Bits of a 64-bit hash that are dropped so that the rest is an exact number. */
const droppedBits = 11n

/** Hashes keys and ids with xxhash64. */
export class KeyHasher {
  readonly #xxhash: XXHashAPI

  private constructor (xxhash: XXHashAPI) {
    this.#xxhash = xxhash
  }

  /** Compiles the hash function. */
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
