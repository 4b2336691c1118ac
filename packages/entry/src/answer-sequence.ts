/** Place of one request among the requests of its connection. */
export interface Turn {
  /** True once the request has been given to the handler, so that it may run. */
  passedOn: boolean
  /** Writes the answer; undefined until there is one. `closes` is true for the last answer of the connection. */
  write: ((closes: boolean) => void) | undefined
}

/**
 * Order of the answers on one connection, and the decision which of them is the last. HTTP/1.1 returns answers in the order of the
 * requests, and an answer that closes the connection discards all behind it. Such an answer is therefore never written before one that
 * is owed, and once it is decided, further requests count as not read: their callers send them again.
 */
export class AnswerSequence {
  /** Requests whose answers have not been written, oldest first. */
  readonly #open = new Set<Turn>()
  #last: Turn | undefined
  #ended = false

  /** Whether it is decided after which answer the connection closes. */
  get closing (): boolean { return this.#ended || this.#last !== undefined }

  /** Adds the next request of the connection. Returns undefined when it counts as not read. */
  add (): Turn | undefined {
    if (this.closing) return undefined
    const turn: Turn = { passedOn: false, write: undefined }
    this.#open.add(turn)
    return turn
  }

  /** Called before a request is given to the handler. Returns false when it counts as not read meanwhile and must not run. */
  passOn (turn: Turn): boolean {
    if (!this.#open.has(turn)) return false
    turn.passedOn = true
    return true
  }

  /**
   * Makes the answer to a request the last one of the connection, unless a request behind it has been passed on. Requests behind it
   * that have not been passed on then count as not read. Returns whether the answer is the last one.
   */
  closeAfter (turn: Turn): boolean {
    if (this.closing || !this.#open.has(turn)) return this.#last === turn
    const all = [...this.#open]
    const behind = all.slice(all.indexOf(turn) + 1)
    if (behind.some(({ passedOn }) => passedOn)) return false
    for (const other of behind) this.#open.delete(other)
    this.#last = turn
    return true
  }

  /** Ends the sequence without a last answer: further requests count as not read. */
  end (): void {
    this.#ended = true
  }

  /** Sets the answer to a request and writes all answers that are due. With `closeWhenDone`, one that nothing waits behind is the last. */
  answer (turn: Turn, write: (closes: boolean) => void, closeWhenDone: boolean): void {
    turn.write = write
    for (const next of this.#open) {
      if (next.write === undefined) return
      this.#open.delete(next)
      if (closeWhenDone && this.#open.size === 0) this.#last ??= next
      next.write(next === this.#last)
    }
  }
}
