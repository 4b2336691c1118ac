import { delay } from '@briarsaddle/common'
import type { PlannedRequest } from './plan.js'
import type { Outcome } from './sender.js'

/** A planned request with its outcome. */
export interface FinishedRequest extends Outcome {
  readonly id: string
  readonly planned: PlannedRequest
  /** From the planned arrival to the answer. */
  readonly latencyMilliseconds: number
  /** Whether the request had to wait in the tool for one of its connections. */
  readonly waitedForConnection: boolean
  /** From the planned arrival to the moment the tool sent the request: the tool's own delay. */
  readonly sendDelayMilliseconds: number
}

/** Settings of a run. */
export interface RunOptions {
  readonly send: (planned: PlannedRequest, id: string) => Promise<Outcome>
  /** Makes the ids of requests unique over runs. */
  readonly idPrefix: string
  /** Connections that `send` has; used to report when they were the limit. */
  readonly connections?: number
  /** Requests under way at the same time; more are counted as not sent. */
  readonly maximumUnderWay?: number
  readonly signal?: AbortSignal
}

const notSent: Outcome = { outcome: 'not-run', reason: 'client:too_many_under_way', status: 0, retryAfter: false, endpoint: undefined }

/** Sends each request at its planned time, whether or not earlier ones were answered, and returns all outcomes. */
export async function runPlan (plan: readonly PlannedRequest[], { send, idPrefix, connections = Infinity, maximumUnderWay = 20_000, signal }: RunOptions): Promise<readonly FinishedRequest[]> {
  const finished: FinishedRequest[] = []
  const underWay = new Set<Promise<void>>()
  const start = performance.now()
  const sendOne = async (planned: PlannedRequest, id: string): Promise<void> => {
    const sendDelayMilliseconds = performance.now() - start - planned.at
    // Timers can fire up to 1 ms early; the time before the planned arrival counts, too.
    const from = start + planned.at + Math.min(0, sendDelayMilliseconds)
    const waitedForConnection = underWay.size >= connections
    const outcome = underWay.size >= maximumUnderWay ? notSent : await send(planned, id)
    finished.push({ ...outcome, id, planned, sendDelayMilliseconds, waitedForConnection, latencyMilliseconds: performance.now() - from })
  }
  for (const [index, planned] of plan.entries()) {
    const wait = planned.at - (performance.now() - start)
    if (wait > 0) await delay(wait, signal)
    if (signal?.aborted === true) break
    const sending: Promise<void> = sendOne(planned, `${idPrefix}-${index}`).finally(() => underWay.delete(sending))
    underWay.add(sending)
  }
  await Promise.all(underWay)
  return finished
}
