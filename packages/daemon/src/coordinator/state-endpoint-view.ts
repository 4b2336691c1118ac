import { bucketsHeldFor, bucketsLeaving, type BucketState, type PoolState } from '@briarsaddle/ownership'
import type { ControlView } from '../contracts.js'
import type { BucketGrant } from './endpoint-client.js'
import { EndpointView } from './endpoint-session.js'
import type { HandedOverBucket } from './journal-imports.js'

/** Reads the control state for one endpoint. */
export class StateEndpointView extends EndpointView {
  readonly #view: ControlView
  readonly #endpoint: string
  readonly #pool: string
  readonly #takeoverEffective: () => boolean
  /** Held buckets of the pool state for which they were last selected: renewals ask ten times a second. */
  #held: { readonly pool: PoolState | undefined, readonly buckets: readonly BucketGrant[] } | undefined

  constructor (view: ControlView, endpoint: string, pool: string, takeoverEffective: () => boolean) {
    super()
    this.#view = view
    this.#endpoint = endpoint
    this.#pool = pool
    this.#takeoverEffective = takeoverEffective
  }

  override owned (): readonly BucketGrant[] {
    const { state } = this.#view
    const pool = state.pools.get(this.#pool)
    if (this.#held === undefined || this.#held.pool !== pool) this.#held = { pool, buckets: bucketsHeldFor(state, this.#endpoint) }
    return this.#held.buckets
  }

  override leaving (): readonly number[] {
    return bucketsLeaving(this.#view.state, this.#endpoint).map(({ bucket }) => bucket)
  }

  override bucket (bucket: number): BucketState | undefined {
    return this.#view.state.pools.get(this.#pool)?.buckets[bucket]
  }

  override handedOver (): readonly HandedOverBucket[] {
    return this.owned().flatMap(({ bucket }) => {
      const former = this.bucket(bucket)?.former
      return former === undefined || former.endpoint === this.#endpoint ? [] : [{ bucket, from: former.endpoint, releasedAt: former.releasedAt }]
    })
  }

  override takeoverEffective (): boolean {
    return this.#takeoverEffective()
  }
}
