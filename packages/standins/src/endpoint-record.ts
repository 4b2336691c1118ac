import type { RequestGrant } from './endpoint-protocol.js'
import type { EndpointClock, RecordedTime } from './endpoint-clock.js'

/** What happened to a request. `completed` alone had an effect. */
export type RequestResult = 'running' | 'completed' | 'failed' | 'cancelled' | `refused:${string}`

/** One request that reached the endpoint. */
export interface RecordedRequest extends RequestGrant {
  readonly method: string
  readonly path: string
  readonly start: RecordedTime
  end: RecordedTime | undefined
  result: RequestResult
}

/** A time during which the endpoint held a bucket. */
export interface HeldInterval {
  readonly bucket: number
  /** Token of the bucket. */
  readonly token: number
  readonly coordinator: string
  readonly from: RecordedTime
  /** The interval ends here unless the grant is renewed; a revocation moves it back. */
  until: RecordedTime
}

// About 100 MB at some 500 bytes per entry.
const maximumEntries = 200_000

/** Everything that happened at an endpoint, for tests. The oldest entries are dropped beyond a limit. */
export class EndpointRecord {
  readonly #clock: EndpointClock
  readonly #requests: RecordedRequest[] = []
  readonly #intervals: HeldInterval[] = []
  #dropped = 0

  constructor (clock: EndpointClock) {
    this.#clock = clock
  }

  /** Adds a request that has just arrived. */
  start (grant: RequestGrant, method: string, path: string): RecordedRequest {
    return this.#add(this.#requests, { ...grant, method, path, start: this.#clock.recorded(), end: undefined, result: 'running' })
  }

  /** States how a request ended. */
  finish (request: RecordedRequest, result: RequestResult): void {
    request.end = this.#clock.recorded()
    request.result = result
  }

  /** Begins an interval that lasts until `validUntil` unless it is extended or ended. */
  hold (bucket: number, token: number, coordinator: string, validUntil: number): HeldInterval {
    return this.#add(this.#intervals, { bucket, token, coordinator, from: this.#clock.recorded(), until: this.#clock.recorded(validUntil) })
  }

  /** Returns the record as data for JSON. */
  toData (): { readonly dropped: number, readonly requests: readonly RecordedRequest[], readonly held: readonly HeldInterval[] } {
    return { dropped: this.#dropped, requests: this.#requests, held: this.#intervals }
  }

  #add<Entry> (entries: Entry[], entry: Entry): Entry {
    if (entries.length >= maximumEntries) {
      // Dropping a tenth at a time keeps the cost of each entry low.
      this.#dropped += entries.splice(0, maximumEntries / 10).length
    }
    entries.push(entry)
    return entry
  }
}
