// Room for small parts is allocated in steps that grow with the whole, up to the size of one read from a socket.
const smallestStepBytes = 1024
const largestStepBytes = 64 * 1024
// The object of a kept part takes some hundred bytes.
const smallestKeptBytes = 4 * 1024

/**
 * Collects the parts of a body as they arrive. A peer may send one byte at a time, and a view of each costs a hundred bytes
 * and keeps the memory of the whole read: small parts are copied, others are kept as they are.
 */
export class ByteCollector {
  readonly #parts: Buffer[] = []
  /** Memory for copies, of which `from` to `to` are not in `parts` yet. */
  #room: Buffer = Buffer.alloc(0)
  #from = 0
  #to = 0
  #length = 0
  #capacity = 0

  get length (): number { return this.#length }
  /** Memory that is held, in bytes. */
  get capacity (): number { return this.#capacity }

  /** Memory that adding the part takes, in bytes. */
  growth (part: Buffer): number {
    if (isLarge(part)) return part.buffer.byteLength
    return part.length <= this.#room.length - this.#to ? 0 : Math.max(part.length, smallestStepBytes, Math.min(this.#length, largestStepBytes))
  }

  add (part: Buffer): void {
    const growth = this.growth(part)
    this.#capacity += growth
    this.#length += part.length
    if (isLarge(part)) {
      this.#closeCopies()
      this.#parts.push(part)
      return
    }
    if (growth > 0) {
      this.#closeCopies()
      this.#room = Buffer.allocUnsafeSlow(growth)
      this.#from = this.#to = 0
    }
    part.copy(this.#room, this.#to)
    this.#to += part.length
  }

  /** What was copied since the last call becomes a part. */
  #closeCopies (): void {
    if (this.#to > this.#from) this.#parts.push(this.#room.subarray(this.#from, this.#to))
    this.#from = this.#to
  }

  /** Returns all bytes and forgets them. */
  take (): Buffer {
    this.#closeCopies()
    const whole = this.#parts.length === 1 ? this.#parts[0] as Buffer : Buffer.concat(this.#parts, this.#length)
    this.#parts.length = 0
    this.#room = Buffer.alloc(0)
    this.#from = this.#to = 0
    this.#length = 0
    this.#capacity = 0
    return whole
  }
}

/** True when the part is worth an object of its own and most of the memory behind it. */
function isLarge (part: Buffer): boolean {
  return part.length >= smallestKeptBytes && 2 * part.length >= part.buffer.byteLength
}
