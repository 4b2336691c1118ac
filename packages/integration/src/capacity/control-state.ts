import { randomUUID } from 'node:crypto'
import {
  applyRecord, grantableBuckets, bucketsPerPool, decodeState, encodeState, KeyHasher, MembershipRing, parseRecord, planAssignment,
  type ControlRecord, type ControlState
} from '@briarsaddle/ownership'
import { Command, Option } from 'clipanion'
import { exampleRules } from '../bed/index.js'
import { CapacityCommand, numbers } from './capacity-command.js'
import { median } from './slope.js'
import { buildState } from './state-builder.js'

const coordinatedVms = 8
const rounds = 15
const keptStates = 64
const dataCentres = 6

/** `control-state`: size and time of records, checkpoints, plans, rings and states. */
export class ControlStateCommand extends CapacityCommand {
  static override paths = [['control-state']]
  static override usage = Command.Usage({ description: 'Bytes and time of the control state; run node with --expose-gc for memory' })

  readonly endpoints = Option.String('--endpoints', '20,100,650')
  readonly buckets = Option.String('--buckets', '1024,8192,65536')
  readonly pools = Option.String('--pools', '1,10')
  readonly ringVms = Option.String('--ring-vms', '8,100,300,650')

  protected override async measure (): Promise<void> {
    for (const endpoints of numbers(this.endpoints)) {
      for (const pools of numbers(this.pools)) {
        for (const buckets of numbers(this.buckets)) this.#measureState(endpoints, pools, buckets)
        this.#measureRecords(endpoints, pools)
      }
    }
    const hasher = await KeyHasher.create()
    for (const vms of numbers(this.ringVms)) this.#measureRing(hasher, vms)
  }

  #measureState (endpoints: number, pools: number, buckets: number): void {
    const size = { vms: coordinatedVms, endpoints, pools, buckets }
    const heapBefore = heapBytes()
    const state = buildState(size)
    const stateBytes = heapBytes() - heapBefore
    const text = encodeState(state)
    this.report({
      measured: 'state',
      endpoints,
      pools,
      buckets,
      heapBytes: stateBytes,
      checkpointBytes: text.length,
      encodeMilliseconds: time(() => encodeState(state)),
      decodeMilliseconds: buckets === bucketsPerPool ? time(() => decodeState(text)) : -1,
      heldForMilliseconds: time(() => grantableBuckets(state, 'endpoint-0')),
      // Every record that changes a pool copies its array of buckets, and the reader keeps this many former states.
      formerStateBytes: keptStates * buckets * 8
    })
  }

  /** Records on a state with the product's number of buckets. */
  #measureRecords (endpoints: number, pools: number): void {
    const state = buildState({ vms: coordinatedVms, endpoints, pools, buckets: bucketsPerPool })
    const lost = [...state.endpoints.values()].filter(({ description }) => description.dataCentre === 'dc-0').map(({ description }) => description.id)
    for (const record of sampleRecords(state)) {
      const body = JSON.stringify(record)
      const { voidReason } = applyRecord(state, state.position + 1, record)
      this.report({
        measured: `record ${record.kind}`,
        endpoints,
        pools,
        bytes: body.length,
        parseMicroseconds: 1000 * time(() => parseRecord(body)),
        applyMicroseconds: 1000 * time(() => applyRecord(state, state.position + 1, record)),
        void: voidReason ?? 'no'
      })
    }
    const pool = 'pool-0'
    const remaining = [...state.endpoints.keys()].filter(id => !lost.includes(id))
    const moves = planAssignment({ state, pool, endpoints: remaining })
    this.report({
      measured: 'lost data centre',
      endpoints,
      pools,
      lostEndpoints: lost.length,
      // One coordinator record per endpoint whose coordinator was there, one assignment and one release per lost endpoint of a keyed pool.
      leastRecords: Math.ceil(endpoints / dataCentres) + 2 * lost.length,
      movesInPool: moves.length,
      assignmentBytes: JSON.stringify(moves).length,
      planMilliseconds: time(() => planAssignment({ state, pool, endpoints: remaining }))
    })
  }

  /** The ring is rebuilt with every read of the VM list. */
  #measureRing (hasher: KeyHasher, vms: number): void {
    const members = Array.from({ length: vms }, (_, index) => ({ id: `vm-${index}`, dataCentre: `dc-${index % dataCentres}` }))
    const ring = new MembershipRing(hasher, members)
    this.report({
      measured: 'ring',
      vms,
      buildMilliseconds: time(() => new MembershipRing(hasher, members)),
      watchedFromMilliseconds: time(() => ring.watchedVms('vm-0')),
      watchersOfMicroseconds: 1000 * time(() => ring.rankedWatchers('vm-0')),
      preferredCoordinatorMicroseconds: 1000 * time(() => ring.preferredCoordinator({ id: 'endpoint-0', dataCentre: 'dc-0' }, new Map()))
    })
  }
}

function sampleRecords (state: ControlState): readonly ControlRecord[] {
  const pool = 'pool-0'
  const [first, second] = [...state.endpoints.values()].filter(({ description }) => description.pool === pool)
  if (first === undefined || second === undefined) throw new Error(`pool ${pool} needs two endpoints`)
  const owned = grantableBuckets(state, first.description.id)
  const base = state.pools.get(pool)?.version ?? -1
  const id = randomUUID
  return [
    { id: id(), kind: 'rules', base: state.rules.version, text: exampleRules('atlas'), author: 'capacity' },
    { id: id(), kind: 'coordinator', base: first.coordinator.token, endpoint: first.description, vm: 'vm-1', standby: 'vm-2' },
    { id: id(), kind: 'assignment', base, pool, moves: owned.map(({ bucket }) => ({ bucket, to: second.description.id })) },
    { id: id(), kind: 'drain', base: first.version, endpoint: first.description.id, author: 'capacity' },
    { id: id(), kind: 'checkpoint', position: state.position, state: encodeState(state) }
  ]
}

/** Median time of one call in milliseconds. */
function time (call: () => unknown): number {
  call()
  return median(Array.from({ length: rounds }, () => {
    const startedAt = performance.now()
    call()
    return performance.now() - startedAt
  }))
}

function heapBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
