import { createHash } from 'node:crypto'
import type { VmEntry } from '@briarsaddle/key-ranges'

/** Feature level of builds that choose coordinators by `coordinatorsOf`. */
export const spreadLevel = 1

/** Feature level of this build. */
export const featureLevel = spreadLevel

/** An endpoint that needs a coordinator. */
export interface CoordinatedEndpoint {
  readonly id: string
  readonly pool: string
  readonly dataCentre: string
}

interface Candidate {
  readonly vm: VmEntry
  readonly hash: number
  /** Highest number of endpoints that it coordinates. */
  readonly capacity: number
  assigned: number
}

/** Whether all VMs know `coordinatorsOf`. Until then the first VM in the order of each endpoint is its coordinator. */
export function spreadsCoordination (vms: readonly VmEntry[]): boolean {
  return vms.length > 0 && vms.every(({ level = 0 }) => level >= spreadLevel)
}

/**
 * Returns the coordinator of each endpoint, by id: the VM that the leader has given it to, or else a VM of its data centre. The endpoints of a data centre
 * are spread over its VMs by their processor time: with rendezvous hashing alone, one of two VMs could get nearly all of them. A change
 * of one VM or endpoint changes few other assignments.
 */
export function coordinatorsOf (vms: readonly VmEntry[], endpoints: readonly CoordinatedEndpoint[]): ReadonlyMap<string, string> {
  const given = new Map(vms.flatMap(vm => (vm.coordinates ?? []).map(endpoint => [endpoint, vm])))
  const coordinators = new Map<string, string>()
  for (const dataCentre of new Set(endpoints.map(endpoint => endpoint.dataCentre))) {
    const near = endpoints.filter(endpoint => endpoint.dataCentre === dataCentre)
    const own = vms.filter(vm => vm.dataCentre === dataCentre)
    const candidates = candidatesFor(own.length > 0 ? own : vms, near.length)
    const ordered = near.map(endpoint => ({ endpoint, hash: shortHashOf(endpoint.id) })).sort((one, other) => one.hash - other.hash || (one.endpoint.id < other.endpoint.id ? -1 : 1))
    for (const { endpoint, hash } of ordered) {
      const reaching = candidates.filter(({ vm }) => !isCutOff(vm, endpoint))
      const best = highestRanked(reaching.filter(({ assigned, capacity }) => assigned < capacity), hash) ?? highestRanked(reaching, hash)
      if (best === undefined) continue
      best.assigned++
      coordinators.set(endpoint.id, best.vm.id)
    }
  }
  for (const endpoint of endpoints) {
    const vm = given.get(endpoint.id)
    if (vm !== undefined && !isCutOff(vm, endpoint)) coordinators.set(endpoint.id, vm.id)
  }
  return coordinators
}

function isCutOff ({ cutFrom }: VmEntry, { pool }: CoordinatedEndpoint): boolean {
  return cutFrom?.includes(pool) === true
}

function candidatesFor (vms: readonly VmEntry[], endpoints: number): readonly Candidate[] {
  const total = vms.reduce((sum, { weight = 1 }) => sum + weight, 0)
  return vms.map((vm): Candidate => ({ vm, hash: shortHashOf(vm.id), capacity: Math.ceil(endpoints * (vm.weight ?? 1) / total), assigned: 0 }))
}

function highestRanked (candidates: readonly Candidate[], endpointHash: number): Candidate | undefined {
  let best: Candidate | undefined
  let highest = -1
  for (const candidate of candidates) {
    const score = mix(candidate.hash, endpointHash)
    if (score > highest) [best, highest] = [candidate, score]
  }
  return best
}

const hashBytes = 6
const shortHashBytes = 4

/** Returns a number of 48 bits that depends on the text only. */
export function hashOf (text: string): number {
  return createHash('sha256').update(text).digest().readUIntBE(0, hashBytes)
}

function shortHashOf (text: string): number {
  return createHash('sha256').update(text).digest().readUIntBE(0, shortHashBytes)
}

/** Combines two hashes with the finalizer of MurmurHash3, since a cryptographic hash of each pair would take too long in a large fleet. */
function mix (one: number, other: number): number {
  let hash = one ^ Math.imul(other, 0x9e3779b1)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
