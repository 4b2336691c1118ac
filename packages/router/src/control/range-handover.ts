import { BriarsaddleError, delay, describeError, Logger, withTimeLimit, type Clock } from '@briarsaddle/common'
import { rangeText, type GrantLedger, type Holder, type Segment } from '@briarsaddle/key-ranges'
import { addressOf, type Directory, type EndpointEntry } from '../endpoint-entry.js'
import type { EndpointTransport, GrantReply } from '../endpoint-transport.js'
import type { RouterMetrics, VacateCause } from '../router-metrics.js'
import { closeTicket, holderKey } from './grant-renewal.js'
import type { ControlTiming } from './timing.js'

const logger = new Logger('handover')

/** What a handover needs. */
export interface RangeHandoverOptions {
  readonly clock: Clock
  readonly timing: ControlTiming
  readonly transport: EndpointTransport
  readonly ledger: GrantLedger
  readonly directory: () => Directory
  readonly pool: string
  readonly segment: Segment
  /** Whether the new owner may still be granted the keys; called right before a grant is sent. */
  readonly mayGrant: () => boolean
  /** Called with the result of each grant that was sent to the new owner. */
  readonly observe: (endpoint: string, result: GrantReply['kind']) => void
  readonly metrics: RouterMetrics
}

/** Result of a handover: the new owner accepted the grant, refused it because of a higher token, or the handover was stopped. */
export type HandoverResult =
  | { readonly kind: 'granted', readonly connection: number }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'stopped' }

const retryMilliseconds = 100
// A release without an answer is sent a second time after this, since the answer may be lost; the first answer is used.
const releaseResendMilliseconds = 400
// Interval at which to check for answers to pending grants, which usually arrive within a few milliseconds.
const pendingPollMilliseconds = 5

/** Carries out one move: waits until no former holder holds the keys any more, then grants them to the new owner. */
export class RangeHandover {
  readonly #options: RangeHandoverOptions
  readonly #stopped = new AbortController()
  /** When the grants of each former holder expire at the latest, in clock milliseconds. Fixed at the start, since moving keys are not renewed. */
  readonly #mayHoldUntil: ReadonlyMap<string, number>

  constructor (options: RangeHandoverOptions) {
    this.#options = options
    this.#mayHoldUntil = new Map(options.segment.former.map(former => [holderKey(former), options.ledger.mayHoldUntil(holderKey(former), options.segment)]))
  }

  /** Stops the handover. A grant that was already sent may still arrive. */
  stop (): void {
    this.#stopped.abort()
  }

  /** Runs the handover until it ends or the signal aborts. Never rejects. */
  async run (signal: AbortSignal): Promise<HandoverResult> {
    const limit = this.#stopped.signal
    const stop = (): void => this.stop()
    signal.addEventListener('abort', stop, { once: true, signal: limit })
    const startedAt = this.#options.clock.now()
    const handovers = await Promise.all(this.#options.segment.former.map(async former => await this.#vacate(former, limit)))
    const vacatedAt = this.#options.clock.now()
    const result = await this.#grant(handovers.find(handover => handover !== '') ?? '', limit)
    signal.removeEventListener('abort', stop)
    const { pool, segment, metrics } = this.#options
    metrics.handover(result.kind, this.#options.clock.now() - startedAt)
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

  /**
   * Resolves to the handover data of the former holder once it certainly holds none of the keys. A grant that arrives after
   * the release would give the keys back, so the release waits for the answers to all pending grants, and a grant without an
   * answer has to expire.
   */
  async #vacate (former: Holder, signal: AbortSignal): Promise<string> {
    const { ledger, clock, segment } = this.#options
    const until = this.#mayHoldUntil.get(holderKey(former)) ?? Infinity
    const startedAt = clock.now()
    while (!signal.aborted) {
      const laterProcess = this.#laterProcessOf(former)
      const endedElsewhere = laterProcess !== undefined && addressOf(laterProcess) !== former.address
      if (endedElsewhere || until <= clock.now()) {
        this.#logVacated(former, { how: endedElsewhere ? 'ended' : 'grants_ran_out', startedAt, outstandingMilliseconds: 0 })
        return ''
      }
      if (ledger.pending(holderKey(former)) > 0) {
        await delay(pendingPollMilliseconds, signal)
        continue
      }
      if (laterProcess !== undefined) {
        // The later process at the same address may have accepted a grant that was sent for the earlier one.
        const reached = await this.#options.transport.reach(former)
        if (!reached || await this.#release(former, Math.min(until, clock.now() + 2 * releaseResendMilliseconds), signal) !== undefined) {
          this.#logVacated(former, { how: 'ended', startedAt, outstandingMilliseconds: 0 })
          return ''
        }
        await delay(retryMilliseconds, signal)
        continue
      }
      const unconfirmedExpireAt = ledger.unconfirmedGrantsExpireAt(holderKey(former), segment)
      const handover = await this.#release(former, until, signal)
      if (handover !== undefined) {
        const outstanding = Math.max(0, Math.min(unconfirmedExpireAt, until) - clock.now())
        await delay(outstanding, signal)
        if (!signal.aborted) this.#logVacated(former, { how: 'released', startedAt, outstandingMilliseconds: outstanding })
        return handover
      }
      await delay(Math.min(retryMilliseconds, Math.max(0, until - clock.now())), signal)
    }
    return ''
  }

  /** `outstandingMilliseconds` is how long the handover waited, after the release, for grants that could still take effect. */
  #logVacated (former: Holder, { how, startedAt, outstandingMilliseconds }: { readonly how: 'released' | 'ended' | 'grants_ran_out', readonly startedAt: number, readonly outstandingMilliseconds: number }): void {
    const { clock, ledger, pool, segment, metrics } = this.#options
    const refusesFormerLeaders = ledger.refusesFormerLeaders(holderKey(former), segment)
    metrics.vacated(causeOf(how, outstandingMilliseconds, refusesFormerLeaders), clock.now() - startedAt)
    logger.info('keys vacated', {
      pool,
      keys: rangeText(segment),
      fence: segment.fence,
      endpoint: former.endpoint,
      how,
      milliseconds: Math.round(clock.now() - startedAt),
      outstandingMilliseconds: Math.round(outstandingMilliseconds),
      refusesFormerLeaders
    })
  }

  async #release (former: Holder, until: number, signal: AbortSignal): Promise<string | undefined> {
    const { clock } = this.#options
    return await withTimeLimit(until - clock.now(), signal, async limited => await this.#releaseWithin(former, limited))
  }

  async #releaseWithin (former: Holder, signal: AbortSignal): Promise<string | undefined> {
    const { segment: { from, to, fence }, transport } = this.#options
    const answered = new AbortController()
    const end = (): void => answered.abort()
    signal.addEventListener('abort', end, { once: true })
    const ask = async (): Promise<string> => {
      answered.signal.throwIfAborted()
      // At least as high as every token that was granted to the former holder, and lower than the token of the new owner.
      const reply = await transport.release(former, { from, to, fence: fence - 1 }, answered.signal)
      if (reply.kind === 'released') return reply.handover
      throw new BriarsaddleError('the release was not acknowledged', { code: 'release_failed', step: 'release keys', peer: former.address })
    }
    const again = async (): Promise<string> => {
      await delay(releaseResendMilliseconds, answered.signal)
      return await ask()
    }
    try {
      return await Promise.any([ask(), again()])
    } catch (error) {
      const cause: unknown = error instanceof AggregateError ? error.errors[0] : error
      logger.info('keys not released', { endpoint: former.endpoint, keys: rangeText({ from, to }), error: describeError(cause) })
      return undefined
    } finally {
      answered.abort()
    }
  }

  /** Returns the directory entry of a later process of the same endpoint, which proves that the former one has ended. */
  #laterProcessOf ({ endpoint, life }: Holder): EndpointEntry | undefined {
    const entry = this.#options.directory().get(endpoint)
    return entry !== undefined && entry.life > life ? entry : undefined
  }

  async #grant (handover: string, signal: AbortSignal): Promise<HandoverResult> {
    const { segment: { from, to, fence, owner }, transport, ledger, timing, mayGrant } = this.#options
    while (!signal.aborted) {
      if (!mayGrant()) {
        await delay(retryMilliseconds, signal)
        continue
      }
      const ticket = ledger.recordSending(holderKey(owner))
      const reply = await transport.grant(owner, { from, to, fence, holdMilliseconds: timing.holdMilliseconds, handover, connection: undefined })
      closeTicket(ticket, reply.kind)
      this.#options.observe(owner.endpoint, reply.kind)
      if (signal.aborted) break
      if (reply.kind === 'fenced') return { kind: 'fenced' }
      if (reply.kind === 'granted') {
        ledger.acknowledged(holderKey(owner), { from, to, fence })
        return { kind: 'granted', connection: reply.connection }
      }
      await delay(retryMilliseconds, signal)
    }
    return { kind: 'stopped' }
  }
}

function causeOf (how: 'released' | 'ended' | 'grants_ran_out', outstandingMilliseconds: number, refusesFormerLeaders: boolean): VacateCause {
  if (how === 'ended') return 'later_process'
  if (how === 'grants_ran_out') return refusesFormerLeaders ? 'grants_ran_out' : 'former_leader'
  if (outstandingMilliseconds === 0) return 'release'
  return refusesFormerLeaders ? 'release_and_grants_without_answer' : 'release_and_former_leader'
}
