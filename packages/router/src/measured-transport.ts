import type { Clock } from '@briarsaddle/common'
import type { Holder, KeyRange } from '@briarsaddle/key-ranges'
import type { Directory, EndpointEntry } from './endpoint-entry.js'
import { EndpointTransport, type EndpointReply, type EndpointRequest, type Grant, type GrantReply, type ProbeResult, type ReleaseReply } from './endpoint-transport.js'
import type { RouterMetrics } from './router-metrics.js'

/** Wraps a transport and records the results and times of its calls as metrics. */
export class MeasuredTransport extends EndpointTransport {
  readonly #inner: EndpointTransport
  readonly #metrics: RouterMetrics
  readonly #clock: Clock

  constructor (inner: EndpointTransport, metrics: RouterMetrics, clock: Clock) {
    super()
    this.#inner = inner
    this.#metrics = metrics
    this.#clock = clock
  }

  override async send (endpoint: EndpointEntry, request: EndpointRequest, signal: AbortSignal): Promise<EndpointReply> {
    const startedAt = this.#clock.now()
    const reply = await this.#inner.send(endpoint, request, signal)
    const result = 'reason' in reply ? reply.reason : reply.kind
    this.#metrics.endpointCall({ pool: endpoint.pool, result, milliseconds: this.#clock.now() - startedAt })
    return reply
  }

  override async grant (holder: Holder, grant: Grant): Promise<GrantReply> {
    const startedAt = this.#clock.now()
    const reply = await this.#inner.grant(holder, grant)
    this.#metrics.grant(reply.kind, this.#clock.now() - startedAt)
    return reply
  }

  override async release (holder: Holder, release: KeyRange & { readonly fence: number }, signal: AbortSignal): Promise<ReleaseReply> {
    const startedAt = this.#clock.now()
    const reply = await this.#inner.release(holder, release, signal)
    this.#metrics.release(reply.kind, this.#clock.now() - startedAt)
    return reply
  }

  override async reach (holder: Holder): Promise<boolean> {
    return await this.#inner.reach(holder)
  }

  override async probe (holder: Holder): Promise<ProbeResult> {
    return await this.#inner.probe(holder)
  }

  override keepOnly (directory: Directory): void {
    this.#inner.keepOnly(directory)
  }
}
