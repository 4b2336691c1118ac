import { randomUUID } from 'node:crypto'
import { initialState, type BucketState, type ControlState, type EndpointState } from '@briarsaddle/ownership'

/** Size of a state that is built for a measurement. */
export interface StateSize {
  readonly vms: number
  readonly endpoints: number
  readonly pools: number
  /** Buckets per pool; the product uses `bucketsPerPool`. */
  readonly buckets: number
}

const recentIds = 512
const tokens = 16

/** Builds a state directly, because the reducer only knows the product's number of buckets. */
export function buildState ({ vms, endpoints, pools, buckets }: StateSize): ControlState {
  const all = Array.from({ length: endpoints }, (_, index) => endpoint(index, vms, pools))
  const byPool = new Map<string, string[]>()
  for (const { description } of all) byPool.set(description.pool, [...byPool.get(description.pool) ?? [], description.id])
  return {
    ...initialState(),
    position: endpoints + pools * tokens,
    endpoints: new Map(all.map(state => [state.description.id, state])),
    pools: new Map([...byPool].map(([id, owners]) => [id, { version: endpoints, buckets: Array.from({ length: buckets }, (_, bucket) => owned(bucket, owners, endpoints)) }])),
    recentIds: Array.from({ length: recentIds }, () => randomUUID())
  }
}

function endpoint (index: number, vms: number, pools: number): EndpointState {
  return {
    description: { id: `endpoint-${index}`, pool: `pool-${index % pools}`, dataCentre: `dc-${index % 6}`, host: `10.0.${index >> 8}.${index & 255}`, port: 8080, checks: true },
    coordinator: { vm: `vm-${index % vms}`, token: index, standby: `vm-${(index + 1) % vms}` },
    leaving: false,
    version: index
  }
}

/** Owners alternate from bucket to bucket as the first assignment leaves them, so that no two neighbours are equal. */
function owned (bucket: number, owners: readonly string[], firstToken: number): BucketState {
  return { owner: owners[bucket % owners.length] ?? '', token: firstToken + bucket % tokens, pendingFrom: undefined, former: undefined }
}
