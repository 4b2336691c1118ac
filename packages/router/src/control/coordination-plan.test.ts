import { expect } from 'chai'
import { ManualClock, Random } from '@briarsaddle/common'
import type { VmEntry } from '@briarsaddle/key-ranges'
import { coordinatorsOf, spreadLevel, type CoordinatedEndpoint } from '../request/coordinator-assignment.js'
import { planCoordination, type CoordinationMove, type VmLoad } from './coordination-plan.js'
import { VmRoster, type RosterReport } from './vm-roster.js'

const vm = (id: string, dataCentre: string, weight = 0.54): VmEntry => ({ id, host: '127.0.0.1', port: 1, dataCentre, weight, level: spreadLevel })
const vms = [...['a1', 'a2', 'a3', 'a4'].map(id => vm(id, 'a')), ...['b1', 'b2', 'b3'].map(id => vm(id, 'b')), ...['c1', 'c2'].map(id => vm(id, 'c'))]
const endpointCounts = { a: 11, b: 11, c: 7 }
const endpoints = Object.entries(endpointCounts).flatMap(([dataCentre, count]) => Array.from({ length: count }, (_, index): CoordinatedEndpoint => ({ id: `e-${dataCentre}-${index}`, pool: 'ponds', dataCentre })))
const requestsPerSecond = 28
const rates = new Map(endpoints.map(({ id }) => [id, requestsPerSecond]))
/** The data centre with fewest VMs has most callers for each, and its VMs are full. */
const loads = new Map(vms.map(({ id, dataCentre }): [string, VmLoad] => [id, dataCentre === 'c' ? { requestsPerSecond: 200, busyShare: 1 } : { requestsPerSecond: 80, busyShare: 0.6 }]))

/** The list of VMs after moves. */
function apply (before: readonly VmEntry[], moves: readonly CoordinationMove[]): readonly VmEntry[] {
  return before.map(entry => {
    const coordinates = [...(entry.coordinates ?? []).filter(id => !moves.some(({ endpoint }) => endpoint === id)), ...moves.filter(({ to }) => to === entry.id).map(({ endpoint }) => endpoint)]
    return { ...entry, coordinates }
  })
}

function workOf (list: readonly VmEntry[], rateOf: ReadonlyMap<string, number> = rates): ReadonlyMap<string, number> {
  const work = new Map(list.map(({ id }) => [id, loads.get(id)?.requestsPerSecond ?? 0]))
  for (const [endpoint, coordinator] of coordinatorsOf(list, endpoints)) work.set(coordinator, (work.get(coordinator) ?? 0) + (rateOf.get(endpoint) ?? 0))
  return work
}

/** Plans until nothing changes. */
function settle (rateOf: ReadonlyMap<string, number>): readonly VmEntry[] {
  let list: readonly VmEntry[] = vms
  for (let round = 0; round < 20; round++) {
    const moves = planCoordination({ vms: list, endpoints, loads, rates: rateOf })
    if (moves.length === 0) return list
    list = apply(list, moves)
  }
  throw new Error('the plan does not settle')
}

describe('Coordinators of endpoints, with callers that reach some VMs more than others', () => {
  // Guards against VMs that are full of the requests of their own callers, and coordinate as much as VMs that have room (SHORT).
  it('are moved from full VMs to those with room, until these have as much to do', () => {
    const before = workOf(vms)
    const after = workOf(settle(rates))
    expect(Math.max(...before.values()) - Math.min(...before.values())).to.be.greaterThan(100)
    expect(Math.max(...after.values()) - Math.min(...after.values())).to.be.lessThan(80)
  })

  it('are moved by the requests of each endpoint, of which a few may have most', () => {
    const random = new Random(7)
    for (let round = 0; round < 20; round++) {
      const skewed = new Map(endpoints.map(({ id }) => [id, random.fraction() < 0.1 ? 150 : 20]))
      const before = Math.max(...workOf(vms, skewed).values())
      const after = Math.max(...workOf(settle(skewed), skewed).values())
      expect(after).to.be.at.most(before)
    }
  })

  it('are a few at a time, and none that would make another VM as full', () => {
    const moves = planCoordination({ vms, endpoints, loads, rates })
    expect(moves.length).to.be.within(1, 4)
    for (const { from, to } of moves) {
      expect(from).to.match(/^c/)
      expect(to).to.match(/^[ab]/)
    }
    expect(planCoordination({ vms, endpoints, loads, rates: new Map(endpoints.map(({ id }) => [id, id.startsWith('e-c-') ? 400 : 0])) }).length).to.be.lessThan(8)
  })

  it('stay while no VM is full, while the load of one is not known, and with VMs that do not know such moves', () => {
    expect(planCoordination({ vms, endpoints, rates, loads: new Map([...loads].map(([id, load]) => [id, { ...load, busyShare: 0.7 }])) })).to.deep.equal([])
    expect(planCoordination({ vms, endpoints, rates, loads: new Map([...loads].slice(1)) })).to.deep.equal([])
    expect(planCoordination({ vms: vms.map(({ level: _level, ...entry }) => entry), endpoints, rates, loads })).to.deep.equal([])
    expect(planCoordination({ vms, endpoints, rates, loads: new Map(vms.map(({ id }) => [id, { requestsPerSecond: 100, busyShare: 1 }])) }).length).to.be.at.most(1)
  })

  it('are not given to VMs that do not reach the pool', () => {
    const cutOff = vms.map(entry => entry.dataCentre === 'a' ? { ...entry, cutFrom: ['ponds'] } : entry)
    for (const { to } of planCoordination({ vms: cutOff, endpoints, rates, loads })) expect(to).to.match(/^b/)
  })

  it('are written to the list of VMs, change at most every five seconds, and go on under the next leader', () => {
    const clock = new ManualClock()
    const roster = new VmRoster(vm('c2', 'c'), clock, () => endpoints)
    roster.reset(vms)
    const report = (id: string): RosterReport => ({ watchers: [], leaving: false, cutOffPools: [], reachedPools: [], load: loads.get(id), endpointRates: id === 'c2' ? rates : new Map() })
    const round = (): void => roster.applyRound(new Map(vms.filter(({ id }) => id !== 'c2').map(({ id }) => [id, report(id)])), report('c2'))
    const given = (): readonly string[] => roster.vms.flatMap(({ coordinates = [] }) => coordinates)
    round()
    const first = given()
    expect(first).not.to.have.length(0)
    clock.advance(4_000)
    round()
    expect(given()).to.deep.equal(first)
    const next = new VmRoster(vm('a1', 'a'), clock, () => endpoints)
    next.reset(roster.vms)
    expect(next.vms).to.deep.equal(roster.vms)
    clock.advance(1_500)
    round()
    expect(given().length).to.be.greaterThan(first.length)
  })
})
