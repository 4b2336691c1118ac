import { BriarsaddleError } from '@briarsaddle/common'
import type { Answer, ConfirmRequest, ConfirmResponse, FetchJournalRequest, FetchJournalResponse, FetchControlRequest, FetchControlResponse, FetchKeyLoadsRequest, FetchKeyLoadsResponse, FetchLoadsRequest, FetchLoadsResponse, FetchStateResponse, Forward, HeartbeatRequest, HeartbeatResponse, Journal, JournalAcknowledgement } from './generated/inner.js'

/** Receives the frames of peers. Ids of answers are set by the server. */
export abstract class FrameHandler {
  /** Runs a request of a peer. The signal aborts when the peer cancels it or its stream breaks. */
  abstract forward (forward: Forward, signal: AbortSignal): Promise<Answer>
  /** Stores a journal entry of a peer. */
  abstract journal (journal: Journal): Promise<JournalAcknowledgement>
}

/** Receives the control calls of peers. A rejected promise becomes a failed call with the error's message. */
export abstract class ControlHandler {
  abstract heartbeat (request: HeartbeatRequest): Promise<HeartbeatResponse>
  abstract confirm (request: ConfirmRequest): Promise<ConfirmResponse>
  /** Rejects when this VM has no state to hand out. */
  abstract fetchState (): Promise<FetchStateResponse>
  abstract fetchJournal (request: FetchJournalRequest): Promise<FetchJournalResponse>
  abstract fetchLoads (request: FetchLoadsRequest): Promise<FetchLoadsResponse>
  /** Rejects unless the VM assigns keys in ranges. */
  async fetchKeyLoads (_request: FetchKeyLoadsRequest): Promise<FetchKeyLoadsResponse> { throw unsupported('fetch key loads') }
  /** Rejects unless the VM assigns keys in ranges. */
  async fetchControl (_request: FetchControlRequest): Promise<FetchControlResponse> { throw unsupported('fetch control') }
}

/** Error of a call that this kind of VM does not serve. */
export function unsupported (step: string): BriarsaddleError {
  return new BriarsaddleError(`${step} is not served by this VM`, { code: 'unsupported', step })
}
