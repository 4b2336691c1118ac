import { AnswerLimitError } from './answer-limit-error.js'

/** An answer that is being read. */
export interface HeldAnswer {
  /** Memory that the answer occupies, in bytes. */
  readonly heldBytes: number
  /** Closes the connection of the answer with an error. */
  readonly end: (error: Error) => void
}

/** Bounds the memory of all answers that are being read. When the limit is exceeded, the largest answers are ended first. */
export class AnswerMemory {
  readonly maximumBytes: number
  readonly #answers = new Set<HeldAnswer>()
  #heldBytes = 0

  constructor (maximumBytes: number) {
    this.maximumBytes = maximumBytes
  }

  /** Memory of all answers that are being read, in bytes. */
  get heldBytes (): number { return this.#heldBytes }

  /** Reserves memory for more bytes of an answer, ending the largest answers if necessary. Returns false when this answer was ended. */
  reserve (answer: HeldAnswer, bytes: number): boolean {
    this.#answers.add(answer)
    this.#heldBytes += bytes
    while (this.#heldBytes > this.maximumBytes) {
      const largest = this.#largest(answer, bytes)
      const held = largest.heldBytes + (largest === answer ? bytes : 0)
      this.release(largest, held)
      largest.end(new AnswerLimitError(`all answers that are being read exceed ${this.maximumBytes} bytes, and this answer is the largest`, { step: 'read answer', bytes: held, limit: this.maximumBytes }))
      if (largest === answer) return false
    }
    return true
  }

  /** Releases the memory of an answer. */
  release (answer: HeldAnswer, bytes: number): void {
    if (this.#answers.delete(answer)) this.#heldBytes -= bytes
  }

  #largest (growing: HeldAnswer, bytes: number): HeldAnswer {
    let largest = growing
    let mostBytes = growing.heldBytes + bytes
    for (const answer of this.#answers) {
      if (answer !== growing && answer.heldBytes > mostBytes) [largest, mostBytes] = [answer, answer.heldBytes]
    }
    return largest
  }
}
