import { grantableBuckets, bucketsToRelease, type BucketState, type PoolState } from '@briarsaddle/ownership'
import type { ControlView } from '../contracts.js'
import type { BucketGrant } from './endpoint-client.js'
import { EndpointView } from './endpoint-session.js'
import type { HandedOverBucket } from './journal-imports.js'

/** Buckets selected from one state of the pool. */
interface SelectedBuckets {
  readonly pool: PoolState | undefined
  readonly held: readonly BucketGrant[]
  readonly leaving: readonly number[]
}

/** Reads the control state for one endpoint. */
export class StateEndpointView extends EndpointView {
  readonly #view: ControlView
  readonly #endpoint: string
  readonly #pool: string
  readonly #takeoverAt: () => number | undefined
  /** The last selection, reused while the pool state is unchanged: renewals ask for it ten times a second. */
  #selected: SelectedBuckets | undefined

  constructor (view: ControlView, endpoint: string, pool: string, takeoverAt: () => number | undefined) {
    super()
    this.#view = view
    this.#endpoint = endpoint
    this.#pool = pool
    this.#takeoverAt = takeoverAt
  }

  override owned (): readonly BucketGrant[] {
    return this.#select().held
  }

  override leaving (): readonly number[] {
    return this.#select().leaving
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

  override takeoverAt (): number | undefined {
    return this.#takeoverAt()
  }

  #select (): SelectedBuckets {
    const { state } = this.#view
    const pool = state.pools.get(this.#pool)
    if (this.#selected === undefined || this.#selected.pool !== pool) {
      const leaving = bucketsToRelease(state, this.#endpoint).map(({ bucket }) => bucket)
      this.#selected = { pool, held: grantableBuckets(state, this.#endpoint), leaving }
    }
    return this.#selected
  }
}
