// Small parts are copied to blocks whose size grows with the total length, up to the size of one read from a socket.
const minimumBlockBytes = 1024
const maximumBlockBytes = 64 * 1024
// A kept part costs some hundred bytes for its buffer object, so smaller parts are copied.
const minimumKeptBytes = 4 * 1024

/**
 * Collects the parts of a body as they arrive. Small parts are copied, others are kept without copying: a peer may send one byte
 * at a time, and keeping each part would cost a hundred bytes for its buffer object and retain the memory of the whole read.
 */
export class ByteCollector {
  readonly #parts: Buffer[] = []
  /** Block for copies. The bytes from `from` to `to` are not in `parts` yet. */
  #block: Buffer = Buffer.alloc(0)
  #from = 0
  #to = 0
  #length = 0
  #capacity = 0

  /** Number of collected bytes. */
  get length (): number { return this.#length }
  /** Memory in use, in bytes. */
  get capacity (): number { return this.#capacity }

  /** Returns how much memory adding the part would take, in bytes. */
  growth (part: Buffer): number {
    if (isLarge(part)) return part.buffer.byteLength
    return part.length <= this.#block.length - this.#to ? 0 : Math.max(part.length, minimumBlockBytes, Math.min(this.#length, maximumBlockBytes))
  }

  /** Adds the next part of the body. */
  add (part: Buffer): void {
    const growth = this.growth(part)
    this.#capacity += growth
    this.#length += part.length
    if (isLarge(part)) {
      this.#flushCopies()
      this.#parts.push(part)
      return
    }
    if (growth > 0) {
      this.#flushCopies()
      this.#block = Buffer.allocUnsafeSlow(growth)
      this.#from = this.#to = 0
    }
    part.copy(this.#block, this.#to)
    this.#to += part.length
  }

  /** Appends the bytes that were copied since the last call to `parts`. */
  #flushCopies (): void {
    if (this.#to > this.#from) this.#parts.push(this.#block.subarray(this.#from, this.#to))
    this.#from = this.#to
  }

  /** Returns all collected bytes and empties the collector. */
  take (): Buffer {
    this.#flushCopies()
    const whole = this.#parts.length === 1 ? this.#parts[0] as Buffer : Buffer.concat(this.#parts, this.#length)
    this.#parts.length = 0
    this.#block = Buffer.alloc(0)
    this.#from = this.#to = 0
    this.#length = 0
    this.#capacity = 0
    return whole
  }
}

/** Returns whether a part is kept without copying: it is not small and uses at least half of the memory that it would retain. */
function isLarge (part: Buffer): boolean {
  return part.length >= minimumKeptBytes && 2 * part.length >= part.buffer.byteLength
}
