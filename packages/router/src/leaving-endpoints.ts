import { Logger, type Clock, type LogFields } from '@briarsaddle/common'
import type { Directory, EndpointEntry } from './endpoint-entry.js'

const logger = new Logger('leaving')

/** How a VM learned that an endpoint leaves. */
export type LeavingSource = 'directory'

// An endpoint that is missing in the directory may be listed again, since entries expire while the platform's store is down.
const rememberMilliseconds = 60_000

interface LeavingEndpoint {
  readonly life: number
  /** When the endpoint was last listed, or was learned to leave, in clock milliseconds. */
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
  add ({ id, life, pool }: Pick<EndpointEntry, 'id' | 'life' | 'pool'>, source: LeavingSource): void {
    if (this.#leaving.get(id)?.life === life) return
    this.#leaving.set(id, { life, lastListedAt: this.#clock.now() })
    logger.info('endpoint leaves', { endpoint: id, pool, life, source, ...this.#stateFields() })
  }

  /** Whether the process of an endpoint is leaving. */
  has ({ id, life, leaving }: Pick<EndpointEntry, 'id' | 'life' | 'leaving'>): boolean {
    return leaving || this.#leaving.get(id)?.life === life
  }
}
