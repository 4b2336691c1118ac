import type { LifeCycle } from '@briarsaddle/common'
import { notRunAnswer, peerReasons } from './answers.js'
import type { Answer, Forward } from './generated/inner.js'
import { formatAddress } from './options.js'
import { PeerClient, type PeerClientOptions } from './peer-client.js'

/** Address at which a VM serves the inner protocol. */
export interface PeerAddress {
  readonly vm: string
  readonly host: string
  readonly port: number
}

/** Clients of all peers, by VM id. */
export class PeerPool {
  readonly #clients = new Map<string, PeerClient>()
  readonly #finishing = new Set<PeerClient>()
  readonly #options: PeerClientOptions
  #streamEnded: (vm: string) => void = () => {}
  #closed = false

  constructor (lifeCycle: LifeCycle, options: PeerClientOptions = {}) {
    this.#options = options
    lifeCycle.own('peer pool', () => this.#close())
  }

  /** Sets the listener that is called when an open stream to a VM breaks; see `PeerClientOptions.streamEnded`. */
  onStreamEnded (listener: (vm: string) => void): void {
    this.#streamEnded = listener
  }

  /** Connects to new addresses. Clients of removed addresses finish their requests and close. */
  update (peers: readonly PeerAddress[]): void {
    if (this.#closed) return
    const addresses = new Map(peers.map(peer => [peer.vm, formatAddress(peer.host, peer.port)]))
    for (const [vm, client] of this.#clients) {
      if (addresses.get(vm) !== client.address) this.#remove(vm, client)
    }
    for (const [vm, address] of addresses) {
      if (!this.#clients.has(vm)) this.#clients.set(vm, new PeerClient(address, { ...this.#options, streamEnded: () => this.#streamEnded(vm) }))
    }
  }

  /** Returns the client of a VM, or undefined when its address is not known. */
  get (vm: string): PeerClient | undefined {
    return this.#clients.get(vm)
  }

  /** Ids of the VMs whose address is known. */
  get vms (): readonly string[] {
    return [...this.#clients.keys()]
  }

  /** Forwards a request to a VM as `PeerClient.forward` does. For an unknown VM, the answer is NOT_RUN with `peer_unreachable`. */
  async forward (vm: string, forward: Forward, signal: AbortSignal): Promise<Answer> {
    const client = this.#clients.get(vm)
    return client === undefined ? notRunAnswer(peerReasons.unreachable, { id: forward.id }) : await client.forward(forward, signal)
  }

  #remove (vm: string, client: PeerClient): void {
    this.#clients.delete(vm)
    for (const finishing of this.#finishing) if (finishing.inFlight === 0) this.#finishing.delete(finishing)
    this.#finishing.add(client)
    client.finish()
  }

  #close (): void {
    this.#closed = true
    for (const client of [...this.#clients.values(), ...this.#finishing]) client.close()
    this.#clients.clear()
    this.#finishing.clear()
  }
}
