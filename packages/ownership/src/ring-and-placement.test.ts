import { expect } from 'chai'
import fc from 'fast-check'
import { KeyHasher, MembershipRing, applyRecord, bucketsPerPool, initialState, parseRecord, planAssignment } from './index.js'
import type { ControlRecord, ControlState, Moves } from './index.js'

const seed = Number(process.env['BRIARSADDLE_TEST_SEED'] ?? 4711)
let hasher: KeyHasher
before(async () => { hasher = await KeyHasher.create() })

describe('KeyHasher', () => {
  it('maps a key to the same bucket in every version, because the log stores bucket numbers', () => {
    // 0x199 is the remainder of the published xxhash64 of the empty string, ef46db3751d8e999.
    expect([hasher.bucketOf('pond-17', 1024), hasher.bucketOf('', 1024), hasher.ringPosition('vm0')]).to.deep.equal([859, 0x199, 1483289409178400])
  })
})

describe('MembershipRing', () => {
  const vms = Array.from({ length: 12 }, (_, index) => ({ id: `vm${index}`, dataCentre: 'abc'[index % 3] as string }))

  it('gives each VM four watchers that are not suspected, the first of them in another data centre', () => {
    const suspected = new Set(['vm1', 'vm4', 'vm5'])
    for (const list of [vms, vms.map(vm => vm.id === 'vm0' ? vm : { ...vm, dataCentre: 'b' })]) {
      const ring = new MembershipRing(hasher, list, suspected)
      for (const { id, dataCentre } of list) {
        const watchers = ring.rankedWatchers(id)
        expect(watchers.map(vm => vm.id)).to.have.members(ring.nearestWatchers(id).map(vm => vm.id)).and.have.lengthOf(4)
        expect(watchers.some(vm => vm.id === id || suspected.has(vm.id))).to.equal(false)
        if (list === vms) expect(watchers[0]?.dataCentre).not.to.equal(dataCentre)
        for (const watcher of watchers) expect(ring.watchedVms(watcher.id).map(vm => vm.id)).to.include(id)
      }
    }
    expect(new MembershipRing(hasher, vms.slice(0, 3)).rankedWatchers('vm0')).to.have.lengthOf(2)
  })

  it('keeps the number of endpoints of each VM within the bound and prefers VMs outside the data centre of the endpoint', () => {
    const counts = new Map<string, number>()
    const ring = new MembershipRing(hasher, vms)
    for (let index = 0; index < 40; index++) {
      const vm = ring.preferredCoordinator({ id: `endpoint${index}`, dataCentre: 'a' }, counts)
      if (vm === undefined) throw new Error('no coordinator')
      counts.set(vm.id, (counts.get(vm.id) ?? 0) + 1)
      expect(counts.get(vm.id)).to.be.at.most(Math.ceil((index + 1) / vms.length) + 1)
    }
    expect(counts.get('vm0') ?? 0, 'same data centre').to.be.at.most(2)
    expect(new MembershipRing(hasher, vms, new Set(vms.map(vm => vm.id))).preferredCoordinator({ id: 'e', dataCentre: 'a' }, counts)).to.equal(undefined)
  })
})

describe('planAssignment', () => {
  let ids = 0
  const add = (state: ControlState, record: Record<string, unknown>): ControlState => {
    const parsed = parseRecord(JSON.stringify({ id: `00000000-0000-4000-8000-${String(ids++).padStart(12, '0')}`, ...record })).record as ControlRecord
    const applied = applyRecord(state, state.position + 1, parsed)
    expect(applied.voidReason).to.equal(undefined)
    return applied.state
  }
  const join = (state: ControlState, id: string): ControlState =>
    add(state, { kind: 'coordinator', base: -1, vm: 'vm', endpoint: { id, pool: 'p', dataCentre: 'a', host: 'h', port: 1, checks: true } })
  const assign = (state: ControlState, moves: Moves): ControlState => add(state, { kind: 'assignment', pool: 'p', base: state.pools.get('p')?.version ?? -1, moves })
  const release = (state: ControlState): ControlState => {
    const version = state.pools.get('p')?.version ?? -1
    const buckets = state.pools.get('p')?.buckets.flatMap((bucket, index) => bucket?.token === version && bucket.pendingFrom !== undefined ? [index] : []) ?? []
    return buckets.length === 0 ? state : add(state, { kind: 'released', pool: 'p', assignment: version, buckets })
  }
  const loads = (state: ControlState, endpoints: readonly string[]): number[] =>
    endpoints.map(id => state.pools.get('p')?.buckets.filter(bucket => bucket?.owner === id).length ?? 0)
  const spread = (values: readonly number[]): number => Math.max(...values) - Math.min(...values)

  it('moves as few buckets as possible after endpoints join or are lost, a few at a time for balance, and stops when balanced', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 6 }), fc.array(fc.boolean(), { maxLength: 6 }), (count, changes) => {
      let endpoints = Array.from({ length: count }, (_, index) => `e${index}`)
      let state = endpoints.reduce(join, initialState())
      state = assign(state, planAssignment({ state, pool: 'p', endpoints }))
      expect(spread(loads(state, endpoints))).to.be.at.most(1)
      for (const [step, joins] of changes.entries()) {
        if (joins) state = join(state, `joined${step}`)
        const lost = joins || endpoints.length < 2 ? 0 : loads(state, endpoints)[0] ?? 0
        endpoints = joins ? [...endpoints, `joined${step}`] : endpoints.length < 2 ? endpoints : endpoints.slice(1)
        let moved = 0
        for (let moves = planAssignment({ state, pool: 'p', endpoints }); moves.length > 0; moves = planAssignment({ state, pool: 'p', endpoints })) {
          if (joins) expect(moves.length).to.be.at.most(16)
          state = assign(state, moves)
          moved += moves.length
          if (joins) expect(planAssignment({ state, pool: 'p', endpoints, maximumBalanceMoves: moves.length }), 'pending buckets count towards the limit').to.deep.equal([])
          state = release(state)
        }
        expect(moved).to.be.at.most(joins ? Math.ceil(bucketsPerPool / endpoints.length) : lost)
        expect(loads(state, endpoints).reduce((sum, load) => sum + load, 0)).to.equal(bucketsPerPool)
        expect(spread(loads(state, endpoints))).to.be.at.most(1)
      }
    }), { seed, numRuns: 30 })
  })

  it('gives a pending bucket back to the endpoint that still holds it when the new owner is lost', () => {
    let state = join(join(initialState(), 'a'), 'b')
    state = assign(state, planAssignment({ state, pool: 'p', endpoints: ['a'] }))
    state = assign(state, planAssignment({ state, pool: 'p', endpoints: ['a', 'b'], maximumBalanceMoves: 3 }))
    const back = planAssignment({ state, pool: 'p', endpoints: ['a'] })
    expect(back.map(({ to }) => to)).to.deep.equal(['a', 'a', 'a'])
    expect(assign(state, back).pools.get('p')?.buckets.some(bucket => bucket?.pendingFrom !== undefined)).to.equal(false)
  })

  it('gives no buckets to endpoints to avoid, and plans no moves when no endpoint can own buckets', () => {
    const state = join(join(initialState(), 'a'), 'b')
    expect(new Set(planAssignment({ state, pool: 'p', endpoints: ['a', 'b'], avoid: new Set(['a']) }).map(({ to }) => to))).to.deep.equal(new Set(['b']))
    expect(planAssignment({ state, pool: 'p', endpoints: ['x'] })).to.deep.equal([])
  })
})
