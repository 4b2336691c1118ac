import type { Clock, Random } from '@briarsaddle/common'
import { TwoChoices } from '@briarsaddle/scheduling'
import type { Answer } from '@briarsaddle/protocol'
import { Outcome } from '@briarsaddle/protocol'
import type { EndpointEntry } from '../endpoint-entry.js'

/** Chooses endpoints of pools without keys; endpoints in this VM's data centre are preferred while one of them has a free slot. */
export class PoolChooser {
  readonly #dataCentre: string
  readonly #clock: Clock
  readonly #random: Random
  readonly #choosers = new Map<string, TwoChoices>()

  constructor (dataCentre: string, clock: Clock, random: Random) {
    this.#dataCentre = dataCentre
    this.#clock = clock
    this.#random = random
  }

  /** Returns the endpoint to which to send a request, and counts the request there until `finished`; undefined when all are excluded. */
  choose (pool: string, endpoints: readonly EndpointEntry[], excluded: ReadonlySet<string>): EndpointEntry | undefined {
    const chooser = this.#chooser(pool)
    const near = endpoints.filter(entry => entry.dataCentre === this.#dataCentre && !excluded.has(entry.id) && chooser.load(entry.id) < entry.slots)
    const id = near.length > 0 ? chooser.choose(near.map(entry => entry.id)) : chooser.choose(endpoints.map(entry => entry.id), excluded)
    if (id !== undefined) chooser.started(id)
    return endpoints.find(entry => entry.id === id)
  }

  /** Records that a request is sent to an endpoint that was not chosen here, the owner of its key. */
  started (pool: string, endpoint: string): void {
    this.#chooser(pool).started(endpoint)
  }

  /** Records the answer to a request and the time that it took. */
  finished (pool: string, endpoint: string, answer: Answer, milliseconds: number): void {
    const notRun = answer.outcome === Outcome.OUTCOME_NOT_RUN
    this.#chooser(pool).finished(endpoint, {
      outstanding: answer.outcome === Outcome.OUTCOME_ANSWERED || answer.outstanding > 0 ? answer.outstanding : undefined,
      milliseconds: notRun ? undefined : milliseconds,
      failed: answer.outcome === Outcome.OUTCOME_UNKNOWN || answer.reason === 'endpoint_full' || answer.reason === 'endpoint_unreachable' || answer.status >= 500
    })
  }

  /** Returns the state as plain data for the state dump. */
  snapshot (): Readonly<Record<string, unknown>> {
    return Object.fromEntries([...this.#choosers].map(([pool, chooser]) => [pool, chooser.snapshot()]))
  }

  #chooser (pool: string): TwoChoices {
    let chooser = this.#choosers.get(pool)
    if (chooser === undefined) this.#choosers.set(pool, chooser = new TwoChoices({ clock: this.#clock, random: this.#random }))
    return chooser
  }
}
