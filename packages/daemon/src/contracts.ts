import type { ControlState } from '@briarsaddle/ownership'
import type { RuleFile } from '@briarsaddle/rules'
import type { Answer, Forward } from '@briarsaddle/protocol'

/** Read access to the control state that this VM has read from the log. */
export abstract class ControlView {
  /** The newest state. */
  abstract get state (): ControlState
  /** The parsed rule file in force; empty before the first publication. */
  abstract get rules (): RuleFile
  /** Resolves to true once the state has reached `position`, or to false after the timeout or an abort. */
  abstract waitForPosition (position: number, timeoutMilliseconds: number, signal?: AbortSignal): Promise<boolean>
}

/** The part of a VM that coordinates endpoints: it queues a request, sends it to the endpoint and returns the answer. */
export abstract class ForwardHandler {
  /**
   * Always resolves: every failure is an answer with outcome NOT_RUN or UNKNOWN and a reason.
   * The reason `not_coordinator` means that this VM does not coordinate the endpoint; `position` then says what it has read.
   */
  abstract handle (forward: Forward, signal: AbortSignal): Promise<Answer>
}

/** Sends requests to other VMs of briarsaddle. */
export abstract class PeerForwarder {
  /**
   * Forwards a request to the named VM. Always resolves: when the frame surely was not written the answer is NOT_RUN
   * with reason `peer_unreachable`; when the stream broke or the deadline passed after writing, it is UNKNOWN.
   */
  abstract forward (vm: string, forward: Forward, signal: AbortSignal): Promise<Answer>
}
