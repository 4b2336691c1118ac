import { Random } from '@briarsaddle/common'
import { expect } from 'chai'
import fc from 'fast-check'
import {
  ControlReader, EndpointClock, CoordinatorLease, LeaseExpiryTracker, WitnessRound, grantableBuckets, bucketsToRelease, compareTokens, defaultLeaseOptions, encodeState,
  isMajority, newestWitnessList, witnessAnswer,
  type ControlPage, type ControlRecord, type ControlState, type CoordinatorToken, type FencedBucket, type ReadRecord, type WitnessRequest
} from './index.js'

/** Seed of all runs in this file; set BRIARSADDLE_TEST_SEED to explore other runs. */
const seed = Number(process.env['BRIARSADDLE_TEST_SEED'] ?? 4711)
const runs = Number(process.env['BRIARSADDLE_TEST_RUNS'] ?? 100)

const pool = 'ledger'
const vmNames = ['vm0', 'vm1', 'vm2', 'vm3', 'vm4']
const endpointNames = ['endpoint0', 'endpoint1', 'endpoint2']
const usedBuckets = 6
const grantTimeToLive = 400
const stepMilliseconds = 50
const scenarioMilliseconds = 5000
/** A restarted endpoint accepts no grants until leases from before its start have expired; the last test shows why. */
const endpointRestartMilliseconds = 600

/** Safety mechanisms that a run disables, to show that the checked property depends on them. */
interface Mutations {
  /** Buckets are released as soon as a majority has read the assignment, without waiting for leases to expire. */
  readonly releaseWithoutWaiting?: boolean
  /** Endpoints accept a delayed `renew` that is older than the last accepted one. */
  readonly acceptLateRenew?: boolean
  /** Coordinators take any response to a `renew` as an acknowledgement of assignments that this `renew` did not contain. */
  readonly acknowledgeUnseen?: boolean
  /** Endpoints accept renewals with lower coordinator tokens. */
  readonly acceptLowerTokens?: boolean
  /** Witnesses confirm an endpoint although they have read a newer record for it. */
  readonly confirmOutdated?: boolean
  /** Leases last twice as long as the releasing side assumes. */
  readonly longLeases?: boolean
}

type FaultKind = 'pauseVm' | 'restartVm' | 'freezeEndpoint' | 'restartEndpoint' | 'logDown' | 'cutVm' | 'discardLog' | 'slowNetwork'

interface Scenario {
  readonly seed: number
  /** Deviations of the clock rates of the VMs, then of the endpoints, from real time, in thousandths of 1 %. */
  readonly drifts: readonly number[]
  readonly faults: ReadonlyArray<{ readonly at: number, readonly kind: FaultKind, readonly target: number, readonly duration: number }>
}

const scenarioArbitrary: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer(),
  drifts: fc.array(fc.integer({ min: -1000, max: 1000 }), { minLength: 8, maxLength: 8 }),
  faults: fc.array(fc.record({
    at: fc.integer({ min: 300, max: scenarioMilliseconds }),
    kind: fc.constantFrom<FaultKind[]>('pauseVm', 'restartVm', 'freezeEndpoint', 'restartEndpoint', 'logDown', 'cutVm', 'discardLog', 'slowNetwork'),
    target: fc.nat(4),
    duration: fc.integer({ min: 50, max: 1500 })
  }), { maxLength: 14 })
})

/** How often each mechanism ran. Every count must be above 0, so that a model that exercises nothing does not pass. */
const counts = { grants: 0, releasedByAcknowledgement: 0, releasedByWaiting: 0, provisional: 0, peerStates: 0, checkpointStarts: 0, doubled: 0, witnessLists: 0, witnessRights: 0 }

/** A simulated process with its own clock. It can be paused, or replaced by a restart. */
class Process {
  alive = true
  pausedUntil = 0
  readonly #start: number

  constructor (readonly world: World, readonly name: string, readonly rate: number) {
    this.#start = world.random.integer(0, 100_000)
  }

  clock (): number { return this.#start + this.world.now * this.rate }
}

/** The simulated log, with a reference reader that applies every record as it is appended. */
class ModelLog {
  first = 0
  downUntil = 0
  readonly bodies: string[] = []
  readonly reference = new ControlReader()
  /** Encoded state of the reference reader by position. */
  readonly references = new Map<number, string>()
  readonly read: ReadRecord[] = []

  append (body: string): number {
    const offset = this.bodies.push(body) - 1
    this.read.push(...this.reference.feed(pageOf(this.bodies, 0, offset)).read)
    const state = this.reference.state
    if (state !== undefined) this.references.set(offset, encodeState(state))
    const { id, kind } = JSON.parse(body) as ControlRecord
    if (kind !== 'checkpoint' && this.read.slice(0, -1).some(({ record }) => record.id === id)) {
      counts.doubled++
      expect(this.read.at(-1)?.voidReason, 'a duplicate record took effect twice').not.to.equal(undefined)
    }
    return offset
  }

  page (from: number, limit: number): ControlPage | undefined {
    return from < this.first ? undefined : pageOf(this.bodies, this.first, from, limit)
  }
}

function pageOf (bodies: readonly string[], first: number, from: number, limit = bodies.length): ControlPage {
  return { first, next: bodies.length, records: bodies.slice(from, from + limit).map((body, index) => ({ offset: from + index, body })) }
}

/** The simulation: virtual time, the network, all processes and the injected faults. */
class World {
  now = 0
  slowUntil = 0
  readonly random: Random
  readonly log = new ModelLog()
  readonly vms: Vm[]
  readonly endpoints: Endpoint[]
  readonly acknowledged = new Set<number>()
  readonly #events: Array<{ readonly at: number, readonly run: () => void }> = []

  constructor (readonly scenario: Scenario, readonly mutations: Mutations) {
    this.random = new Random(scenario.seed)
    const rate = (index: number): number => 1 + (scenario.drifts[index] ?? 0) / 100_000
    this.vms = vmNames.map((name, index) => new Vm(this, name, rate(index), 0))
    this.endpoints = endpointNames.map((name, index) => new Endpoint(this, name, rate(vmNames.length + index)))
    this.#appendFirstRecords()
    for (const vm of this.vms) vm.step()
    for (const fault of scenario.faults) this.at(fault.at, () => this.#inject(fault))
  }

  /** Runs the scenario to its end, then compares readers that start at the beginning and at each checkpoint. */
  run (): void {
    for (let event = this.#events.shift(); event !== undefined && event.at < scenarioMilliseconds; event = this.#events.shift()) {
      this.now = event.at
      event.run()
    }
    this.#compareReaders()
  }

  at (time: number, run: () => void): void {
    let index = this.#events.length
    while (index > 0 && (this.#events[index - 1]?.at ?? 0) > time) index--
    this.#events.splice(index, 0, { at: time, run })
  }

  /** A UUID from the seeded random generator, so that runs are reproducible. */
  uuid (): string {
    const hex = (digits: number): string => Array.from({ length: digits }, () => this.random.integer(0, 15).toString(16)).join('')
    return `${hex(8)}-${hex(4)}-4${hex(3)}-8${hex(3)}-${hex(12)}`
  }

  chance (probability: number): boolean { return this.random.fraction() < probability }

  /** Delivers a message, sometimes late, twice or not at all. A paused process receives it when it resumes; a stopped one never does. */
  send (target: Process | undefined, deliver: () => void): void {
    if (this.chance(0.03)) return
    for (let copies = this.chance(0.05) ? 2 : 1; copies > 0; copies--) {
      const late = this.now < this.slowUntil || this.chance(0.04)
      this.#deliver(target, this.now + this.random.integer(1, late ? 600 : 8), deliver)
    }
  }

  #deliver (target: Process | undefined, time: number, deliver: () => void): void {
    this.at(time, () => {
      if (target?.alive === false) return
      if (target !== undefined && target.pausedUntil > this.now) this.#deliver(target, target.pausedUntil + this.random.fraction(), deliver)
      else deliver()
    })
  }

  /** The checked property: when a bucket is granted, no other endpoint has an unexpired grant of it. */
  checkGrant (bucket: number, endpoint: Endpoint): void {
    counts.grants++
    for (const other of this.endpoints) {
      if (other.name !== endpoint.name && other.holds(bucket)) {
        throw new Error(`at ${this.now} bucket ${bucket} is granted at ${endpoint.name} while ${other.name} holds it; log: ${this.log.bodies.slice(5).join('\n')}`)
      }
    }
  }

  #appendFirstRecords (): void {
    const append = (record: Record<string, unknown>): number => this.log.append(JSON.stringify({ id: this.uuid(), base: -1, ...record }))
    append({ kind: 'witnesses', vms: vmNames.slice(0, 3) })
    endpointNames.forEach((id, index) => append({ kind: 'coordinator', vm: `vm${index}.0`, endpoint: { id, pool, dataCentre: 'a', host: 'localhost', port: 1, checks: true } }))
    append({ kind: 'assignment', pool, moves: Array.from({ length: usedBuckets }, (_, bucket) => ({ bucket, to: endpointNames[bucket % endpointNames.length] })) })
  }

  #inject ({ kind, target, duration }: Scenario['faults'][number]): void {
    const vm = this.vms[target] as Vm
    const endpointIndex = target % endpointNames.length
    const endpoint = this.endpoints[endpointIndex] as Endpoint
    switch (kind) {
      case 'pauseVm': vm.pausedUntil = this.now + duration; break
      case 'freezeEndpoint': endpoint.pausedUntil = this.now + duration; break
      case 'logDown': this.log.downUntil = this.now + duration; break
      case 'cutVm': vm.cutUntil = this.now + duration; break
      case 'slowNetwork': this.slowUntil = this.now + duration; break
      case 'discardLog': this.#discard(); break
      case 'restartVm':
        vm.alive = false
        this.vms[target] = new Vm(this, vm.name, vm.rate, vm.generation + 1)
        this.vms[target].step()
        break
      case 'restartEndpoint':
        endpoint.alive = false
        this.endpoints[endpointIndex] = new Endpoint(this, endpoint.name, endpoint.rate)
        this.endpoints[endpointIndex].pausedUntil = this.now + endpointRestartMilliseconds
    }
  }

  /** Checkpoints that took effect. */
  #checkpoints (): Array<{ readonly offset: number, readonly position: number }> {
    return this.log.read.flatMap(({ offset, record, voidReason }) => record.kind === 'checkpoint' && voidReason === undefined ? [{ offset, position: record.position }] : [])
  }

  #discard (): void {
    this.log.first = Math.max(this.log.first, (this.#checkpoints().at(-1)?.position ?? -1) + 1)
  }

  #compareReaders (): void {
    const last = this.log.bodies.length - 1
    for (const first of [0, ...this.#checkpoints().map(checkpoint => checkpoint.position + 1)]) {
      const reader = new ControlReader()
      reader.discardedBefore(first)
      while (reader.nextOffset <= last) expect(reader.feed(pageOf(this.log.bodies, first, reader.nextOffset, 3)).problems).to.deep.equal([])
      expect(reader.state === undefined ? undefined : encodeState(reader.state), `reading from ${first}`).to.equal(this.log.references.get(last))
    }
    for (const vm of this.vms) this.checkAcknowledged(vm)
    counts.witnessLists += this.log.read.filter(({ record, voidReason }) => record.kind === 'witnessesSettled' && voidReason === undefined).length
  }

  /** Checks that no acknowledged assignment is lost: a VM that has read past it has this assignment or a later one of the same bucket. */
  checkAcknowledged (vm: Vm): void {
    const state = vm.reader.state
    for (const { offset, record, voidReason } of this.log.read) {
      if (state === undefined || state.position < offset || record.kind !== 'assignment' || voidReason !== undefined || !this.acknowledged.has(offset)) continue
      for (const { bucket } of record.moves) {
        if ((state.pools.get(pool)?.buckets[bucket]?.token ?? -1) < offset) throw new Error(`the acknowledged assignment ${offset} was lost`)
      }
    }
  }
}

interface Renewal {
  readonly vm: string
  readonly token: CoordinatorToken
  readonly instance: number
  readonly buckets: readonly FencedBucket[]
  readonly validUntil: number
}

/** An endpoint process. A restart creates a new instance. */
class Endpoint extends Process {
  readonly instance = this.world.random.integer(0, 1_000_000_000)
  #accepted: { readonly vm: string, readonly token: CoordinatorToken } | undefined
  #lastValidUntil = Number.NEGATIVE_INFINITY
  readonly #grants = new Map<number, number>()
  /** Buckets of the last renewal: granted and not revoked, even if the grant has expired. */
  #listed: ReadonlySet<number> = new Set()

  holds (bucket: number): boolean { return (this.#grants.get(bucket) ?? Number.NEGATIVE_INFINITY) > this.clock() }

  hello (vm: string, token: CoordinatorToken): { readonly instance: number, readonly clock: number, readonly granted: readonly number[] } | undefined {
    const order = this.#accepted === undefined ? 1 : compareTokens(token, this.#accepted.token)
    if (order < 0 || (order === 0 && this.#accepted?.vm !== vm)) return undefined
    if (order > 0) this.#lastValidUntil = Number.NEGATIVE_INFINITY
    this.#accepted = { vm, token }
    return { instance: this.instance, clock: this.clock(), granted: [...this.#listed] }
  }

  renew ({ vm, token, instance, buckets, validUntil }: Renewal): { readonly clock: number, readonly stillHeld: readonly number[] } | undefined {
    const { acceptLowerTokens, acceptLateRenew } = this.world.mutations
    if (instance !== this.instance || this.#accepted === undefined || validUntil <= this.clock()) return undefined
    if (acceptLowerTokens !== true && (compareTokens(token, this.#accepted.token) !== 0 || vm !== this.#accepted.vm)) return undefined
    // Otherwise a delayed `renew` would grant buckets again that a newer one revoked and the endpoint acknowledged.
    if (acceptLateRenew !== true && validUntil <= this.#lastValidUntil) return undefined
    this.#lastValidUntil = validUntil
    const listed = new Set(buckets.map(({ bucket }) => bucket))
    this.#listed = listed
    // A revoked bucket with running requests stays held until they end or its grant expires.
    for (const bucket of this.#grants.keys()) if (!listed.has(bucket) && this.world.chance(0.8)) this.#grants.delete(bucket)
    for (const bucket of listed) {
      this.#grants.set(bucket, validUntil)
      this.world.checkGrant(bucket, this)
    }
    return { clock: this.clock(), stillHeld: [...this.#grants.keys()].filter(bucket => !listed.has(bucket) && this.holds(bucket)) }
  }
}

interface Session {
  readonly token: CoordinatorToken
  readonly clock: EndpointClock
  instance: number | undefined
  granted: ReadonlySet<number>
  lastValidUntil: number
}

/** A VM process: reads the log, sends and answers `Confirm` requests, coordinates endpoints, and proposes random records. */
class Vm extends Process {
  cutUntil = 0
  readonly reader = new ControlReader()
  /** Unique for each process start, so that a delayed message of an earlier process is not taken for one of this process. */
  get identity (): string { return `${this.name}.${this.generation}` }

  readonly #leases = new Map<string, CoordinatorLease>()
  readonly #sessions = new Map<string, Session>()
  readonly #leaseExpiryTrackers = new Map<number, LeaseExpiryTracker>()
  readonly #positions = new Map<string, number>()
  readonly #proposedAt = new Map<string, number>()
  #provisional = 0
  #lastRead = 0

  constructor (world: World, name: string, rate: number, readonly generation: number) {
    super(world, name, rate)
  }

  step (): void {
    this.#readLog()
    if (this.reader.state === undefined) this.#adoptPeerState()
    const state = this.reader.state
    if (state !== undefined) {
      this.#askWitnesses(state)
      for (const id of state.endpoints.keys()) this.#coordinate(state, id)
      this.#releaseAfterLeaseExpiry(state)
      this.#settleWitnesses(state)
      if (this.world.chance(0.12)) this.#proposeRandomRecord(state)
    }
    const next = (): void => {
      if (!this.alive) return
      if (this.pausedUntil > this.world.now) this.world.at(this.pausedUntil, next)
      else this.step()
    }
    this.world.at(this.world.now + stepMilliseconds * (0.8 + 0.4 * this.world.random.fraction()), next)
  }

  #logReachable (): boolean { return this.world.now >= this.world.log.downUntil && this.world.now >= this.cutUntil }

  #leaseOf (endpoint: string): CoordinatorLease {
    const options = this.world.mutations.longLeases === true ? { ...defaultLeaseOptions, leaseDuration: 2 * defaultLeaseOptions.leaseDuration } : defaultLeaseOptions
    const lease = this.#leases.get(endpoint) ?? new CoordinatorLease(options)
    this.#leases.set(endpoint, lease)
    return lease
  }

  #readLog (): void {
    const { world } = this
    const startedAt = this.clock()
    const from = this.reader.nextOffset
    const limit = world.random.integer(1, 20)
    world.send(undefined, () => {
      if (!this.#logReachable()) return
      const page = world.log.page(from, limit)
      const { first } = world.log
      world.send(this, () => this.#receivePage(page, first, startedAt))
    })
  }

  #receivePage (page: ControlPage | undefined, first: number, startedAt: number): void {
    if (page === undefined) return this.reader.discardedBefore(first)
    const before = this.reader.state
    const { problems, reachedEnd } = this.reader.feed(page)
    const state = this.reader.state
    // Late pages are expected in this model; any other problem is a fault of the reader.
    expect(problems.find(({ code }) => code !== 'log_went_back' && code !== 'records_missing')?.message).to.equal(undefined)
    if (state !== undefined && state !== before) {
      if (before === undefined && page.first > 0) counts.checkpointStarts++
      expect(state.position).to.be.at.least(before?.position ?? -1, 'the position of a VM decreased')
      expect(encodeState(state), 'two readers have different states at the same position').to.equal(this.world.log.references.get(state.position))
      this.world.checkAcknowledged(this)
    }
    this.#lastRead = this.world.now
    if (reachedEnd && state !== undefined) for (const id of state.endpoints.keys()) this.#leaseOf(id).extendFromLogRead(startedAt)
  }

  #adoptPeerState (): void {
    const { state } = this.world.random.pick(this.world.vms).reader
    if (state !== undefined && this.world.chance(0.2) && this.reader.adoptState(state)) counts.peerStates++
  }

  #askWitnesses (state: ControlState): void {
    const { world } = this
    const round = new WitnessRound(state.witnesses, this.clock())
    const request: WitnessRequest = {
      witnessList: newestWitnessList(state.witnesses),
      endpoints: [...state.endpoints.values()].map(({ description, version }) => ({ id: description.id, version }))
    }
    for (const name of round.vms) {
      const witness = world.vms.find(vm => vm.name === name)
      world.send(witness, () => {
        const answer = witnessAnswer((witness as Vm).reader, request)
        world.send(this, () => {
          round.answer(name, world.mutations.confirmOutdated === true ? { ...answer, outdated: [] } : answer)
          this.#observe(name, answer.position)
          for (const { id } of request.endpoints) {
            if (round.outcome(id) !== 'majority') continue
            counts.witnessRights++
            this.#leaseOf(id).extendFromWitnesses(round.startedAt)
          }
        })
      })
    }
  }

  #observe (witness: string, position: number): void {
    this.#positions.set(witness, Math.max(position, this.#positions.get(witness) ?? -1))
    for (const tracker of this.#leaseExpiryTrackers.values()) tracker.observe(witness, position, this.clock())
  }

  #coordinate (state: ControlState, id: string): void {
    const coordinator = state.endpoints.get(id)?.coordinator
    const session = this.#sessions.get(id)
    if (coordinator === undefined) return
    if (coordinator.vm === this.identity) {
      this.#renew(state, id, session?.token.offset === coordinator.token ? session : this.#open(id, { offset: coordinator.token, provisional: 0 }))
    } else if (session !== undefined && session.token.provisional > 0 && session.token.offset === coordinator.token) {
      this.#renew(state, id, session)
    } else {
      this.#sessions.delete(id)
      const logIsDown = this.world.now - this.#lastRead > 300
      if (logIsDown && this.world.chance(0.1)) this.#open(id, { offset: coordinator.token, provisional: ++this.#provisional })
    }
  }

  #open (id: string, token: CoordinatorToken): Session {
    const session: Session = { token, clock: new EndpointClock(), instance: undefined, granted: new Set(), lastValidUntil: Number.NEGATIVE_INFINITY }
    this.#sessions.set(id, session)
    return session
  }

  #hello (id: string, session: Session): void {
    const endpoint = this.world.endpoints.find(({ name }) => name === id)
    this.world.send(endpoint, () => {
      const response = endpoint?.hello(this.identity, session.token)
      if (response === undefined) return
      this.world.send(this, () => {
        if (session.instance !== undefined) return
        if (session.token.provisional > 0) counts.provisional++
        session.instance = response.instance
        session.granted = new Set(response.granted)
        session.clock.observe(response.clock, this.clock())
      })
    })
  }

  #renew (state: ControlState, id: string, session: Session): void {
    const { world } = this
    if (session.instance === undefined) return this.#hello(id, session)
    const endpoint = world.endpoints.find(({ name }) => name === id)
    if (endpoint?.instance !== session.instance) {
      this.#open(id, session.token)
      return
    }
    const now = this.clock()
    const lease = this.#leaseOf(id)
    if (!lease.isValid(now)) return
    const validUntil = session.clock.validUntil(Math.min(lease.validUntil, now + grantTimeToLive))
    if (validUntil <= session.lastValidUntil) return
    session.lastValidUntil = validUntil
    const held = grantableBuckets(state, id).filter(({ bucket }) => session.token.provisional === 0 || session.granted.has(bucket))
    const renewal: Renewal = { vm: this.identity, token: session.token, instance: session.instance, buckets: held, validUntil }
    const leaving = bucketsToRelease(state, id)
    world.send(endpoint, () => {
      const response = endpoint.renew(renewal)
      if (response === undefined) return
      world.send(this, () => {
        session.clock.observe(response.clock, this.clock())
        this.#releaseAcknowledged(id, leaving, response.stillHeld)
      })
    })
  }

  #releaseAcknowledged (id: string, leaving: readonly FencedBucket[], stillHeld: readonly number[]): void {
    const state = this.reader.state
    const seen = this.world.mutations.acknowledgeUnseen === true && state !== undefined ? bucketsToRelease(state, id) : leaving
    for (const { bucket, token } of seen) {
      if (!stillHeld.includes(bucket) && this.#release(token, [bucket])) counts.releasedByAcknowledgement++
    }
  }

  #release (assignment: number, buckets: readonly number[]): boolean {
    return this.#propose(`${assignment} ${buckets.join(',')}`, { kind: 'released', pool, assignment, buckets })
  }

  #releaseAfterLeaseExpiry (state: ControlState): void {
    const pending = new Map<number, number[]>()
    state.pools.get(pool)?.buckets.forEach((bucket, index) => {
      if (bucket?.pendingFrom !== undefined) pending.set(bucket.token, [...pending.get(bucket.token) ?? [], index])
    })
    for (const [token, buckets] of pending) {
      const options = { ...defaultLeaseOptions, extraWait: 0, ...(this.world.mutations.releaseWithoutWaiting === true ? { leaseDuration: 0 } : {}) }
      const tracker = this.#leaseExpiryTrackers.get(token) ?? new LeaseExpiryTracker(token, state.witnesses, this.clock(), options)
      this.#leaseExpiryTrackers.set(token, tracker)
      tracker.replaceWitnesses(state.witnesses, this.clock())
      for (const [witness, position] of this.#positions) tracker.observe(witness, position, this.clock())
      if (tracker.leasesExpiredAt !== undefined && tracker.leasesExpiredAt <= this.clock() && this.#release(token, buckets)) counts.releasedByWaiting++
    }
  }

  #settleWitnesses (state: ControlState): void {
    const { vms, pending } = state.witnesses
    if (pending === undefined || !isMajority(vms, vm => (this.#positions.get(vm) ?? -1) >= pending.offset)) return
    this.#propose(`settled ${pending.offset}`, { kind: 'witnessesSettled', base: pending.offset })
  }

  #proposeRandomRecord (state: ControlState): void {
    const { random } = this.world
    const endpoint = random.pick(endpointNames)
    const kind = random.integer(0, 9)
    if (kind < 4) {
      const moves = [{ bucket: random.integer(0, usedBuckets - 1), to: endpoint }]
      this.#propose('assignment', { kind: 'assignment', pool, base: state.pools.get(pool)?.version ?? -1, moves })
    } else if (kind < 7) {
      const known = state.endpoints.get(endpoint)
      if (known !== undefined && known.coordinator.vm !== this.identity) {
        this.#propose('coordinator', { kind: 'coordinator', base: known.coordinator.token, endpoint: known.description, vm: this.identity })
      }
    } else if (kind < 9) {
      this.#propose('checkpoint', { kind: 'checkpoint', position: state.position, state: encodeState(state) })
    } else {
      const start = random.integer(0, vmNames.length - 1)
      this.#propose('witnesses', { kind: 'witnesses', base: newestWitnessList(state.witnesses), vms: [0, 1, 2].map(step => vmNames[(start + step) % vmNames.length]) })
    }
  }

  /** Appends a record unless one with the same key was proposed in the last 200 ms. Retries when no response arrives. */
  #propose (key: string, record: Record<string, unknown>): boolean {
    if (this.world.now - (this.#proposedAt.get(key) ?? Number.NEGATIVE_INFINITY) < 200) return false
    this.#proposedAt.set(key, this.world.now)
    this.#append(JSON.stringify({ id: this.world.uuid(), ...record }), 3)
    return true
  }

  #append (body: string, attempts: number): void {
    const { world } = this
    let answered = false
    world.send(undefined, () => {
      if (!this.#logReachable()) return
      const offset = world.log.append(body)
      world.send(this, () => {
        answered = true
        world.acknowledged.add(offset)
      })
    })
    world.at(world.now + 100, () => { if (!answered && this.alive && attempts > 1) this.#append(body, attempts - 1) })
  }
}

function check (mutations: Mutations, numRuns: number): fc.RunDetails<[Scenario]> {
  return fc.check(fc.property(scenarioArbitrary, scenario => { new World(scenario, mutations).run() }), { seed, numRuns, endOnFailure: true })
}

describe('ownership model', function () {
  // The runs take about 10 s on a developer's machine; the limit leaves enough time for a slow one.
  this.timeout(180_000)

  before(() => console.log(`      seed ${seed}, ${runs} runs (BRIARSADDLE_TEST_SEED, BRIARSADDLE_TEST_RUNS)`))

  it('never grants a bucket to two endpoints, loses no acknowledged assignment, and all readers compute the same state', () => {
    const details = check({}, runs)
    if (details.failed) throw new Error(fc.defaultReportMessage(details), { cause: details.errorInstance })
    console.log(`      ${JSON.stringify(counts)}`)
    for (const [name, count] of Object.entries(counts)) expect(count, `the model never exercises ${name}`).to.be.greaterThan(0)
  })

  // Each case disables one mechanism and must find two owners, which shows that the model can detect the fault.
  const negativeCases: ReadonlyArray<readonly [string, Mutations]> = [
    ['a release does not wait for leases to expire', { releaseWithoutWaiting: true }],
    ['endpoints accept a delayed renewal that is older than the last accepted one', { acceptLateRenew: true }],
    ['a response counts as an acknowledgement of a later assignment', { acknowledgeUnseen: true }],
    ['endpoints accept lower coordinator tokens', { acceptLowerTokens: true }],
    ['witnesses confirm endpoints for which they have read a newer record', { confirmOutdated: true }],
    ['leases last longer than the releasing side assumes', { longLeases: true }]
  ]
  for (const [name, mutations] of negativeCases) {
    it(`finds two owners when ${name}`, () => {
      const details = check(mutations, 1500)
      expect(details.failed, 'no violation was found').to.equal(true)
      expect(String(details.errorInstance)).to.match(/is granted at/)
    })
  }

  it('grants a bucket to two endpoints if a restarted endpoint accepts grants before the leases from before its start have expired', () => {
    const world = new World({ seed, drifts: [], faults: [] }, {})
    const [first, second] = world.endpoints as [Endpoint, Endpoint]
    const old = { vm: 'vm0.0', token: { offset: 1, provisional: 0 } }
    const successor = { vm: 'vm1.0', token: { offset: 5, provisional: 0 } }
    const lease = new CoordinatorLease()
    lease.extendFromLogRead(world.now)
    const grant = (endpoint: Endpoint, { vm, token }: typeof old): unknown => {
      const hello = endpoint.hello(vm, token)
      return hello === undefined ? undefined : endpoint.renew({ vm, token, instance: hello.instance, buckets: [{ bucket: 0, token: 4 }], validUntil: hello.clock + grantTimeToLive })
    }
    // The successor's token is accepted, bucket 0 moves, the endpoint acknowledges the revocation, and the new owner is granted the bucket.
    first.hello(successor.vm, successor.token)
    grant(second, { vm: 'vm1.0', token: { offset: 2, provisional: 0 } })
    expect(grant(first, old), 'the endpoint refuses the lower token').to.equal(undefined)
    // A new process of the endpoint does not know the successor's token, and the old lease is still valid.
    world.now = 100
    expect(lease.isValid(world.now)).to.equal(true)
    expect(() => grant(new Endpoint(world, first.name, 1), old)).to.throw(/is granted at/)
    expect(lease.isValid(endpointRestartMilliseconds)).to.equal(false)
  })
})
