import { describeError, Logger, MonotonicClock, type Clock, type LifeCycle } from '@briarsaddle/common'
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

const logger = new Logger('protocol')

/** Settings of `PeerPool`. */
export interface PeerPoolOptions extends PeerClientOptions {
  /** Clients connect when they are first used, and close after this long without use. Absent: clients connect at once and stay connected. */
  readonly idleMilliseconds?: number
}

const idleChecksPerPeriod = 4

/** Clients of all peers, by VM id. */
export class PeerPool {
  readonly #addresses = new Map<string, string>()
  readonly #clients = new Map<string, PeerClient>()
  readonly #usedAt = new Map<string, number>()
  readonly #finishing = new Set<PeerClient>()
  readonly #options: PeerPoolOptions
  readonly #clock: Clock
  #streamEnded: (vm: string) => void = () => {}
  #closed = false

  constructor (lifeCycle: LifeCycle, options: PeerPoolOptions = {}) {
    this.#options = options
    this.#clock = options.clock ?? new MonotonicClock()
    lifeCycle.own('peer pool', () => this.#close())
    const { idleMilliseconds } = options
    if (idleMilliseconds === undefined) return
    lifeCycle.every('idle connections', idleMilliseconds / idleChecksPerPeriod, () => this.#closeIdle(idleMilliseconds), error => logger.error('idle connections could not be closed', { error: describeError(error) }))
  }

  /** Sets the listener that is called when an open stream to a VM breaks; see `PeerClientOptions.streamEnded`. */
  onStreamEnded (listener: (vm: string) => void): void {
    this.#streamEnded = listener
  }

  /** Replaces the known addresses. Clients of removed addresses finish their requests and close. */
  update (peers: readonly PeerAddress[]): void {
    if (this.#closed) return
    const addresses = new Map(peers.map(peer => [peer.vm, formatAddress(peer.host, peer.port)]))
    for (const [vm, client] of this.#clients) {
      if (addresses.get(vm) !== client.address) this.#remove(vm, client)
    }
    this.#addresses.clear()
    for (const [vm, address] of addresses) this.#addresses.set(vm, address)
    if (this.#options.idleMilliseconds === undefined) for (const vm of addresses.keys()) this.get(vm)
  }

  /** Returns the client of a VM, which connects if it has not yet; undefined when its address is not known. */
  get (vm: string): PeerClient | undefined {
    const address = this.#addresses.get(vm)
    if (address === undefined) return undefined
    this.#usedAt.set(vm, this.#clock.now())
    let client = this.#clients.get(vm)
    if (client === undefined) this.#clients.set(vm, client = new PeerClient(address, { ...this.#options, streamEnded: () => this.#streamEnded(vm) }))
    return client
  }

  /** Ids of the VMs whose address is known. */
  get vms (): readonly string[] {
    return [...this.#addresses.keys()]
  }

  /** Number of VMs to which a client is kept. */
  get clients (): number {
    return this.#clients.size
  }

  /** Forwards a request to a VM as `PeerClient.forward` does. For an unknown VM, the answer is NOT_RUN with `peer_unreachable`. */
  async forward (vm: string, forward: Forward, signal: AbortSignal): Promise<Answer> {
    const client = this.get(vm)
    return client === undefined ? notRunAnswer(peerReasons.unreachable, { id: forward.id }) : await client.forward(forward, signal)
  }

  #remove (vm: string, client: PeerClient): void {
    this.#clients.delete(vm)
    this.#usedAt.delete(vm)
    for (const finishing of this.#finishing) if (finishing.inFlight === 0) this.#finishing.delete(finishing)
    this.#finishing.add(client)
    client.finish()
  }

  #closeIdle (idleMilliseconds: number): void {
    const now = this.#clock.now()
    for (const [vm, client] of this.#clients) {
      if (!client.busy && now - (this.#usedAt.get(vm) ?? 0) > idleMilliseconds) this.#remove(vm, client)
    }
  }

  #close (): void {
    this.#closed = true
    this.#addresses.clear()
    for (const client of [...this.#clients.values(), ...this.#finishing]) client.close()
    this.#clients.clear()
    this.#finishing.clear()
  }
}
