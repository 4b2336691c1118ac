import { Answer, Outcome, type Forward } from './generated/inner.js'

/** Reasons set by the inner protocol itself. Coordinators set further ones. */
export const peerReasons = {
  /** The frame was not written, because there is no connection to the peer. */
  unreachable: 'peer_unreachable',
  /** The frame was not written, because too many frames wait for the stream. */
  congested: 'peer_congested',
  /** The stream broke after the frame was written. */
  lost: 'peer_lost',
  /** The peer is shutting down and did not start the request. */
  goingAway: 'going_away',
  deadlineExceeded: 'deadline_exceeded',
  cancelled: 'cancelled',
  /** The request exceeds the message limit and was not written. */
  requestTooLarge: 'request_too_large',
  /** The endpoint's answer exceeds the message limit and was dropped. */
  answerTooLarge: 'answer_too_large',
  /** A handler threw. */
  internalError: 'internal_error'
} as const

/** Reason of an answer that states no length, so that nothing shows whether it is whole. */
export const lengthUnknown = 'length_unknown'

/** Creates the answer to a request that certainly did not run. */
export function notRunAnswer (reason: string, fields: Partial<Omit<Answer, 'outcome' | 'reason'>> = {}): Answer {
  return { ...Answer.create(), ...fields, outcome: Outcome.OUTCOME_NOT_RUN, reason }
}

/** Creates the answer to a request that may have run. */
export function unknownAnswer (reason: string, fields: Partial<Omit<Answer, 'outcome' | 'reason'>> = {}): Answer {
  return { ...Answer.create(), ...fields, outcome: Outcome.OUTCOME_UNKNOWN, reason }
}

// Upper bounds of the protobuf overhead (tags and lengths): of all fixed fields, and of one header.
const fixedFrameBytes = 256
const headerOverheadBytes = 16
// A UTF-16 code unit takes at most three bytes in UTF-8.
const bytesPerCharacter = 3

function textBytes (...texts: string[]): number {
  return texts.reduce((sum, text) => sum + text.length, 0) * bytesPerCharacter
}

function headersBytes (headers: Answer['headers']): number {
  return headers.reduce((sum, header) => sum + textBytes(header.name, header.value) + headerOverheadBytes, 0)
}

/** Returns an upper bound of the encoded size of a `Forward` frame, in bytes. */
export function forwardBytes (forward: Forward): number {
  const texts = textBytes(forward.requestId, forward.endpoint, forward.pool, forward.key, forward.idempotencyKey, forward.method, forward.target)
  return fixedFrameBytes + texts + headersBytes(forward.headers) + forward.body.length
}

/** Returns an upper bound of the encoded size of an `Answer` frame, in bytes. */
export function answerBytes (answer: Answer): number {
  return fixedFrameBytes + textBytes(answer.reason) + headersBytes(answer.headers) + answer.body.length
}
