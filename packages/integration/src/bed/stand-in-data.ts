import type { HeldInterval, RecordedRequest } from '@briarsaddle/standins'

/** Answer of an endpoint stand-in to `GET /_record`. */
export interface EndpointRecordData {
  /** Entries that were dropped because the record was full. */
  readonly dropped: number
  readonly requests: readonly RecordedRequest[]
  readonly held: readonly HeldInterval[]
}

/** Settings of the log stand-in. */
export interface LogControl {
  readonly outage?: boolean
  readonly delayMilliseconds?: number
  readonly loseAnswers?: number
  readonly forgetBefore?: number
}

/** Settings of a fault proxy. */
export interface FaultSettings {
  readonly mode?: 'pass' | 'cut' | 'silence-existing' | 'silence-to-target' | 'silence-to-client' | 'silence-all'
  readonly delayMilliseconds?: number
  readonly dropAnswers?: boolean | number
}
