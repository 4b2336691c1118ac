import { isInTime } from './measures.js'
import type { EndpointRecord } from './observers.js'
import type { RunResult } from './result.js'
import type { FinishedRequest } from './run-plan.js'
import type { Scenario } from './scenario.js'

/** Where the slot time of a pool went during a run, as shares of all of it. The shares add up to 1. */
export type SlotTime = NonNullable<RunResult['pools'][string]['slotTime']>
type SlotUse = keyof SlotTime

/** What the slot times are computed from. */
export interface SlotTimeInput {
  readonly scenario: Scenario
  readonly finished: readonly FinishedRequest[]
  readonly records: readonly EndpointRecord[]
  readonly durationSeconds: number
  readonly startedAt: string
}

/**
 * Longest idle time, in milliseconds, that the ways between the processes explain: an answer goes to the coordinator
 * and the next request comes from there, each over one loopback connection between busy processes.
 */
const longestHandOverMilliseconds = 10

/** A change in what an endpoint does or has waiting, at a time in milliseconds from the start of the run. */
interface Change {
  readonly at: number
  readonly use?: SlotUse
  readonly running?: number
  readonly waiting?: number
}

/** Computes per pool where the slot time went. Requests that were refused later do not count as waiting. */
export function slotTimes ({ scenario, finished, records, durationSeconds, startedAt }: SlotTimeInput): Readonly<Record<string, SlotTime>> {
  const duration = durationSeconds * 1000
  const start = Date.parse(startedAt)
  const byId = new Map(finished.map(request => [request.id, request]))
  return Object.fromEntries(scenario.pools.map(({ pool, endpoints, slots }) => {
    const total = noTime()
    for (const record of records) if (record.pool === pool) addEndpoint(total, record, byId, start, duration)
    const available = endpoints * slots * duration
    return [pool, Object.fromEntries(Object.entries(total).map(([use, milliseconds]) => [use, milliseconds / available])) as SlotTime]
  }))
}

function noTime (): Record<SlotUse, number> {
  return { useful: 0, usefulAtEnd: 0, wasted: 0, handOver: 0, idleWhileQueued: 0, idleWithEmptyQueue: 0 }
}

function addEndpoint (total: Record<SlotUse, number>, record: EndpointRecord, byId: ReadonlyMap<string, FinishedRequest>, start: number, duration: number): void {
  const idle = new IdleTime(total, record.slots)
  const clip = (time: number): number => Math.min(Math.max(time, 0), duration)
  const changes: Change[] = []
  for (const request of record.requests) {
    const from = clip(request.start.wall - start)
    const end = request.end === undefined ? Infinity : request.end.wall - start
    const to = clip(end)
    const planned = request.testRequest === undefined ? undefined : byId.get(request.testRequest)
    if (to > from) {
      total[useOf(request.result, planned, end, duration)] += to - from
      changes.push({ at: from, running: 1 }, { at: to, running: -1 })
    }
    if (planned !== undefined) changes.push({ at: clip(planned.planned.at), waiting: 1 }, { at: from, waiting: -1 })
  }
  for (const change of changes.sort((one, other) => one.at - other.at)) idle.advance(change)
  idle.advance({ at: duration })
  idle.close()
}

function useOf (result: string, request: FinishedRequest | undefined, end: number, duration: number): SlotUse {
  if (result !== 'completed' || request === undefined || !isInTime(request)) return 'wasted'
  return end <= duration ? 'useful' : 'usefulAtEnd'
}

/** Adds up the idle slot time of one endpoint, split by whether requests waited for it. */
class IdleTime {
  readonly #total: Record<SlotUse, number>
  readonly #slots: number
  #at = 0
  #running = 0
  #waiting = 0
  /** Idle slot time while requests waited, in the current unbroken stretch, and the stretch's beginning. */
  #stretch = 0
  #stretchFrom = 0

  constructor (total: Record<SlotUse, number>, slots: number) {
    this.#total = total
    this.#slots = slots
  }

  advance ({ at, running = 0, waiting = 0 }: Change): void {
    const free = Math.max(0, this.#slots - this.#running)
    const blocked = Math.min(free, Math.max(0, this.#waiting))
    this.#total.idleWithEmptyQueue += (free - blocked) * (at - this.#at)
    if (blocked > 0) {
      if (this.#stretch === 0) this.#stretchFrom = this.#at
      this.#stretch += blocked * (at - this.#at)
    } else if (at > this.#at) this.close()
    this.#at = at
    this.#running += running
    this.#waiting += waiting
  }

  /** Ends the current stretch. */
  close (): void {
    this.#total[this.#at - this.#stretchFrom <= longestHandOverMilliseconds ? 'handOver' : 'idleWhileQueued'] += this.#stretch
    this.#stretch = 0
  }
}
