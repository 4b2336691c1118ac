import { Logger, type Clock } from '@briarsaddle/common'

const logger = new Logger('entry')

// First requests of connections that are looked at together.
const sampleSize = 16
const goneShare = 0.5
// Closing a connection takes some tenths of a millisecond, so that most of a backlog is closed within this time. Callers that are turned away come again meanwhile.
const longestDiscardMilliseconds = 200
// Iterations of the event loop without a connection after which the backlog is empty.
const emptyIterations = 2

/** The part of a server that closes connections as soon as it accepts them. */
export interface AcceptGate {
  /** Closes new connections unread while true. */
  setClosing (closing: boolean): void
}

/**
 * Empties the backlog of connections that wait to be accepted when most of them are those of callers who have already gone. A process that is short of
 * processor time accepts connections more slowly than callers come again, and then works only for callers who have given up. Those who still wait
 * learn at once that they should try another VM.
 */
export class StaleBacklog {
  readonly #clock: Clock
  readonly #gate: AcceptGate
  #seen = 0
  #gone = 0
  #acceptedSinceCheck = false
  #discarded = 0
  #discardingSince: number | undefined

  constructor (clock: Clock, gate: AcceptGate) {
    this.#clock = clock
    this.#gate = gate
  }

  /** Whether connections are being closed unread. */
  get discarding (): boolean { return this.#discardingSince !== undefined }

  /** Records whether the caller of the first request of a connection had gone when its turn came. */
  observe (gone: boolean): void {
    if (this.discarding) return
    this.#seen++
    if (gone) this.#gone++
    if (this.#gone >= goneShare * sampleSize) this.#discard()
    else if (this.#seen >= sampleSize) this.#seen = this.#gone = 0
  }

  /** Records that a connection was closed unread. */
  discarded (): void {
    this.#discarded++
    this.#acceptedSinceCheck = true
  }

  #discard (): void {
    this.#seen = this.#gone = this.#discarded = 0
    this.#discardingSince = this.#clock.now()
    this.#gate.setClosing(true)
    this.#checkAfterIteration(0)
  }

  #checkAfterIteration (empty: number): void {
    setImmediate(() => {
      const next = this.#acceptedSinceCheck ? 0 : empty + 1
      this.#acceptedSinceCheck = false
      const milliseconds = this.#clock.now() - (this.#discardingSince ?? 0)
      if (next <= emptyIterations && milliseconds < longestDiscardMilliseconds) return this.#checkAfterIteration(next)
      this.#discardingSince = undefined
      this.#gate.setClosing(false)
      logger.info('connections closed unread, because most callers before them had gone', { discarded: this.#discarded, milliseconds: Math.round(milliseconds) })
    })
  }
}
