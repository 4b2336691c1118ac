import { describeError, Logger } from '@briarsaddle/common'
import {
  ControlHandler, FrameHandler, type PeerPool,
  type Answer, type ConfirmRequest, type ConfirmResponse, type FetchJournalRequest, type FetchJournalResponse, type FetchLoadsRequest, type FetchLoadsResponse, type FetchStateResponse,
  type Forward, type HeartbeatRequest, type HeartbeatResponse, type Journal, type JournalAcknowledgement
} from '@briarsaddle/protocol'
import { PeerForwarder } from '../contracts.js'
import type { Coordinator } from '../coordinator/coordinator.js'
import { JournalSource } from '../coordinator/journal-transfer.js'
import { JournalSink } from '../coordinator/journal.js'
import type { EndpointLoad } from '@briarsaddle/scheduling'
import { LoadSource, type EndpointLoads } from './endpoint-loads.js'
import { PeerStateSource, type LogFollower } from './log-follower.js'
import type { Membership } from './membership.js'
import type { Witness } from './witness.js'

const logger = new Logger('peers')
const peerCallMilliseconds = 300

/** Forwards requests to other VMs. */
export class PeerPoolForwarder extends PeerForwarder {
  readonly #peers: PeerPool

  constructor (peers: PeerPool) {
    super()
    this.#peers = peers
  }

  override async forward (vm: string, forward: Forward, signal: AbortSignal): Promise<Answer> {
    return await this.#peers.forward(vm, forward, signal)
  }
}

/** Sends journal changes to standby VMs. */
export class PeerPoolJournalSink extends JournalSink {
  readonly #peers: PeerPool

  constructor (peers: PeerPool) {
    super()
    this.#peers = peers
  }

  override async send (vm: string, journal: Omit<Journal, 'id'>, timeoutMilliseconds: number): Promise<JournalAcknowledgement | undefined> {
    try {
      return await this.#peers.get(vm)?.journal({ ...journal, id: 0 }, timeoutMilliseconds)
    } catch (error) {
      logger.debug('standby did not acknowledge a journal change', { standby: vm, endpoint: journal.endpoint, reason: describeError(error) })
      return undefined
    }
  }
}

/** Fetches journal copies from other VMs. */
export class PeerPoolJournalSource extends JournalSource {
  readonly #peers: PeerPool

  constructor (peers: PeerPool) {
    super()
    this.#peers = peers
  }

  override async fetch (vm: string, request: FetchJournalRequest): Promise<FetchJournalResponse | undefined> {
    return await this.#peers.get(vm)?.fetchJournal(request, peerCallMilliseconds)
  }
}

/** Fetches endpoint loads from other VMs. */
export class PeerPoolLoadSource extends LoadSource {
  readonly #peers: PeerPool

  constructor (peers: PeerPool) {
    super()
    this.#peers = peers
  }

  override async fetch (vm: string, endpoints: readonly string[]): Promise<readonly EndpointLoad[]> {
    return (await this.#peers.get(vm)?.fetchLoads({ endpoints: [...endpoints] }, peerCallMilliseconds))?.loads ?? []
  }
}

/** Fetches the control state from all known peers and returns the newest. */
export class PeerPoolStateSource extends PeerStateSource {
  readonly #peers: PeerPool

  constructor (peers: PeerPool) {
    super()
    this.#peers = peers
  }

  override async fetch (): Promise<string | undefined> {
    const answers = await Promise.allSettled(this.#peers.vms.map(async vm => await this.#peers.get(vm)?.fetchState(peerCallMilliseconds)))
    let newest: FetchStateResponse | undefined
    for (const answer of answers) {
      if (answer.status === 'fulfilled' && answer.value !== undefined && (newest === undefined || answer.value.position > newest.position)) newest = answer.value
    }
    return newest?.state
  }
}

/** Passes request and journal frames from other VMs to the coordinator. */
export class PeerFrameHandler extends FrameHandler {
  readonly #coordinator: Coordinator

  constructor (coordinator: Coordinator) {
    super()
    this.#coordinator = coordinator
  }

  override async forward (forward: Forward, signal: AbortSignal): Promise<Answer> {
    return await this.#coordinator.handle(forward, signal)
  }

  override async journal (journal: Journal): Promise<JournalAcknowledgement> {
    return this.#coordinator.journals.receive(journal)
  }
}

/** Handles the control requests of other VMs. */
export class PeerControlHandler extends ControlHandler {
  readonly #membership: Membership
  readonly #witness: Witness
  readonly #follower: LogFollower
  readonly #coordinator: Coordinator
  readonly #loads: EndpointLoads

  constructor (options: { readonly membership: Membership, readonly witness: Witness, readonly follower: LogFollower, readonly coordinator: Coordinator, readonly loads: EndpointLoads }) {
    super()
    this.#membership = options.membership
    this.#witness = options.witness
    this.#follower = options.follower
    this.#coordinator = options.coordinator
    this.#loads = options.loads
  }

  override async heartbeat (request: HeartbeatRequest): Promise<HeartbeatResponse> {
    return this.#membership.answerHeartbeat(request)
  }

  override async confirm (request: ConfirmRequest): Promise<ConfirmResponse> {
    return this.#witness.answer(request)
  }

  override async fetchState (): Promise<FetchStateResponse> {
    if (!this.#follower.started) throw new Error('the control state is not available yet')
    return { position: Math.max(0, this.#follower.state.position), state: this.#follower.encode() }
  }

  override async fetchJournal (request: FetchJournalRequest): Promise<FetchJournalResponse> {
    return await this.#coordinator.journals.answer(request)
  }

  override async fetchLoads (request: FetchLoadsRequest): Promise<FetchLoadsResponse> {
    return { loads: this.#loads.own(request.endpoints).map(load => ({ ...load })) }
  }
}
