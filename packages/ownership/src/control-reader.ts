import { describeError } from '@briarsaddle/common'
import { decodeState, encodeState } from './checkpoint.js'
import type { ControlState, VoidReason } from './control-state.js'
import { noVersion } from './records.js'
import type { ControlRecord, RecordOfKind } from './records.js'
import { applyRecord, initialState, parseRecord, skipRecord } from './reducer.js'

/** A page of the log, as the platform's log client returns it. */
export interface ControlPage {
  /** Oldest offset that is still retained. */
  readonly first: number
  /** Offset that the next appended record will get. */
  readonly next: number
  readonly records: ReadonlyArray<{ readonly offset: number, readonly body: string }>
}

/** A record that was read, and why it had no effect if it had none. */
export interface ReadRecord {
  readonly offset: number
  readonly record: ControlRecord
  readonly voidReason: VoidReason | undefined
}

/** Something in the log that operators should know of; reading goes on. */
export interface ReadProblem {
  readonly offset: number
  readonly code: 'malformed_record' | 'checkpoint_invalid' | 'checkpoint_mismatch' | 'records_missing' | 'log_went_back'
  readonly message: string
}

/** What one page brought. */
export interface ReadReport {
  /** Records that the state now includes, in order. */
  readonly read: readonly ReadRecord[]
  readonly problems: readonly ReadProblem[]
  /** True when the state now includes every record that the log had when it answered: a right may be extended. */
  readonly reachedEnd: boolean
}

/**
 * Former states that are kept so that checkpoints can be compared. A checkpoint is published by a VM that is at most
 * a few records behind; states share most of their parts.
 */
const keptStates = 64

interface PendingRecord {
  readonly offset: number
  readonly record: ControlRecord | undefined
}

/**
 * Reads the control stream page by page into the control state; performs no I/O itself.
 *
 * A reader without a state, or whose next record the log has discarded, keeps the records that it reads until it meets
 * a usable checkpoint or is given the state of a peer. Any usable checkpoint leads to the same state, so the first one
 * that is met is taken, and the later ones are compared with it.
 */
export class ControlReader {
  #state: ControlState | undefined
  #nextOffset = 0
  #caughtUp = false
  #atEnd = false
  /** Records that wait for a state to which they can be applied; undefined while the state is continuous. */
  #waiting: PendingRecord[] | undefined = []
  readonly #formerStates: ControlState[] = []

  /** The state after the last record read; undefined until a start was found. */
  get state (): ControlState | undefined { return this.#state }

  /** The offset from which to read next. */
  get nextOffset (): number { return this.#nextOffset }

  /** True once the reader has read the log to its end since it was created. */
  get caughtUp (): boolean { return this.#caughtUp }

  /** True when the log was read to its end and contains no start: state must come from a peer. */
  get needsPeerState (): boolean { return this.#waiting !== undefined && this.#atEnd }

  /** Tells the reader that the log has discarded the records before `first` (`log_forgotten`). */
  discardedBefore (first: number): void {
    if (first <= this.#nextOffset) return
    this.#waiting = []
    this.#nextOffset = first
    this.#atEnd = false
  }

  /** Reads one page. Records that were read before are ignored. */
  feed (page: ControlPage): ReadReport {
    const problems: ReadProblem[] = []
    if (page.next < this.#nextOffset) {
      // A page that was read before a newer one arrived also looks like this, so it is only reported.
      problems.push({ offset: page.next, code: 'log_went_back', message: `the log ends at ${page.next}, but records up to ${this.#nextOffset} were read` })
      return { read: [], problems, reachedEnd: false }
    }
    if (page.first === 0 && this.#nextOffset === 0 && this.#state === undefined) this.#start(initialState())
    this.discardedBefore(page.first)
    const read: ReadRecord[] = []
    for (const { offset, body } of page.records) {
      if (offset < this.#nextOffset) continue
      if (offset > this.#nextOffset) {
        problems.push({ offset, code: 'records_missing', message: `expected the record at ${this.#nextOffset}` })
        break
      }
      this.#readOne(offset, body, read, problems)
    }
    this.#atEnd = this.#nextOffset >= page.next
    const reachedEnd = this.#atEnd && this.#waiting === undefined
    if (reachedEnd) this.#caughtUp = true
    return { read, problems, reachedEnd }
  }

  /**
   * Takes the state of a peer. Returns false, and changes nothing, when the state is not newer than the reader's own or
   * when records between that state and the log's oldest are missing.
   */
  adoptState (state: ControlState): boolean {
    if (!this.#isUsable(state)) return false
    this.#start(state)
    return true
  }

  #isUsable (state: ControlState): boolean {
    if (state.position <= (this.#state?.position ?? noVersion)) return false
    const firstWaiting = this.#waiting?.[0]?.offset ?? this.#nextOffset
    return this.#waiting === undefined || this.#nextOffset === 0 || state.position >= firstWaiting - 1
  }

  #start (state: ControlState): ReadRecord[] {
    const waiting = this.#waiting ?? []
    this.#waiting = undefined
    this.#state = state
    this.#nextOffset = Math.max(this.#nextOffset, state.position + 1)
    this.#formerStates.length = 0
    return waiting.filter(({ offset }) => offset > state.position).flatMap(({ offset, record }) => this.#apply(offset, record))
  }

  #readOne (offset: number, body: string, read: ReadRecord[], problems: ReadProblem[]): void {
    const { record, malformed } = parseRecord(body)
    if (malformed !== undefined) problems.push({ offset, code: 'malformed_record', message: `${malformed.reason}: ${malformed.message}` })
    this.#nextOffset = offset + 1
    if (this.#waiting === undefined) {
      if (record?.kind === 'checkpoint') this.#compare(offset, record, problems)
      read.push(...this.#apply(offset, record))
      return
    }
    this.#waiting.push({ offset, record })
    if (record?.kind !== 'checkpoint' || record.position >= offset) return
    const state = decodeCheckpoint(offset, record, problems)
    if (state === undefined || !this.#isUsable(state)) return
    for (const replayed of this.#start(state)) read.push(replayed)
  }

  #apply (offset: number, record: ControlRecord | undefined): ReadRecord[] {
    const former = this.#state
    if (former === undefined) return []
    this.#formerStates.push(former)
    if (this.#formerStates.length > keptStates) this.#formerStates.shift()
    if (record === undefined) {
      this.#state = skipRecord(former, offset)
      return []
    }
    const { state, voidReason } = applyRecord(former, offset, record)
    this.#state = state
    return [{ offset, record, voidReason }]
  }

  #compare (offset: number, record: RecordOfKind<'checkpoint'>, problems: ReadProblem[]): void {
    const own = [...this.#formerStates, this.#state].find(state => state?.position === record.position)
    if (own === undefined || record.state === encodeState(own)) return
    const state = decodeCheckpoint(offset, record, problems)
    // Encoded again, because another version of the program may write the same state differently.
    if (state !== undefined && encodeState(state) !== encodeState(own)) {
      problems.push({ offset, code: 'checkpoint_mismatch', message: `the checkpoint of position ${record.position} differs from the state read here` })
    }
  }
}

function decodeCheckpoint (offset: number, record: RecordOfKind<'checkpoint'>, problems: ReadProblem[]): ControlState | undefined {
  try {
    const state = decodeState(record.state)
    if (state.position === record.position) return state
    problems.push({ offset, code: 'checkpoint_invalid', message: `the state has position ${state.position} instead of ${record.position}` })
  } catch (error) {
    problems.push({ offset, code: 'checkpoint_invalid', message: describeError(error) })
  }
  return undefined
}
