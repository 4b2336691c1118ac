import { Outcome, peerReasons, type Answer } from '@briarsaddle/protocol'

/**
 * What the router does with an answer:
 * `final`: the caller gets it at once.
 * `unreachable`: no frame left this VM; it costs nobody anything to try again.
 * `moved`: the request belongs elsewhere, and the control state shows or will soon show where.
 * `refused`: the right place could not run the request just now.
 * `shed`: the endpoint runs nothing just now, as during its start, or it could not be connected to. That costs the
 *   endpoint little or nothing, so that the retry budget, which protects against overload, does not count it.
 * `broken`: the outcome is unknown, but the request is idempotent and may run again.
 */
export type Verdict = 'final' | 'unreachable' | 'moved' | 'refused' | 'shed' | 'broken'

const movedReasons: ReadonlySet<string> = new Set(['not_coordinator', 'not_owner', 'draining', 'endpoint_lost', peerReasons.goingAway])

// A keyed request has only one place; these pass within milliseconds there.
const passingReasons: ReadonlySet<string> = new Set(['right_expired', 'endpoint_unavailable', 'endpoint_refused', 'effect_refused'])

// Refusals that cost an endpoint of a pool without keys little, or that it never saw.
const effortlessReasons: ReadonlySet<string> = new Set(['endpoint_shed', 'endpoint_unavailable'])

// Refusals by one endpoint that say nothing about the others of its pool.
const endpointReasons: ReadonlySet<string> = new Set([...passingReasons, 'queue_full', 'deadline_unreachable', peerReasons.congested])

/** Reasons of an UNKNOWN answer that leave time to send an idempotent request again. */
const brokenReasons: ReadonlySet<string> = new Set([peerReasons.lost, 'connection_broken'])

// These speak against the endpoint or its coordinator when an endpoint is chosen. An endpoint that sheds answers at once
// and so has the least outstanding work; unless it is set aside, it attracts most requests.
const failureReasons: ReadonlySet<string> = new Set([
  ...brokenReasons, ...passingReasons, peerReasons.unreachable, 'endpoint_shed', 'endpoint_lost', 'deadline_passed', peerReasons.deadlineExceeded
])

const firstServerError = 500

/** Decides whether a request may be sent again. Only requests that surely did not run or are idempotent may. */
export function judge (answer: Answer, idempotent: boolean, keyed: boolean): Verdict {
  if (answer.outcome === Outcome.OUTCOME_ANSWERED) return 'final'
  if (answer.outcome === Outcome.OUTCOME_UNKNOWN) return idempotent && brokenReasons.has(answer.reason) ? 'broken' : 'final'
  if (answer.reason === peerReasons.unreachable) return 'unreachable'
  if (movedReasons.has(answer.reason)) return 'moved'
  if (!keyed && effortlessReasons.has(answer.reason)) return 'shed'
  return (keyed ? passingReasons : endpointReasons).has(answer.reason) ? 'refused' : 'final'
}

/** True when the answer shows that the endpoint or its coordinator failed. */
export function showsFailure (answer: Answer): boolean {
  if (answer.outcome === Outcome.OUTCOME_ANSWERED) return answer.status >= firstServerError
  return failureReasons.has(answer.reason)
}
