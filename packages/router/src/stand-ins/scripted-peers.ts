import { Answer, notRunAnswer, Outcome, peerReasons, unknownAnswer } from '@briarsaddle/protocol'
import { PeerForwarder } from '../request/dispatcher.js'

/** Other VMs of a test: they answer what is forwarded to them, refuse it with a reason, or are lost with it. */
export class ScriptedPeers extends PeerForwarder {
  /** Reasons of refusals by VM. */
  readonly refusals = new Map<string, string>()
  readonly lost = new Set<string>()
  /** VMs that requests were forwarded to. */
  readonly asked: string[] = []

  override async forward (vm: string): Promise<Answer> {
    this.asked.push(vm)
    if (this.lost.has(vm)) return unknownAnswer(peerReasons.lost)
    const reason = this.refusals.get(vm)
    return reason === undefined ? { ...Answer.create(), outcome: Outcome.OUTCOME_ANSWERED, status: 200 } : notRunAnswer(reason)
  }
}
