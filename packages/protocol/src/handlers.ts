import { BriarsaddleError } from '@briarsaddle/common'
import type { ControlWatcher } from './control-watch.js'
import type { Answer, ConfirmRequest, ConfirmResponse, FetchJournalRequest, FetchJournalResponse, FetchControlRequest, FetchControlResponse, FetchKeyLoadsRequest, FetchKeyLoadsResponse, FetchLoadsRequest, FetchLoadsResponse, FetchStateResponse, Forward, HeartbeatRequest, HeartbeatResponse, Journal, JournalAcknowledgement } from './generated/inner.js'

/** Handles the frames of peers. The server sets the ids of answers and acknowledgements. */
export abstract class FrameHandler {
  /** Runs a request of a peer. The signal aborts when the peer cancels the request or the stream breaks. */
  abstract forward (forward: Forward, signal: AbortSignal): Promise<Answer>
  /** Stores a journal entry of a peer. After a rejection, the peer gets no acknowledgement. */
  abstract journal (journal: Journal): Promise<JournalAcknowledgement>
}

/** Handles the control calls of peers. A rejection fails the call at the peer with the message of the error. */
export abstract class ControlHandler {
  abstract heartbeat (request: HeartbeatRequest): Promise<HeartbeatResponse>
  abstract confirm (request: ConfirmRequest): Promise<ConfirmResponse>
  /** Rejects when this VM cannot provide its control state. */
  abstract fetchState (): Promise<FetchStateResponse>
  abstract fetchJournal (request: FetchJournalRequest): Promise<FetchJournalResponse>
  abstract fetchLoads (request: FetchLoadsRequest): Promise<FetchLoadsResponse>
  /** Rejects unless this VM assigns keys in ranges. */
  async fetchKeyLoads (_request: FetchKeyLoadsRequest): Promise<FetchKeyLoadsResponse> { throw unsupported('fetch key loads') }
  /** Rejects unless this VM assigns keys in ranges. */
  async fetchControl (_request: FetchControlRequest): Promise<FetchControlResponse> { throw unsupported('fetch control') }
  /** Sends the control state and its changes to the watcher. Throws unless this VM assigns keys in ranges. */
  watchControl (_watcher: ControlWatcher): void { throw unsupported('watch control') }
}

/** Creates the error of a call that this kind of VM does not serve; code `unsupported`. */
export function unsupported (step: string): BriarsaddleError {
  return new BriarsaddleError(`${step} is not served by this VM`, { code: 'unsupported', step })
}
