import type { VmEntry } from '@briarsaddle/key-ranges'
import { coordinatorsOf, spreadsCoordination, type CoordinatedEndpoint } from '../request/coordinator-assignment.js'

/** Load of a VM over the last seconds. */
export interface VmLoad {
  /** Share of the time in which the VM did not wait for events, 0 to 1. */
  readonly busyShare: number
  /** Requests of callers that the VM read. */
  readonly requestsPerSecond: number
}

/** What a plan is based on. */
export interface CoordinationState {
  /** All VMs, with the endpoints that were given to them before. */
  readonly vms: readonly VmEntry[]
  readonly endpoints: readonly CoordinatedEndpoint[]
  /** Load by VM. */
  readonly loads: ReadonlyMap<string, VmLoad>
  /** Requests a second by endpoint. */
  readonly rates: ReadonlyMap<string, number>
}

/** One endpoint that gets another coordinator. */
export interface CoordinationMove {
  readonly endpoint: string
  readonly from: string
  readonly to: string
}

// A VM that is busy for more of its time has little left for a rise of its load.
const fullShare = 0.8
// A move must lower the work of the busier of the two VMs by this share of the mean: the new coordinator does not know at first what
// its predecessor has sent.
const leastGain = 0.1
// Further moves wait until the effect of these has been measured.
const mostMoves = 4

interface VmWork {
  readonly id: string
  readonly weight: number
  readonly isFull: boolean
  requestsPerSecond: number
  readonly endpoints: Map<string, number>
}

/**
 * Plans which endpoints full VMs give to VMs with room, the busiest VM first. The requests of a VM's own callers cannot be moved, and requests are not
 * spread evenly over endpoints. Coordinating a request costs about as much as reading and answering it. Returns no moves while
 * no VM is full, and while the load of a VM is not known.
 */
export function planCoordination ({ vms, endpoints, loads, rates }: CoordinationState): readonly CoordinationMove[] {
  const work = new Map(vms.flatMap(({ id, weight = 1 }): Array<[string, VmWork]> => {
    const load = loads.get(id)
    return load === undefined ? [] : [[id, { id, weight, isFull: load.busyShare >= fullShare, requestsPerSecond: load.requestsPerSecond, endpoints: new Map() }]]
  }))
  if (!spreadsCoordination(vms) || work.size < vms.length || ![...work.values()].some(({ isFull }) => isFull)) return []
  for (const [endpoint, vm] of coordinatorsOf(vms, endpoints)) {
    const rate = rates.get(endpoint) ?? 0
    const coordinator = work.get(vm) as VmWork
    coordinator.endpoints.set(endpoint, rate)
    coordinator.requestsPerSecond += rate
  }
  const all = [...work.values()]
  const mean = all.reduce((sum, vm) => sum + vm.requestsPerSecond, 0) / all.reduce((sum, { weight }) => sum + weight, 0)
  const pools = new Map(endpoints.map(({ id, pool }) => [id, pool]))
  const mayCoordinate = (vm: VmWork, endpoint: string): boolean => vms.find(({ id }) => id === vm.id)?.cutFrom?.includes(pools.get(endpoint) ?? '') !== true
  const moves: CoordinationMove[] = []
  while (moves.length < mostMoves) {
    const move = bestMove(all, leastGain * mean, mayCoordinate)
    if (move === undefined) break
    const { endpoint, from, to } = move
    const rate = from.endpoints.get(endpoint) as number
    from.endpoints.delete(endpoint)
    to.endpoints.set(endpoint, rate)
    from.requestsPerSecond -= rate
    to.requestsPerSecond += rate
    moves.push({ endpoint, from: from.id, to: to.id })
  }
  return moves
}

/** Returns the move from the full VM with most work that lowers it most, by `leastGain` at least. */
function bestMove (all: readonly VmWork[], leastGain: number, mayCoordinate: (vm: VmWork, endpoint: string) => boolean): { readonly endpoint: string, readonly from: VmWork, readonly to: VmWork } | undefined {
  const workOf = ({ requestsPerSecond, weight }: VmWork): number => requestsPerSecond / weight
  const [from] = all.filter(({ isFull, endpoints }) => isFull && endpoints.size > 0).sort((one, other) => workOf(other) - workOf(one))
  const byWork = all.filter(vm => vm !== from).sort((one, other) => workOf(one) - workOf(other))
  if (from === undefined) return undefined
  let best: { readonly endpoint: string, readonly from: VmWork, readonly to: VmWork } | undefined
  let lowest = workOf(from) - leastGain
  for (const [endpoint, rate] of from.endpoints) {
    const to = byWork.find(vm => mayCoordinate(vm, endpoint))
    if (to === undefined) continue
    const after = Math.max((from.requestsPerSecond - rate) / from.weight, (to.requestsPerSecond + rate) / to.weight)
    if (after <= lowest) [best, lowest] = [{ endpoint, from, to }, after]
  }
  return best
}
