import { delay, Logger, type Clock } from '@briarsaddle/common'
import { rangeText, type GrantLedger, type Holder, type Segment } from '@briarsaddle/key-ranges'
import type { Directory } from '../endpoint-entry.js'
import type { EndpointTransport, GrantReply } from '../endpoint-transport.js'
import { holderKey } from './grant-renewal.js'
import type { ControlTiming } from './timing.js'

const logger = new Logger('handover')

/** What one handover needs. */
export interface RangeHandoverOptions {
  readonly clock: Clock
  readonly timing: ControlTiming
  readonly transport: EndpointTransport
  readonly ledger: GrantLedger
  readonly directory: () => Directory
  readonly pool: string
  readonly segment: Segment
  /** Learns whether calls about grants reach the new owner. */
  readonly observe: (endpoint: string, result: GrantReply['kind']) => void
}

/** How a handover ended. */
export type HandoverResult =
  | { readonly kind: 'granted', readonly connection: number }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'stopped' }

const retryMilliseconds = 100

/** Carries out one move: makes sure that nobody else holds the keys, then grants them to the new owner. */
export class RangeHandover {
  readonly #options: RangeHandoverOptions
  readonly #stopped = new AbortController()
  /** Until when each former holder may hold the keys without being asked; fixed here, since the keys are not renewed any more. */
  readonly #mayHoldUntil: ReadonlyMap<string, number>

  constructor (options: RangeHandoverOptions) {
    this.#options = options
    this.#mayHoldUntil = new Map(options.segment.former.map(former => [holderKey(former), options.ledger.mayHoldUntil(holderKey(former))]))
  }

  /** Ends the handover; a grant that was sent may still arrive. */
  stop (): void {
    this.#stopped.abort()
  }

  /** Never rejects. */
  async run (signal: AbortSignal): Promise<HandoverResult> {
    const limit = AbortSignal.any([signal, this.#stopped.signal])
    const startedAt = this.#options.clock.now()
    const handovers = await Promise.all(this.#options.segment.former.map(async former => await this.#vacate(former, limit)))
    const vacatedAt = this.#options.clock.now()
    const result = await this.#grant(handovers.find(handover => handover !== '') ?? '', limit)
    const { pool, segment } = this.#options
    logger.info('handover ended', {
      pool,
      keys: rangeText(segment),
      fence: segment.fence,
      owner: segment.owner.endpoint,
      former: segment.former.map(({ endpoint }) => endpoint).join(','),
      result: result.kind,
      vacateMilliseconds: Math.round(vacatedAt - startedAt),
      grantMilliseconds: Math.round(this.#options.clock.now() - vacatedAt)
    })
    return result
  }

  /** Resolves to what the former holder handed over, once it surely holds nothing. */
  async #vacate (former: Holder, signal: AbortSignal): Promise<string> {
    const until = this.#mayHoldUntil.get(holderKey(former)) ?? Infinity
    while (!signal.aborted) {
      const left = until - this.#options.clock.now()
      if (left <= 0 || this.#hasEnded(former)) return ''
      const attempt = AbortSignal.any([signal, AbortSignal.timeout(Math.ceil(left))])
      const { from, to, fence } = this.#options.segment
      // Above every token that the former holder was given, below that of the new owner.
      const reply = await this.#options.transport.release(former, { from, to, fence: fence - 1 }, attempt)
      if (reply.kind === 'released') return reply.handover
      await delay(retryMilliseconds, signal)
    }
    return ''
  }

  /** A later process under the same id proves that the earlier one has ended. */
  #hasEnded ({ endpoint, life }: Holder): boolean {
    const entry = this.#options.directory().get(endpoint)
    return entry !== undefined && entry.life > life
  }

  async #grant (handover: string, signal: AbortSignal): Promise<HandoverResult> {
    const { segment: { from, to, fence, owner }, transport, ledger, timing } = this.#options
    while (!signal.aborted) {
      const takeBack = ledger.sending(holderKey(owner))
      const reply = await transport.grant(owner, { from, to, fence, holdMilliseconds: timing.holdMilliseconds, handover, connection: undefined })
      if (reply.kind === 'unreachable') takeBack()
      this.#options.observe(owner.endpoint, reply.kind)
      if (signal.aborted) break
      if (reply.kind === 'fenced') return { kind: 'fenced' }
      if (reply.kind === 'granted') {
        ledger.acknowledged(holderKey(owner))
        return { kind: 'granted', connection: reply.connection }
      }
      await delay(retryMilliseconds, signal)
    }
    return { kind: 'stopped' }
  }
}
