import { peerReasons, unknownAnswer, type Answer, type Forward } from '@briarsaddle/protocol'
import type { ForwardHandler, PeerForwarder } from '../contracts.js'

/** The coordinator gets a deadline that is earlier by this time, so that its refusal arrives before the router's own deadline. */
export const deadlineReserveMilliseconds = 2
// After an abort, the handler has this time to answer before the request ends without it.
const abortGraceMilliseconds = 50

/** Forwards requests to this or another VM. A request ends at its deadline or soon after an abort, even when the handler does not react. */
export class BoundedForwarder {
  readonly #self: string
  readonly #local: ForwardHandler
  readonly #peers: PeerForwarder

  constructor (self: string, local: ForwardHandler, peers: PeerForwarder) {
    this.#self = self
    this.#local = local
    this.#peers = peers
  }

  /** Forwards a request to the VM that coordinates the endpoint. Always resolves. */
  async forward (vm: string, forward: Forward, signal: AbortSignal): Promise<Answer> {
    const controller = new AbortController()
    return await new Promise(resolve => {
      const end = (answer: Answer): void => {
        clearTimeout(timer)
        clearTimeout(abortTimer)
        signal.removeEventListener('abort', onAbort)
        resolve(answer)
      }
      let abortTimer: NodeJS.Timeout | undefined
      const onAbort = (): void => {
        abortTimer = setTimeout(() => end(unknownAnswer(peerReasons.cancelled)), abortGraceMilliseconds)
        controller.abort()
      }
      const timer = setTimeout(() => {
        end(unknownAnswer(peerReasons.deadlineExceeded))
        controller.abort()
      }, forward.deadlineMilliseconds + deadlineReserveMilliseconds)
      signal.addEventListener('abort', onAbort, { once: true })
      const running = vm === this.#self ? this.#local.handle(forward, controller.signal) : this.#peers.forward(vm, forward, controller.signal)
      running.then(end, () => end(unknownAnswer(peerReasons.internalError)))
      if (signal.aborted) onAbort()
    })
  }
}
