/** One record of a stream. */
export interface StoredRecord {
  readonly offset: number
  readonly body: string
}

/** Answer to a read. */
export interface StoredPage {
  readonly first: number
  readonly next: number
  readonly records: readonly StoredRecord[]
}

const maximumPageBytes = 16 * 1024 * 1024

/** One stream of the log service stand-in. */
export class LogStream {
  readonly #limits: { readonly retainRecords: number, readonly retainMilliseconds: number }
  readonly #waiting = new Set<() => void>()
  #records: Array<StoredRecord & { readonly appendedAt: number }> = []
  #next = 0

  constructor (limits: { readonly retainRecords: number, readonly retainMilliseconds: number }) {
    this.#limits = limits
  }

  /** Oldest retained offset; equals `next` when nothing is retained. */
  get first (): number {
    this.#trim()
    return this.#records[0]?.offset ?? this.#next
  }

  /** Offset of the next record. */
  get next (): number {
    return this.#next
  }

  /** Appends a record and returns its offset. */
  append (body: string): number {
    const offset = this.#next
    this.#next += 1
    this.#records.push({ offset, body, appendedAt: performance.now() })
    this.#trim()
    for (const wake of [...this.#waiting]) wake()
    return offset
  }

  /** Returns the records from `from` on. */
  read (from: number, limit: number): StoredPage {
    const first = this.first
    const records: StoredRecord[] = []
    let bytes = 0
    for (let index = Math.max(0, from - first); index < this.#records.length && records.length < limit && bytes < maximumPageBytes; index++) {
      const { offset, body } = this.#records[index] as StoredRecord
      records.push({ offset, body })
      bytes += body.length
    }
    return { first, next: this.#next, records }
  }

  /** Resolves when there is a record at `from` or later, after the given time, or when the signal aborts. */
  async waitForRecord (from: number, milliseconds: number, signal: AbortSignal): Promise<void> {
    const deadline = performance.now() + milliseconds
    while (from >= this.#next && performance.now() < deadline && !signal.aborted) {
      await new Promise<void>(resolve => {
        const finish = (): void => {
          clearTimeout(timer)
          this.#waiting.delete(finish)
          signal.removeEventListener('abort', finish)
          resolve()
        }
        const timer = setTimeout(finish, Math.ceil(deadline - performance.now()))
        this.#waiting.add(finish)
        signal.addEventListener('abort', finish)
      })
    }
  }

  /** Discards the records below `offset`. */
  forgetBefore (offset: number): void {
    this.#records = this.#records.filter(record => record.offset >= offset)
  }

  #trim (): void {
    const oldest = performance.now() - this.#limits.retainMilliseconds
    let discarded = Math.max(0, this.#records.length - this.#limits.retainRecords)
    while (discarded < this.#records.length && (this.#records[discarded]?.appendedAt ?? Infinity) < oldest) discarded++
    if (discarded > 0) this.#records.splice(0, discarded)
  }
}
