import { Logger, type Clock, type LogFields } from '@briarsaddle/common'
import type { Directory, EndpointEntry } from './endpoint-entry.js'

const logger = new Logger('leaving')

/** How a VM learned that an endpoint leaves: by its directory entry, by an answer of the endpoint, or because its coordinator sends it nothing more. */
export type LeavingSource = 'directory' | 'answer' | 'coordinator'

/** One process of an endpoint. */
export type EndpointProcess = Pick<EndpointEntry, 'id' | 'pool' | 'life' | 'leaving'>

// Until its keys have moved, an endpoint that says in an answer that it leaves is the only one that can serve them.
const serveKeysMilliseconds = 1_000
// An endpoint that is missing in the directory may be listed again, since entries expire while the platform's store is down.
const rememberMilliseconds = 60_000

interface LeavingEndpoint {
  readonly life: number
  /** When it gets no requests any more, not even for keys that it still holds, in clock milliseconds. */
  closesAt: number
  /** When it was last listed, or was learned to leave, in clock milliseconds. */
  lastListedAt: number
}

/** Endpoints that are leaving, as far as this VM has learned. A process that leaves does not come back; a later process under its id may. */
export class LeavingEndpoints {
  readonly #clock: Clock
  readonly #stateFields: () => LogFields
  readonly #leaving = new Map<string, LeavingEndpoint>()

  /** `stateFields` returns log fields that tell the age of this VM's state and where it came from. */
  constructor (clock: Clock, stateFields: () => LogFields = () => ({})) {
    this.#clock = clock
    this.#stateFields = stateFields
  }

  /** Applies a new directory. */
  update (directory: Directory): void {
    const now = this.#clock.now()
    for (const entry of directory.values()) if (entry.leaving) this.add(entry, 'directory')
    for (const [id, endpoint] of this.#leaving) {
      const entry = directory.get(id)
      if (entry?.life === endpoint.life) endpoint.lastListedAt = now
      else if (entry !== undefined || now - endpoint.lastListedAt > rememberMilliseconds) this.#leaving.delete(id)
    }
  }

  /** Records that the process of an endpoint leaves. */
  add ({ id, life, pool }: EndpointProcess, source: LeavingSource): void {
    const now = this.#clock.now()
    const closesAt = source === 'answer' ? now + serveKeysMilliseconds : now
    const known = this.#leaving.get(id)
    if (known?.life === life) {
      known.closesAt = Math.min(known.closesAt, closesAt)
      return
    }
    this.#leaving.set(id, { life, closesAt, lastListedAt: now })
    logger.info('endpoint leaves', { endpoint: id, pool, life, source, ...this.#stateFields() })
  }

  /** Whether an endpoint is leaving, so that it gets no new keys, and no requests that another endpoint can run. */
  has ({ id, life, leaving }: EndpointProcess): boolean {
    return leaving || this.#leaving.get(id)?.life === life
  }

  /** Whether an endpoint is leaving and gets no requests any more. */
  isClosed (endpoint: EndpointProcess): boolean {
    return this.millisecondsToClose(endpoint) === 0
  }

  /** Returns the time until a leaving endpoint gets no requests any more; Infinity when it is not leaving. */
  millisecondsToClose ({ id, life, leaving }: EndpointProcess): number {
    if (leaving) return 0
    const known = this.#leaving.get(id)
    return known?.life === life ? Math.max(0, known.closesAt - this.#clock.now()) : Infinity
  }
}
