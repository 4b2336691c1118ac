import { describeError } from '@briarsaddle/common'
import { decodeState, encodeState } from './checkpoint.js'
import type { ControlState, VoidReason } from './control-state.js'
import { noVersion } from './records.js'
import type { ControlRecord, RecordOfKind } from './records.js'
import { applyRecord, initialState, parseRecord, skipRecord } from './reducer.js'

/** A page of log records, as returned by the platform's log client. */
export interface ControlPage {
  /** Oldest offset that the log retains. */
  readonly first: number
  /** Offset that the next appended record will have. */
  readonly next: number
  readonly records: ReadonlyArray<{ readonly offset: number, readonly body: string }>
}

/** A record that was read; `voidReason` is set when it was rejected and had no effect. */
export interface ReadRecord {
  readonly offset: number
  readonly record: ControlRecord
  readonly voidReason: VoidReason | undefined
}

/** A problem in the log that is reported to operators and does not stop the reader. */
export interface ReadProblem {
  readonly offset: number
  readonly code: 'malformed_record' | 'checkpoint_invalid' | 'checkpoint_mismatch' | 'records_missing' | 'log_went_back'
  readonly message: string
}

/** The result of reading one page. */
export interface ReadReport {
  /** Records that were applied to the state, in log order. */
  readonly read: readonly ReadRecord[]
  readonly problems: readonly ReadProblem[]
  /** True when the state includes every record that the log had when it answered, so that the read may extend a lease. */
  readonly reachedEnd: boolean
}

/**
 * Number of previous states that are kept for comparison with checkpoints. The publisher of a checkpoint is at most a
 * few records behind, and consecutive states share most of their memory.
 */
const maximumPreviousStates = 64

interface BufferedRecord {
  readonly offset: number
  readonly record: ControlRecord | undefined
}

/**
 * Applies pages of the control stream to the control state. Performs no I/O itself.
 *
 * A reader that has no state yet, or whose next record the log has discarded, buffers the records that it reads until
 * it finds a usable checkpoint or is given the state of a peer. Every usable checkpoint leads to the same state, so the
 * reader starts from the first and compares later ones with its own state.
 */
export class ControlReader {
  #state: ControlState | undefined
  #nextOffset = 0
  #caughtUp = false
  #atEnd = false
  /** Records buffered until there is a state to apply them to; undefined while no records are missing. */
  #buffered: BufferedRecord[] | undefined = []
  readonly #previousStates: ControlState[] = []

  /** The state after the last applied record; undefined until the reader has found a starting state. */
  get state (): ControlState | undefined { return this.#state }

  /** The offset of the next record to read. */
  get nextOffset (): number { return this.#nextOffset }

  /** True once the reader has reached the end of the log. */
  get caughtUp (): boolean { return this.#caughtUp }

  /** True when the log was read to its end without a usable starting state, so that the state must come from a peer. */
  get needsPeerState (): boolean { return this.#buffered !== undefined && this.#atEnd }

  /** Skips to `first` after the log has discarded the records before it (error `log_forgotten`). */
  discardedBefore (first: number): void {
    if (first <= this.#nextOffset) return
    this.#buffered = []
    this.#nextOffset = first
    this.#atEnd = false
  }

  /** Reads one page. Skips records that were already read. */
  feed (page: ControlPage): ReadReport {
    const problems: ReadProblem[] = []
    if (page.next < this.#nextOffset) {
      // A late page, requested before a newer one arrived, looks the same, so this is reported and not treated as an error.
      problems.push({ offset: page.next, code: 'log_went_back', message: `the log ends at offset ${page.next}, but all records before offset ${this.#nextOffset} were already read` })
      return { read: [], problems, reachedEnd: false }
    }
    if (page.first === 0 && this.#nextOffset === 0 && this.#state === undefined) this.#start(initialState())
    this.discardedBefore(page.first)
    const read: ReadRecord[] = []
    for (const { offset, body } of page.records) {
      if (offset < this.#nextOffset) continue
      if (offset > this.#nextOffset) {
        problems.push({ offset, code: 'records_missing', message: `expected the record at offset ${this.#nextOffset}` })
        break
      }
      this.#readRecord(offset, body, read, problems)
    }
    this.#atEnd = this.#nextOffset >= page.next
    const reachedEnd = this.#atEnd && this.#buffered === undefined
    if (reachedEnd) this.#caughtUp = true
    return { read, problems, reachedEnd }
  }

  /**
   * Adopts the state of a peer. Returns false and changes nothing when the state is not newer than the reader's own, or
   * when the records between that state and the buffered ones are missing.
   */
  adoptState (state: ControlState): boolean {
    if (!this.#isUsable(state)) return false
    this.#start(state)
    return true
  }

  #isUsable (state: ControlState): boolean {
    if (state.position <= (this.#state?.position ?? noVersion)) return false
    const firstWaiting = this.#buffered?.[0]?.offset ?? this.#nextOffset
    return this.#buffered === undefined || this.#nextOffset === 0 || state.position >= firstWaiting - 1
  }

  #start (state: ControlState): ReadRecord[] {
    const waiting = this.#buffered ?? []
    this.#buffered = undefined
    this.#state = state
    this.#nextOffset = Math.max(this.#nextOffset, state.position + 1)
    this.#previousStates.length = 0
    return waiting.filter(({ offset }) => offset > state.position).flatMap(({ offset, record }) => this.#apply(offset, record))
  }

  #readRecord (offset: number, body: string, read: ReadRecord[], problems: ReadProblem[]): void {
    const { record, malformed } = parseRecord(body)
    if (malformed !== undefined) problems.push({ offset, code: 'malformed_record', message: `${malformed.reason}: ${malformed.message}` })
    this.#nextOffset = offset + 1
    if (this.#buffered === undefined) {
      if (record?.kind === 'checkpoint') this.#compareCheckpoint(offset, record, problems)
      read.push(...this.#apply(offset, record))
      return
    }
    this.#buffered.push({ offset, record })
    if (record?.kind !== 'checkpoint' || record.position >= offset) return
    const state = decodeCheckpoint(offset, record, problems)
    if (state === undefined || !this.#isUsable(state)) return
    for (const replayed of this.#start(state)) read.push(replayed)
  }

  #apply (offset: number, record: ControlRecord | undefined): ReadRecord[] {
    const former = this.#state
    if (former === undefined) return []
    this.#previousStates.push(former)
    if (this.#previousStates.length > maximumPreviousStates) this.#previousStates.shift()
    if (record === undefined) {
      this.#state = skipRecord(former, offset)
      return []
    }
    const { state, voidReason } = applyRecord(former, offset, record)
    this.#state = state
    return [{ offset, record, voidReason }]
  }

  #compareCheckpoint (offset: number, record: RecordOfKind<'checkpoint'>, problems: ReadProblem[]): void {
    const own = [...this.#previousStates, this.#state].find(state => state?.position === record.position)
    if (own === undefined || record.state === encodeState(own)) return
    const state = decodeCheckpoint(offset, record, problems)
    // Re-encoded before the comparison, because another version of the program may encode the same state differently.
    if (state !== undefined && encodeState(state) !== encodeState(own)) {
      problems.push({ offset, code: 'checkpoint_mismatch', message: `the checkpoint at position ${record.position} differs from the state computed from the log` })
    }
  }
}

function decodeCheckpoint (offset: number, record: RecordOfKind<'checkpoint'>, problems: ReadProblem[]): ControlState | undefined {
  try {
    const state = decodeState(record.state)
    if (state.position === record.position) return state
    problems.push({ offset, code: 'checkpoint_invalid', message: `the encoded state has position ${state.position}, but the record says ${record.position}` })
  } catch (error) {
    problems.push({ offset, code: 'checkpoint_invalid', message: describeError(error) })
  }
  return undefined
}
