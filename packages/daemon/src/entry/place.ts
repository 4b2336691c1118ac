import type { ControlState, EndpointState } from '@briarsaddle/ownership'

/** Where a request has to go under one control state. */
export interface Place {
  readonly endpoint: string
  /** VM that coordinates the endpoint. */
  readonly coordinator: string
  /** VM that takes over provisionally when the coordinator is lost while the log is down. */
  readonly standby: string | undefined
  /** Changes whenever the request would have to go elsewhere or under another grant. */
  readonly version: string
}

/** Why a request cannot be sent at the moment. The state has to change first. */
export type NoPlace = 'bucket_unassigned' | 'bucket_pending' | 'endpoint_unknown' | 'no_endpoint'

/** Finds the place of a bucket. */
export function placeOfBucket (state: ControlState, pool: string, bucket: number): Place | NoPlace {
  const bucketState = state.pools.get(pool)?.buckets[bucket]
  if (bucketState === undefined) return 'bucket_unassigned'
  if (bucketState.pendingFrom !== undefined) return 'bucket_pending'
  const endpoint = state.endpoints.get(bucketState.owner)
  return endpoint === undefined ? 'endpoint_unknown' : placeOfEndpoint(endpoint, bucketState.token)
}

/** Describes the place of an endpoint; `grant` is the token of the bucket, if any. */
export function placeOfEndpoint (endpoint: EndpointState, grant = 0): Place {
  const { vm, token, standby } = endpoint.coordinator
  return { endpoint: endpoint.description.id, coordinator: vm, standby, version: `${endpoint.description.id} ${token} ${grant}` }
}

/** Lists the endpoints of pools that are not partitioned by key; the lists are kept until the state changes. */
export class PoolMembers {
  #state: ControlState | undefined
  #members = new Map<string, string[]>()

  /** Returns the ids of the endpoints of the pool that are not leaving. */
  of (state: ControlState, pool: string): readonly string[] {
    if (state !== this.#state) this.#index(state)
    return this.#members.get(pool) ?? []
  }

  #index (state: ControlState): void {
    this.#state = state
    this.#members = new Map()
    for (const [id, { description, leaving }] of state.endpoints) {
      if (leaving) continue
      const members = this.#members.get(description.pool)
      if (members === undefined) this.#members.set(description.pool, [id])
      else members.push(id)
    }
  }
}
