import { Logger, type Clock } from '@briarsaddle/common'
import { rangeText, type GrantLedger, type PendingGrant, type Holder, type Segment } from '@briarsaddle/key-ranges'
import type { EndpointTransport, GrantReply } from '../endpoint-transport.js'
import type { ControlTiming } from './timing.js'

const logger = new Logger('grants')

/** What the renewal of grants needs from the leader. */
export interface GrantRenewalOptions {
  readonly clock: Clock
  readonly timing: ControlTiming
  readonly transport: EndpointTransport
  readonly ledger: GrantLedger
  /** Called when an endpoint says in its answer that it leaves. */
  readonly onLeaving?: (holder: Holder) => void
  /** Whether the segment is still assigned to the same owner; called right before a grant is sent. */
  readonly mayRenew: (pool: string, segment: Segment) => boolean
}

// A single lost answer does not make an endpoint unreachable.
const suspectFailures = 3
// Concurrent renewals. A VM with a third of a core handles about one renewal per millisecond, so with more of them the answers
// would wait in this process for longer than the timeout of a call.
const mostInFlight = 32
// A renewal to an endpoint that does not answer takes the whole timeout of a call; the other endpoints must be renewed meanwhile.
const mostInFlightToFailing = 8

interface SegmentState {
  dueAt: number
  /** Connection on which the endpoint accepted this token; undefined until then. */
  connection: number | undefined
  inFlight: boolean
}

interface DueRenewal {
  readonly pool: string
  readonly segment: Segment
  readonly state: SegmentState
}

/** Due renewals that share a limit on concurrent calls. */
interface RenewalQueue {
  readonly mostInFlight: number
  inFlight: number
  /** Renewals that wait to be sent, in descending order of `dueAt`; the last is sent first. */
  due: DueRenewal[]
}

/** Renews the grants of segments that are not moving, and detects unreachable endpoints. */
export class GrantRenewal {
  readonly #options: GrantRenewalOptions
  readonly #segments = new Map<string, SegmentState>()
  readonly #failing = new Map<string, { readonly since: number, failures: number }>()
  readonly #disconnected = new Set<string>()
  readonly #queue: RenewalQueue = { mostInFlight, inFlight: 0, due: [] }
  readonly #failingQueue: RenewalQueue = { mostInFlight: mostInFlightToFailing, inFlight: 0, due: [] }

  constructor (options: GrantRenewalOptions) {
    this.#options = options
  }

  /** Endpoints that are currently unreachable. */
  get unreachable (): readonly string[] {
    return [...this.#failing.keys()].filter(endpoint => this.isUnreachable(endpoint))
  }

  /** Whether several calls in a row have not reached the endpoint, for longer than `suspectMilliseconds`. */
  isUnreachable (endpoint: string): boolean {
    const failing = this.#failing.get(endpoint)
    return failing !== undefined && failing.failures >= suspectFailures && this.#options.clock.now() - failing.since > this.#options.timing.suspectMilliseconds
  }

  /** Clears what is known about segments and endpoints, at the start of a leadership, which issues new fencing tokens. */
  reset (): void {
    this.#segments.clear()
    this.#failing.clear()
    this.#disconnected.clear()
    this.#queue.due = []
    this.#failingQueue.due = []
  }

  /** Returns, and clears, the endpoints whose connection was lost since the last call; their segments need new fencing tokens. */
  takeDisconnected (): readonly string[] {
    const endpoints = [...this.#disconnected]
    this.#disconnected.clear()
    return endpoints
  }

  /** Records that the endpoint has accepted the first grant of a segment, on the given connection. */
  accepted (pool: string, segment: Segment, connection: number): void {
    this.#segments.set(keyOf(pool, segment), { connection, dueAt: this.#options.clock.now() + this.#options.timing.renewMilliseconds / 2, inFlight: false })
  }

  /** Records whether a grant reached the endpoint. */
  observe (endpoint: string, result: GrantReply['kind']): void {
    if (result === 'granted' || result === 'fenced') {
      if (this.#failing.delete(endpoint)) logger.info('endpoint reached again', { endpoint })
    } else if (result !== 'disconnected') {
      const failing = this.#failing.get(endpoint)
      if (failing !== undefined) {
        failing.failures++
        return
      }
      this.#failing.set(endpoint, { since: this.#options.clock.now(), failures: 1 })
      logger.warning('endpoint could not be reached', { endpoint, step: 'grant', result })
    }
  }

  /** Tries to connect to the unreachable endpoints, because an endpoint without keys gets no grant that would show that it is reachable again. */
  async probeUnreachable (holders: readonly Holder[]): Promise<void> {
    const unreachable = holders.filter(holder => this.isUnreachable(holder.endpoint))
    await Promise.all(unreachable.map(async holder => {
      if (await this.#options.transport.reach(holder)) this.observe(holder.endpoint, 'granted')
    }))
  }

  /** Sends the renewals that are due, a limited number at a time. */
  renewDue (pools: Readonly<Record<string, readonly Segment[]>>): void {
    const now = this.#options.clock.now()
    const present = new Set<string>()
    const due: DueRenewal[] = []
    for (const [pool, segments] of Object.entries(pools)) {
      for (const segment of segments) {
        const key = keyOf(pool, segment)
        present.add(key)
        const state = this.#stateOf(key, segment)
        if (!segment.moving && !state.inFlight && state.dueAt <= now) due.push({ pool, segment, state })
      }
    }
    for (const key of this.#segments.keys()) if (!present.has(key)) this.#segments.delete(key)
    due.sort((one, other) => other.state.dueAt - one.state.dueAt)
    const isFailing = ({ segment }: DueRenewal): boolean => this.#failing.has(segment.owner.endpoint)
    this.#queue.due = due.filter(renewal => !isFailing(renewal))
    this.#failingQueue.due = due.filter(isFailing)
    this.#sendDue(this.#queue)
    this.#sendDue(this.#failingQueue)
  }

  #sendDue (queue: RenewalQueue): void {
    while (queue.inFlight < queue.mostInFlight) {
      const renewal = queue.due.pop()
      if (renewal === undefined) return
      queue.inFlight++
      void this.#renew(renewal).finally(() => {
        queue.inFlight--
        this.#sendDue(queue)
      })
    }
  }

  /** Returns the state of a segment. A segment that was merged or split keeps the connection on which its token was accepted. */
  #stateOf (key: string, segment: Segment): SegmentState {
    let state = this.#segments.get(key)
    if (state === undefined) {
      const tokenKey = `${segment.owner.endpoint} ${segment.owner.life} ${segment.fence} `
      const known = [...this.#segments].find(([other]) => other.includes(tokenKey))?.[1]
      this.#segments.set(key, state = { dueAt: 0, connection: known?.connection, inFlight: false })
    }
    return state
  }

  async #renew ({ pool, segment, state }: DueRenewal): Promise<void> {
    const { transport, ledger, timing, clock, mayRenew } = this.#options
    if (!mayRenew(pool, segment)) return
    state.inFlight = true
    state.dueAt = clock.now() + timing.renewMilliseconds
    const ticket = ledger.recordSending(holderKey(segment.owner))
    const { from, to, fence } = segment
    const reply = await transport.grant(segment.owner, { from, to, fence, holdMilliseconds: timing.holdMilliseconds, handover: '', connection: state.connection })
    state.inFlight = false
    closeTicket(ticket, reply.kind)
    this.#handleReply(reply, pool, segment, state)
  }

  #handleReply (reply: GrantReply, pool: string, segment: Segment, state: SegmentState): void {
    const { endpoint } = segment.owner
    this.observe(endpoint, reply.kind)
    if (reply.kind === 'granted') {
      state.connection = reply.connection
      if (reply.leaving === true) this.#options.onLeaving?.(segment.owner)
      this.#options.ledger.acknowledged(holderKey(segment.owner), segment)
      return
    }
    if (reply.kind === 'disconnected') this.#disconnected.add(endpoint)
    else if (reply.kind === 'fenced') logger.warning('renewal refused: the endpoint has seen a higher token', { pool, endpoint, keys: rangeText(segment), fence: segment.fence })
    state.dueAt = this.#options.clock.now() + this.#options.timing.renewMilliseconds / 4
  }
}

function keyOf (pool: string, { from, to, fence, owner }: Segment): string {
  return `${pool} ${owner.endpoint} ${owner.life} ${fence} ${from}-${to}`
}

/** Returns the key of a holder in the grant ledger. */
export function holderKey ({ endpoint, life }: Holder): string {
  return `${endpoint} ${life}`
}

/** Records the result of a grant in the grant ledger. */
export function closeTicket (ticket: PendingGrant, result: GrantReply['kind']): void {
  if (result === 'unreachable' || result === 'disconnected') ticket.notSent()
  else if (result === 'broken') ticket.unanswered()
  else ticket.answered()
}
