import type { ControlState, EndpointState } from '@briarsaddle/ownership'

/** Endpoint and VMs to which a request is sent under one control state. */
export interface Destination {
  readonly endpoint: string
  /** VM that coordinates the endpoint. */
  readonly coordinator: string
  /** VM that coordinates the endpoint provisionally when the coordinator is lost while the log is down. */
  readonly standby: string | undefined
  /** Identifies the endpoint, its coordinator token and the token of the bucket; a change of any of them changes the version. */
  readonly version: string
}

/** Reason why the control state gives a request no destination at the moment. */
export type NoDestinationReason = 'bucket_unassigned' | 'bucket_pending' | 'endpoint_unknown' | 'no_endpoint'

/** Returns the destination of requests for a bucket, or the reason why there is none. */
export function bucketDestination (state: ControlState, pool: string, bucket: number): Destination | NoDestinationReason {
  const bucketState = state.pools.get(pool)?.buckets[bucket]
  if (bucketState === undefined) return 'bucket_unassigned'
  if (bucketState.pendingFrom !== undefined) return 'bucket_pending'
  const endpoint = state.endpoints.get(bucketState.owner)
  return endpoint === undefined ? 'endpoint_unknown' : endpointDestination(endpoint, bucketState.token)
}

/** Returns an endpoint as a destination; `grant` is the token of the bucket, or 0 without a bucket. */
export function endpointDestination (endpoint: EndpointState, grant = 0): Destination {
  const { vm, token, standby } = endpoint.coordinator
  return { endpoint: endpoint.description.id, coordinator: vm, standby, version: `${endpoint.description.id} ${token} ${grant}` }
}

/** Lists the endpoints of pools, for requests without a bucket. The lists are cached until the state changes. */
export class PoolMembers {
  #state: ControlState | undefined
  #members = new Map<string, string[]>()

  /** Returns the ids of the endpoints in the pool that are not leaving. */
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
