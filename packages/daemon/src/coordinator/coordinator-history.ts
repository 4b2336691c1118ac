import type { Clock } from '@briarsaddle/common'
import { noVersion, type ControlState, type ReadRecord } from '@briarsaddle/ownership'
import { journalRetentionMilliseconds } from './journal.js'

/** Only the most recent coordinators of an endpoint are looked up. */
const maximumTokens = 8

/** A coordinator of an endpoint, as its record names it. */
export interface RecordedCoordinator {
  readonly vm: string
  readonly standby: string | undefined
  readonly token: number
  /** Token of the preceding coordinator; undefined when the record was not read. */
  readonly base?: number
}

/** Keeps the most recent coordinators of each endpoint, so that a new coordinator can find the journal of its predecessor. */
export class CoordinatorHistory {
  readonly #clock: Clock
  readonly #endpoints = new Map<string, Map<number, RecordedCoordinator>>()
  /** Local time at which each endpoint was first missing from the control state. */
  readonly #goneSince = new Map<string, number>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Adds the coordinators in the records and in the new state. */
  update (state: ControlState, read: readonly ReadRecord[]): void {
    for (const { offset, record, voidReason } of read) {
      if (record.kind !== 'coordinator' || voidReason !== undefined) continue
      this.#remember(record.endpoint.id, { vm: record.vm, standby: record.standby, token: offset, base: record.base })
    }
    for (const { description, coordinator } of state.endpoints.values()) this.#remember(description.id, coordinator)
    this.#forgetGone(state)
  }

  /** True when the token belongs to the endpoint's first coordinator. */
  isFirst (endpoint: string, token: number): boolean {
    return this.#endpoints.get(endpoint)?.get(token)?.base === noVersion
  }

  /** The coordinator that preceded the one with this token; undefined when its record was not read. */
  former (endpoint: string, token: number): RecordedCoordinator | undefined {
    const coordinators = this.#endpoints.get(endpoint)
    const base = coordinators?.get(token)?.base
    return base === undefined ? undefined : coordinators?.get(base)
  }

  /** The most recent coordinator of an endpoint, which may have left the control state. */
  last (endpoint: string): RecordedCoordinator | undefined {
    const coordinators = this.#endpoints.get(endpoint)
    return coordinators?.get(Math.max(...coordinators.keys()))
  }

  #remember (endpoint: string, coordinator: RecordedCoordinator): void {
    const coordinators = this.#endpoints.get(endpoint) ?? new Map<number, RecordedCoordinator>()
    if (!coordinators.has(coordinator.token)) coordinators.set(coordinator.token, coordinator)
    if (coordinators.size > maximumTokens) coordinators.delete(Math.min(...coordinators.keys()))
    this.#endpoints.set(endpoint, coordinators)
  }

  #forgetGone (state: ControlState): void {
    const now = this.#clock.now()
    for (const endpoint of this.#endpoints.keys()) {
      if (state.endpoints.has(endpoint)) {
        this.#goneSince.delete(endpoint)
        continue
      }
      const since = this.#goneSince.get(endpoint) ?? now
      this.#goneSince.set(endpoint, since)
      if (now - since <= journalRetentionMilliseconds) continue
      this.#endpoints.delete(endpoint)
      this.#goneSince.delete(endpoint)
    }
  }
}
