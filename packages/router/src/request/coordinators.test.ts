import { expect } from 'chai'
import type { VmEntry } from '@briarsaddle/key-ranges'
import type { EndpointEntry } from '../endpoint-entry.js'
import { coordinatorsOf, spreadLevel } from './coordinator-assignment.js'
import { Coordinators } from './coordinators.js'

const vmsOf = (counts: Readonly<Record<string, number>>, fields: Partial<VmEntry> = {}): VmEntry[] =>
  Object.entries(counts).flatMap(([dataCentre, count]) => Array.from({ length: count }, (_, index) => ({ id: `vm-${dataCentre}-${index}`, host: '127.0.0.1', port: 1, dataCentre, weight: 0.54, level: spreadLevel, ...fields })))
const endpointsOf = (counts: Readonly<Record<string, number>>, seed = 0): EndpointEntry[] =>
  Object.entries(counts).flatMap(([dataCentre, count]) => Array.from({ length: count }, (_, index) => ({ id: `e-${seed}-${dataCentre}-${index}`, pool: 'ponds', host: '127.0.0.1', port: 1, dataCentre, slots: 3, leaving: false, life: 1, warmUpMilliseconds: 0 })))
const directoryOf = (endpoints: readonly EndpointEntry[]): ReadonlyMap<string, EndpointEntry> => new Map(endpoints.map(entry => [entry.id, entry]))

function countByVm (assigned: ReadonlyMap<string, string>): Map<string, number> {
  const counts = new Map<string, number>()
  for (const vm of assigned.values()) counts.set(vm, (counts.get(vm) ?? 0) + 1)
  return counts
}

describe('Coordinators of a data centre with few VMs', () => {
  const vms = vmsOf({ a: 4, b: 3, c: 2 })

  // Guards against one of two VMs that coordinates nearly all endpoints of its data centre, is full, and is late with all of their requests (SHORT).
  it('are spread evenly over its VMs, whatever the endpoints are called', () => {
    for (let seed = 0; seed < 50; seed++) {
      const endpoints = endpointsOf({ a: 11, b: 11, c: 7 }, seed)
      const coordinators = new Coordinators()
      coordinators.update(vms)
      coordinators.updateEndpoints(directoryOf(endpoints))
      const chosen = new Map(endpoints.map(entry => [entry.id, coordinators.of(entry) as string]))
      const counts = countByVm(chosen)
      expect(Math.max(...counts.values()), `seed ${seed}`).to.be.at.most(4)
      expect(Math.min(...vms.map(({ id }) => counts.get(id) ?? 0)), `seed ${seed}`).to.be.at.least(1)
      for (const entry of endpoints) expect(chosen.get(entry.id)).to.include(`vm-${entry.dataCentre}`)
    }
  })

  it('are the VMs that the leader gave endpoints to, unless these are cut off', () => {
    const endpoints = endpointsOf({ a: 11, b: 11, c: 7 })
    const before = coordinatorsOf(vms, endpoints)
    const given = endpoints.filter(({ dataCentre }) => dataCentre === 'c').slice(0, 3).map(({ id }) => id)
    const after = coordinatorsOf(vms.map(vm => vm.id === 'vm-a-0' ? { ...vm, coordinates: given } : vm), endpoints)
    for (const { id } of endpoints) expect(after.get(id)).to.equal(given.includes(id) ? 'vm-a-0' : before.get(id))
    expect(coordinatorsOf(vms.map(vm => vm.id === 'vm-a-0' ? { ...vm, coordinates: given, cutFrom: ['ponds'] } : vm), endpoints).get(given[0] as string)).to.equal(before.get(given[0] as string))
  })

  it('change for few endpoints when an endpoint or a VM goes', () => {
    const endpoints = endpointsOf({ a: 110, b: 110, c: 70 })
    const before = coordinatorsOf(vms, endpoints)
    const changed = (after: ReadonlyMap<string, string>, vm = ''): number => [...after].filter(([id, other]) => before.get(id) !== other && before.get(id) !== vm).length
    expect(changed(coordinatorsOf(vms, endpoints.slice(1)))).to.be.at.most(10)
    // All endpoints of the VM get others, and some give way to them.
    expect(changed(coordinatorsOf(vms.filter(({ id }) => id !== 'vm-a-0'), endpoints), 'vm-a-0')).to.be.at.most(45)
  })

  it('are not VMs that are cut off from the pool, nor avoided ones', () => {
    const endpoints = endpointsOf({ c: 7 })
    const coordinators = new Coordinators()
    coordinators.update(vms.map(vm => vm.id === 'vm-c-0' ? { ...vm, cutFrom: ['ponds'] } : vm))
    coordinators.updateEndpoints(directoryOf(endpoints))
    for (const entry of endpoints) {
      const first = coordinators.of(entry)
      expect(first).not.to.equal('vm-c-0')
      expect(coordinators.of(entry, vm => vm === first)).not.to.equal(first)
    }
  })

  // Guards against VMs of two builds that choose different coordinators for the same endpoints while VMs are replaced.
  it('are chosen as former builds do while one of them is on the list', () => {
    const endpoints = endpointsOf({ a: 11, b: 11, c: 7 })
    const former = new Coordinators()
    former.update(vms.map(({ level: _level, ...vm }) => vm))
    const mixed = new Coordinators()
    mixed.update(vms.map(({ level: _level, ...vm }, index) => index === 0 ? vm : { ...vm, level: spreadLevel }))
    mixed.updateEndpoints(directoryOf(endpoints))
    for (const entry of endpoints) expect(mixed.of(entry)).to.equal(former.of(entry))
  })

  it('are assigned within milliseconds in a fleet of 654 VMs', () => {
    const fleet = vmsOf(Object.fromEntries(['a', 'b', 'c', 'd', 'e', 'f'].map(name => [name, 109])))
    const endpoints = endpointsOf(Object.fromEntries(['a', 'b', 'c', 'd', 'e', 'f'].map(name => [name, 350])))
    const startedAt = performance.now()
    const counts = countByVm(coordinatorsOf(fleet, endpoints))
    expect(performance.now() - startedAt).to.be.lessThan(400)
    expect(Math.max(...counts.values())).to.be.at.most(4)
  })
})
