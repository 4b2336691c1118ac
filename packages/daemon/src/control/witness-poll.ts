import { newestWitnessList, type ControlState, type WitnessAnswer } from '@briarsaddle/ownership'
import type { ConfirmRequest, ConfirmResponse, PeerPool } from '@briarsaddle/protocol'
import type { Witness } from './witness.js'

const confirmTimeoutMilliseconds = 200

/** The response of one witness. */
export interface WitnessReply {
  readonly vm: string
  readonly answer: WitnessAnswer
  /** Milliseconds since the witness last confirmed each endpoint of the request to a VM other than the requester. */
  readonly quietMilliseconds: readonly number[]
}

/** Sends `Confirm` requests to witnesses. */
export class WitnessPoll {
  readonly #self: string
  readonly #witness: Witness
  readonly #peers: PeerPool

  constructor (options: { readonly self: string, readonly witness: Witness, readonly peers: PeerPool }) {
    this.#self = options.self
    this.#witness = options.witness
    this.#peers = options.peers
  }

  /**
   * Asks the witnesses `vms` to confirm the endpoints and calls `onReply` for each response as it arrives. Resolves when
   * `onReply` returns true, so that a lost witness does not delay a majority, or when all have responded or timed out.
   * With `queryOnly` the witnesses only report what they have read and confirm nothing.
   */
  async ask (state: ControlState, vms: readonly string[], endpoints: readonly string[], queryOnly: boolean, onReply: (reply: WitnessReply) => boolean): Promise<void> {
    const request: ConfirmRequest = {
      vm: this.#self,
      witnessesVersion: Math.max(0, newestWitnessList(state.witnesses)),
      endpoints: endpoints.map(endpoint => ({ endpoint, version: state.endpoints.get(endpoint)?.version ?? 0 })),
      queryOnly
    }
    await new Promise<void>(resolve => {
      const asked = vms.map(async vm => {
        const response = await this.#askOne(vm, request)
        if (response !== undefined && onReply({ vm, answer: response, quietMilliseconds: response.quietMilliseconds })) resolve()
      })
      void Promise.all(asked).then(() => resolve())
    })
  }

  async #askOne (vm: string, request: ConfirmRequest): Promise<ConfirmResponse | undefined> {
    if (vm === this.#self) return this.#witness.answer(request)
    try {
      return await this.#peers.get(vm)?.confirm(request, confirmTimeoutMilliseconds)
    } catch {
      return undefined
    }
  }
}
