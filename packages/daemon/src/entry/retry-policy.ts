import { Outcome, peerReasons, type Answer } from '@briarsaddle/protocol'

/**
 * Class of an answer, which decides whether the request is sent again:
 * `final`: the caller gets the answer at once.
 * `unreachable`: no frame left this VM, so a retry adds no load.
 * `moved`: the request has another destination, which the control state shows or will soon show.
 * `refused`: the destination is correct but could not run the request.
 * `shed`: the endpoint refuses everything for a time, for example while it starts, or no connection could be made. The
 *   attempt cost the endpoint little or nothing, so the retry budget, which protects against overload, does not count it.
 * `broken`: the outcome is unknown, but the request is idempotent and may run again.
 */
export type AnswerClass = 'final' | 'unreachable' | 'moved' | 'refused' | 'shed' | 'broken'

const movedReasons: ReadonlySet<string> = new Set(['not_coordinator', 'not_owner', 'draining', 'endpoint_lost', peerReasons.goingAway])

// Refusals that usually end within milliseconds. A keyed request is sent again to the same endpoint, the only one for its key.
const transientReasons: ReadonlySet<string> = new Set(['right_expired', 'endpoint_unavailable', 'endpoint_refused', 'effect_refused'])

// Refusals of a request without a key that cost the endpoint little, or nothing because the request did not reach it.
const sheddingReasons: ReadonlySet<string> = new Set(['endpoint_shed', 'endpoint_unavailable'])

// Refusals by one endpoint of a pool without keys, after which another endpoint may run the request.
const endpointReasons: ReadonlySet<string> = new Set([...transientReasons, 'queue_full', 'deadline_unreachable', peerReasons.congested])

// Reasons of unknown outcomes after which an idempotent request may be sent again before its deadline.
const brokenReasons: ReadonlySet<string> = new Set([peerReasons.lost, 'connection_broken'])

// Reasons that count as failures of the endpoint when an endpoint is chosen. An endpoint that sheds answers at once and
// so has the least outstanding work; without this it would attract most requests.
const failureReasons: ReadonlySet<string> = new Set([
  ...brokenReasons, ...transientReasons, peerReasons.unreachable, 'endpoint_shed', 'endpoint_lost', 'deadline_passed', peerReasons.deadlineExceeded
])

const firstServerError = 500

/** Classifies an answer. Only requests that did not run or are idempotent may be sent again. */
export function classifyAnswer (answer: Answer, idempotent: boolean, keyed: boolean): AnswerClass {
  if (answer.outcome === Outcome.OUTCOME_ANSWERED) return 'final'
  if (answer.outcome === Outcome.OUTCOME_UNKNOWN) return idempotent && brokenReasons.has(answer.reason) ? 'broken' : 'final'
  if (answer.reason === peerReasons.unreachable) return 'unreachable'
  if (movedReasons.has(answer.reason)) return 'moved'
  if (!keyed && sheddingReasons.has(answer.reason)) return 'shed'
  return (keyed ? transientReasons : endpointReasons).has(answer.reason) ? 'refused' : 'final'
}

/** True when the answer counts as a failure of the endpoint or its coordinator in the choice of endpoints. */
export function showsFailure (answer: Answer): boolean {
  if (answer.outcome === Outcome.OUTCOME_ANSWERED) return answer.status >= firstServerError
  return failureReasons.has(answer.reason)
}
