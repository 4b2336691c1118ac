import type { ControlState } from '@briarsaddle/ownership'
import type { RuleFile } from '@briarsaddle/rules'
import type { Answer, Forward } from '@briarsaddle/protocol'

/** The control state that this VM has read from the log. */
export abstract class ControlView {
  /** The most recent state. */
  abstract get state (): ControlState
  /** The parsed rule file in force; empty until rules are published for the first time. */
  abstract get rules (): RuleFile
  /** Resolves to true once the state has reached `position`, or to false after the timeout or an abort. */
  abstract waitForPosition (position: number, timeoutMilliseconds: number, signal?: AbortSignal): Promise<boolean>
}

/** Runs forwarded requests at the endpoints that a VM coordinates. */
export abstract class ForwardHandler {
  /**
   * Queues a request, sends it to the endpoint and returns the answer. Always resolves: a failure is an answer with outcome
   * NOT_RUN or UNKNOWN and a reason. The reason `not_coordinator` means that this VM does not coordinate the endpoint;
   * `position` is then the log position up to which this VM has read.
   */
  abstract handle (forward: Forward, signal: AbortSignal): Promise<Answer>
}

/** Sends requests to other VMs of briarsaddle. */
export abstract class PeerForwarder {
  /**
   * Forwards a request to the named VM. Always resolves: the answer is NOT_RUN with reason `peer_unreachable` when the frame
   * was certainly not written, and UNKNOWN when the stream broke or the deadline passed after the write.
   */
  abstract forward (vm: string, forward: Forward, signal: AbortSignal): Promise<Answer>
}
