import { BriarsaddleError, describeError, errorCode, Logger, withTimeLimit, type Clock, type LifeCycle } from '@briarsaddle/common'
import {
  checkLayout, emptyKeyMap, GrantLedger, joinSegments, markOpenMoves, planMembership, planSpread, raiseFences, raiseFencesOf, rangeText, sameVmList, segmentsIn, settleRange, withVms,
  type Holder, type KeyMap, type MemberDemand, type PoolMember, type Segment, type VmEntry
} from '@briarsaddle/key-ranges'
import { addressOf, type Directory, type EndpointEntry } from '../endpoint-entry.js'
import type { EndpointReach } from '../endpoint-reach.js'
import type { EndpointTransport } from '../endpoint-transport.js'
import type { LeavingEndpoints } from '../leaving-endpoints.js'
import type { RouterMetrics } from '../router-metrics.js'
import type { RoutingTable } from '../routing-table.js'
import { GrantRenewal, holderKey } from './grant-renewal.js'
import type { GroupMember } from './group-member.js'
import { eraOf, firstFenceOf } from './log-position.js'
import type { OtherKeyMaps } from './other-key-maps.js'
import { RangeHandover } from './range-handover.js'
import type { TopicState, WritableTopic } from './state-topic.js'
import type { ControlTiming } from './timing.js'
import type { TopicFollower } from './topic-follower.js'
import type { VmRoster } from './vm-roster.js'

const logger = new Logger('leader')

/** Demand at an endpoint, as the VMs that coordinate it measured it. */
export interface MeasuredDemand extends Pick<MemberDemand, 'busySlots' | 'serviceMilliseconds' | 'keys'> {
  /** Slots that the limit of the endpoint allows to be busy; absent without a limit. */
  readonly usableSlots?: number | undefined
}

/** Source of the demand at the endpoints. */
export abstract class DemandSource {
  /** Returns the measured demand by endpoint id. */
  abstract collect (): Promise<ReadonlyMap<string, MeasuredDemand>>
}

/** What the leader needs from the VM. */
export interface KeyLeaderOptions {
  readonly self: VmEntry
  readonly clock: Clock
  readonly timing: ControlTiming
  readonly member: GroupMember
  readonly topic: WritableTopic<KeyMap>
  readonly map: TopicFollower<KeyMap>
  readonly directory: TopicFollower<Directory>
  readonly routing: TopicFollower<RoutingTable>
  readonly transport: EndpointTransport
  readonly leaving: LeavingEndpoints
  readonly demand: DemandSource
  readonly roster: VmRoster
  readonly metrics: RouterMetrics
  /** Whether this VM reaches endpoints. Absent: it does. */
  readonly reach?: Pick<EndpointReach, 'isInDoubt' | 'cutOffPools'>
  /** Key maps of the other VMs, for a log that went back. Absent: there are no other VMs. */
  readonly otherMaps?: OtherKeyMaps
}

const tickMilliseconds = 100
// A leader that is cut off from endpoints asks at this interval who reaches them, since the grants that it cannot renew run out.
const urgentCollectMilliseconds = 400
// VMs that did not answer after the log went back are asked again at this interval.
const askAgainMilliseconds = 1_000

/**
 * Assigns keys to endpoints while this VM is the leader: plans the assignment, writes it to the key map, carries out the
 * moves and renews the grants. Every plan is written conditionally, so two VMs that both consider themselves the leader
 * cannot both succeed.
 */
export class KeyLeader {
  readonly #options: KeyLeaderOptions
  readonly #ledger: GrantLedger
  readonly #renewal: GrantRenewal
  readonly #handovers = new Map<string, RangeHandover>()
  /** Moves whose new owner has accepted its grant but which the key map still shows as moving. */
  readonly #grantedMoves = new Map<string, { readonly pool: string, readonly segment: Segment }>()
  readonly #keysChangedAt = new Map<string, number>()
  /**
   * Writes of the key map that got no answer, each with the position that it follows. Such a write may have been applied, and
   * other VMs may act on it, until this VM has read a later position.
   */
  #unansweredWrites: ReadonlyArray<TopicState<KeyMap>> = []
  #leading = false
  /** Era of the log in which this leadership last wrote the key map. */
  #era = 0
  /** After the log went back: until when grants of former leaders may hold. */
  #formerGrants: { readonly era: number, readonly allAnswered: boolean, readonly askedAt: number, readonly until: number } | undefined
  /** Generation of the membership whose members are on the roster. */
  #generation: number | undefined
  #otherCandidates = false
  #demand: ReadonlyMap<string, MeasuredDemand> = new Map()
  #demandIsFresh = false
  #nextCollectionAt = 0
  #lastJoinOfPool = new Map<string, { readonly count: number, readonly at: number }>()

  constructor (options: KeyLeaderOptions) {
    this.#options = options
    const { clock, timing, transport } = options
    this.#ledger = new GrantLedger({
      clock,
      holdMilliseconds: timing.holdMilliseconds,
      clockSlack: timing.clockSlack,
      transitMilliseconds: timing.grantCallMilliseconds,
      staleLeaderMilliseconds: timing.staleLeaderMilliseconds
    })
    this.#renewal = new GrantRenewal({ clock, timing, transport, ledger: this.#ledger, onLeaving: holder => this.#observeLeaving(holder), mayRenew: (pool, segment) => this.#mayRenew(pool, segment) })
    // A leader that cannot read the log learns the key map of its successor from other VMs. It must not grant the tokens in that map.
    options.map.onChange(({ author }) => { if (author !== options.self.id) this.#endLeadership('another VM wrote the key map') })
  }

  /** True while this VM acts as the leader. */
  get leading (): boolean { return this.#leading }
  /**
   * Whether another candidate could take over and a change of leader costs little: no move is under way, or this VM is cut off from endpoints, so that it
   * cannot complete any.
   */
  get mayHandOver (): boolean {
    return this.#otherCandidates && (this.movesUnderWay === 0 || this.#isCutOff)
  }

  get #isCutOff (): boolean {
    return this.#options.roster.isCutOff(this.#options.self.id)
  }

  /** Number of moves that are not completed yet. */
  get movesUnderWay (): number { return this.#handovers.size - this.#grantedMoves.size }

  /** Starts to act as the leader whenever this VM is elected, until the life cycle closes. */
  start (lifeCycle: LifeCycle): void {
    lifeCycle.every('key leader', tickMilliseconds, async () => await this.#tick(lifeCycle.signal), error => {
      logger.warning('key map could not be read or written', { code: errorCode(error), error: describeError(error), position: this.#options.map.current?.position })
    })
    lifeCycle.own('key leader', () => this.#endLeadership('closed'))
  }

  /** Returns the state as plain data for the state dump. */
  snapshot (): Readonly<Record<string, unknown>> {
    return { leading: this.#leading, handovers: [...this.#handovers.keys()], unreachable: this.#renewal.unreachable, vms: this.#options.roster.vms }
  }

  async #tick (signal: AbortSignal): Promise<void> {
    const { member } = this.#options
    if (!member.leads) {
      if (this.#leading) this.#endLeadership('another VM leads')
      return
    }
    if (!this.#leading) return await this.#takeOverIfConfirmed(signal)
    if (this.#isStale()) return this.#endLeadership('the log was out of reach for too long')
    // Either another VM leads, or a write of this VM was applied late. The newer key map will show which; until then nothing is granted.
    if (this.#options.map.behind) return
    if (this.#currentEra !== this.#era) return await this.#continueInNewEra(signal)
    this.#renewal.renewDue(this.#map.pools)
    void this.#collectDemand()
    await this.#refreshMembers()
    if (this.#leading) await this.#plan(signal)
    if (!this.#leading) return
    this.#startHandovers(signal)
    this.#renewal.renewDue(this.#map.pools)
  }

  get #map (): KeyMap {
    return this.#options.map.current?.state ?? emptyKeyMap
  }

  get #currentEra (): number {
    return eraOf(this.#options.map.current?.position ?? 0)
  }

  /** Whether the key map was written before the log went back, or has a token that the log may have given out again. */
  get #isFromEarlierEra (): boolean {
    return this.#map.fence < firstFenceOf(this.#currentEra)
  }

  /**
   * Writes the key map again after the log went back. What this leader has granted is still true, but nothing is granted until the write
   * is acknowledged, since another VM may lead.
   */
  async #continueInNewEra (signal: AbortSignal): Promise<void> {
    await this.#adoptNewestMap()
    // A newer map of another VM has ended this leadership.
    if (!this.#leading) return
    await this.#write({ ...this.#map, fence: Math.max(this.#map.fence, firstFenceOf(this.#currentEra)) + 1 }, 'continue after the log went back', signal)
    this.#generation = undefined
    logger.info('leadership continues after the log went back', { era: this.#era, fence: this.#map.fence, position: this.#options.map.current?.position })
  }

  /** Takes the key map with the highest token that another VM holds, if it is higher. Returns whether all VMs answered. */
  async #adoptNewestMap (): Promise<boolean> {
    const { otherMaps, map } = this.#options
    const position = map.current?.position ?? 0
    const { maps, allAnswered } = await otherMaps?.collect(position, this.#map.fence) ?? { maps: [], allAnswered: true }
    for (const state of maps) map.offer({ position: map.current?.position ?? position, state })
    return allAnswered
  }

  /**
   * Returns whether the grants of leaders before the log went back have surely run out. Their last moves may be lost with the log, so any
   * endpoint may hold any keys until then.
   */
  async #haveFormerGrantsRunOut (): Promise<boolean> {
    const { clock, timing } = this.#options
    const era = this.#currentEra
    if (this.#formerGrants?.era !== era || !this.#formerGrants.allAnswered) {
      const askedAt = clock.now()
      const allAnswered = await this.#adoptNewestMap()
      const lastGrantAt = clock.now() + (allAnswered ? 0 : timing.staleLeaderMilliseconds)
      const until = lastGrantAt + timing.holdMilliseconds * (1 + timing.clockSlack) + timing.grantCallMilliseconds
      const before = this.#formerGrants?.era === era ? this.#formerGrants.until : Infinity
      if (before === Infinity) logger.warning('the log went back: keys are granted again once all earlier grants have run out', { era, position: this.#options.map.current?.position, fence: this.#map.fence, allAnswered, milliseconds: Math.round(until - clock.now()) })
      this.#formerGrants = { era, allAnswered, askedAt, until: Math.min(before, until) }
    }
    return this.#formerGrants.until <= clock.now()
  }

  /** Whether it is known that grants of former leaders may still hold, so that there is nothing to do yet. */
  get #awaitsFormerGrants (): boolean {
    const waiting = this.#formerGrants
    if (waiting === undefined || waiting.era !== this.#currentEra || !this.#isFromEarlierEra) return false
    const now = this.#options.clock.now()
    return now < waiting.until && (waiting.allAnswered || now - waiting.askedAt < askAgainMilliseconds)
  }

  /** Takes over only while the membership is confirmed: otherwise another VM has been elected, whatever the last report said. */
  async #takeOverIfConfirmed (signal: AbortSignal): Promise<void> {
    if (this.#isMembershipConfirmed && !this.#awaitsFormerGrants) await this.#takeOver(signal)
  }

  get #isMembershipConfirmed (): boolean {
    const { clock, member, timing } = this.#options
    return clock.now() - member.confirmedAt <= timing.membershipMilliseconds
  }

  /** Takes over: writes a key map with new fencing tokens. An endpoint that has seen them refuses the grants of former leaders. */
  async #takeOver (signal: AbortSignal): Promise<void> {
    const { map, self, directory, routing } = this.#options
    if (directory.current === undefined || routing.current === undefined) return
    await withTimeLimit(this.#options.timing.logCallMilliseconds, signal, async limited => await map.refresh(limited))
    if (this.#isFromEarlierEra && !await this.#haveFormerGrantsRunOut()) return
    this.#generation = undefined
    this.#options.roster.reset(this.#map.vms)
    await this.#refreshMembers()
    const raised = raiseFences({ ...this.#map, author: self.id, vms: this.#options.roster.vms }, firstFenceOf(this.#currentEra))
    await this.#write(joinSegments(raised), 'take over', signal)
    // Former holders in moves that are not open (see `Segment.open`) refuse every leader before the previous one.
    const closedSegments = Object.values(raised.pools).flat().filter(segment => segment.open !== true)
    this.#ledger.beginLeadership(raised.fence, closedSegments.flatMap(({ from, to, former }) => former.map(holder => ({ holder: holderKey(holder), from, to }))))
    this.#renewal.reset()
    this.#leading = true
    this.#options.metrics.leadership('began', 'take over')
    logger.info('leadership begins', { fence: this.#map.fence, position: map.current?.position, pools: Object.keys(this.#map.pools).length })
  }

  /** Learns from the answer to a renewal that an endpoint leaves; its directory entry may say so later or never. */
  #observeLeaving ({ endpoint, life }: Holder): void {
    const entry = this.#options.directory.current?.state.get(endpoint)
    if (entry?.life === life) this.#options.leaving.add(entry, 'answer')
  }

  #endLeadership (reason: string): void {
    if (!this.#leading) return
    this.#leading = false
    for (const handover of this.#handovers.values()) handover.stop()
    this.#handovers.clear()
    this.#grantedMoves.clear()
    this.#options.metrics.leadership('ended', reason)
    logger.info('leadership ends', { reason, position: this.#options.map.current?.position, author: this.#map.author, fence: this.#map.fence })
  }

  /** Whether neither the key map nor the membership has been confirmed for `staleLeaderMilliseconds`. */
  #isStale (): boolean {
    const { clock, member, map, timing } = this.#options
    return clock.now() - Math.max(member.confirmedAt, map.confirmedAt) > timing.staleLeaderMilliseconds
  }

  async #refreshMembers (): Promise<void> {
    const { member } = this.#options
    const generation = member.report?.generation
    // A leader that is cut off leaves as soon as there is a candidate.
    if (generation === this.#generation && (!this.#isCutOff || this.#otherCandidates)) return
    try {
      const members = await member.members()
      this.#options.roster.addMembers(members)
      const others = members.filter(({ id }) => id !== this.#options.self.id)
      const { roster } = this.#options
      // The store chooses the next leader among all candidates, so those that are cut off must have left first.
      this.#otherCandidates = others.length > 0 && (!this.#isCutOff || others.every(({ id }) => !roster.isCutOff(id)))
      if (this.#isCutOff && this.#otherCandidates) member.reviewSoon()
      this.#generation = generation
    } catch (error) {
      logger.warning('members could not be listed', { code: errorCode(error), error: describeError(error), known: this.#options.roster.vms.length })
    }
  }

  async #plan (signal: AbortSignal): Promise<void> {
    const unanswered = this.#inDoubtWrites.at(-1)
    // Repeats the write instead of planning again: a different plan would suspend the grants of further keys.
    if (unanswered !== undefined) return await this.#write(unanswered.state, 'repeat a write without an answer', signal)
    const before = this.#map
    let next = this.#settleGrantedMoves(before)
    next = this.#renewal.takeDisconnected().reduce(raiseFencesOf, next)
    const settledOnly = next
    for (const pool of this.#keyedPools()) next = this.#planPool(next, pool)
    this.#demandIsFresh = false
    if (next !== settledOnly) {
      next = markOpenMoves(next, settledOnly.fence, segment => segment.former.some(former => !this.#ledger.refusesFormerLeaders(holderKey(former), segment)))
      this.#recordMoves(settledOnly, next)
    }
    const { vms } = this.#options.roster
    if (!sameVmList(vms, next.vms)) next = withVms(next, vms)
    if (next === before) return
    const settled = [...this.#grantedMoves.keys()]
    await this.#write(joinSegments(next), 'assign keys', signal)
    for (const key of settled) this.#grantedMoves.delete(key)
  }

  #settleGrantedMoves (map: KeyMap): KeyMap {
    return [...this.#grantedMoves.values()].reduce((result, { pool, segment }) => settleRange(result, pool, segment), map)
  }

  #keyedPools (): readonly string[] {
    return (this.#options.routing.current?.state.pools ?? []).filter(pool => pool.keyed).map(pool => pool.name)
  }

  #planPool (map: KeyMap, pool: string): KeyMap {
    // Endpoints that this VM does not reach may serve their keys well; then another VM has to lead.
    if (this.#options.reach?.isInDoubt(pool) === true) return map
    const members = this.#membersOf(pool)
    if (map.pools[pool] === undefined && !this.#isEndpointCountStable(pool, members.length)) return map
    const planned = planMembership(map, pool, members)
    // Without a confirmed membership the write would probably fail, and would only suspend the grants of the keys that it moves.
    if (planned !== map || !this.#demandIsFresh || !this.#isMembershipConfirmed) return planned
    return planSpread(planned, pool, members.map(member => this.#hasCurrentDemand(member) && member.keepsKeys !== true
      ? { ...member, slots: this.#demand.get(member.endpoint)?.usableSlots ?? member.slots }
      : { ...member, accepting: false, busySlots: 0, keys: [] }))
  }

  /**
   * Returns the owners that may still accept grants of a former leader on some of their keys. If these keys moved now, no
   * endpoint could serve them until such a grant has certainly expired.
   */
  #ownersAcceptingFormerLeaders (pool: string): ReadonlySet<string> {
    const segments = this.#map.pools[pool]?.filter(({ moving }) => !moving) ?? []
    return new Set(segments.map(segment => ({ segment, holder: holderKey(segment.owner) }))
      .filter(({ segment, holder }) => !this.#ledger.refusesFormerLeaders(holder, segment))
      .map(({ holder }) => holder))
  }

  /** Asks the other VMs at once which endpoints they reach. */
  collectSoon (): void {
    this.#nextCollectionAt = -Infinity
  }

  /** Collects the demand once per `spreadMilliseconds`; the next plan uses it. */
  async #collectDemand (): Promise<void> {
    const { clock, timing, demand, directory } = this.#options
    if (clock.now() < this.#nextCollectionAt) return
    const cutOff = (this.#options.reach?.cutOffPools.length ?? 0) > 0
    this.#nextCollectionAt = clock.now() + (cutOff ? urgentCollectMilliseconds : timing.spreadMilliseconds)
    void this.#renewal.probeUnreachable([...directory.current?.state.values() ?? []].map(poolMemberOf))
    try {
      this.#demand = await demand.collect()
      this.#demandIsFresh = true
    } catch (error) {
      logger.warning('demand could not be collected', { code: errorCode(error), error: describeError(error) })
    }
  }

  #membersOf (pool: string): MemberDemand[] {
    const members: MemberDemand[] = []
    const acceptingFormerLeaders = this.#ownersAcceptingFormerLeaders(pool)
    for (const entry of this.#options.directory.current?.state.values() ?? []) {
      if (entry.pool !== pool) continue
      const demand: MeasuredDemand = this.#demand.get(entry.id) ?? { busySlots: 0, serviceMilliseconds: 0, keys: [] }
      const member = poolMemberOf(entry)
      const reachable = !this.#renewal.isUnreachable(entry.id)
      members.push({ ...member, ...demand, accepting: !this.#options.leaving.has(entry) && reachable && demand.usableSlots !== 0, keepsKeys: reachable && acceptingFormerLeaders.has(holderKey(member)) })
    }
    return members.sort((one, other) => one.endpoint < other.endpoint ? -1 : 1)
  }

  /** Whether the number of endpoints of the pool has not changed for `settleMilliseconds`. */
  #isEndpointCountStable (pool: string, count: number): boolean {
    const now = this.#options.clock.now()
    const last = this.#lastJoinOfPool.get(pool)
    if (last === undefined || last.count !== count) {
      this.#lastJoinOfPool.set(pool, { count, at: now })
      return false
    }
    return count > 0 && now - last.at >= this.#options.timing.settleMilliseconds
  }

  /** Whether the keys of the endpoint have not changed for `restMilliseconds`, so that its measured demand is up to date. */
  #hasCurrentDemand (member: MemberDemand): boolean {
    return this.#options.clock.now() - (this.#keysChangedAt.get(member.endpoint) ?? -Infinity) > this.#options.timing.restMilliseconds
  }

  /** Logs the moves that a plan begins, and records when the keys of their endpoints changed. */
  #recordMoves (before: KeyMap, after: KeyMap): void {
    const now = this.#options.clock.now()
    for (const [pool, segments] of Object.entries(after.pools)) {
      for (const segment of segments) {
        if (!segment.moving || segment.fence <= before.fence) continue
        logger.info('keys are assigned to another owner', {
          pool, keys: rangeText(segment), owner: segment.owner.endpoint, former: segment.former.map(former => former.endpoint).join(','), fence: segment.fence
        })
        for (const holder of [segment.owner, ...segment.former]) this.#keysChangedAt.set(holder.endpoint, now)
      }
    }
  }

  async #write ({ repairs, ...map }: KeyMap, purpose: string, signal: AbortSignal): Promise<void> {
    const { topic, map: follower, timing } = this.#options
    checkLayout(map)
    if (repairs !== undefined) logger.warning('writes a repaired key map', { purpose, repairs: repairs.join('; ') })
    const position = follower.current?.position ?? 0
    const attempt = { position, state: map }
    this.#unansweredWrites = [...this.#inDoubtWrites, attempt]
    try {
      const written = await withTimeLimit(timing.logCallMilliseconds, signal, async limited => await topic.write(map, position, limited))
      // Another VM has written a newer key map before the answer arrived. This VM must not grant the tokens in that map.
      if ((follower.current?.position ?? 0) > written) throw new BriarsaddleError('another VM has written the key map since', { code: 'lost_race', step: purpose })
      follower.offer({ position: written, state: map })
      this.#era = eraOf(written)
    } catch (error) {
      logger.info('write of the key map failed', { purpose, position, code: errorCode(error) })
      if (errorCode(error) === 'lost_race' || errorCode(error) === 'log_unavailable') this.#unansweredWrites = this.#unansweredWrites.filter(other => other !== attempt)
      // The next plan starts from what the log holds now: the write of another VM, or this write if it was applied without an answer.
      await withTimeLimit(timing.logCallMilliseconds, signal, async limited => await follower.refresh(limited))
      throw error
    }
  }

  /** Writes without an answer that may have been applied, or may still be. */
  get #inDoubtWrites (): ReadonlyArray<TopicState<KeyMap>> {
    const position = this.#options.map.current?.position ?? 0
    return this.#unansweredWrites.filter(write => write.position >= position)
  }

  /** Whether this VM may still act as the leader and no write without an answer assigns keys of the segment to another owner. */
  #mayGrant (pool: string, segment: Segment): boolean {
    if (!this.#leading || this.#options.map.behind || this.#currentEra !== this.#era || this.#isStale()) return false
    const { endpoint, life } = segment.owner
    return this.#inDoubtWrites.every(({ state }) => segmentsIn(state, pool, segment).every(({ owner }) => owner.endpoint === endpoint && owner.life === life))
  }

  /** Whether the owner may be granted the segment again: the key map still assigns it there and no move has begun. */
  #mayRenew (pool: string, segment: Segment): boolean {
    if (!this.#mayGrant(pool, segment)) return false
    const current = this.#map.pools[pool]?.find(other => other.from === segment.from && other.fence === segment.fence)
    return current?.moving === false && current.to >= segment.to && current.owner.life === segment.owner.life
  }

  #startHandovers (signal: AbortSignal): void {
    const wanted = new Map<string, { readonly pool: string, readonly segment: Segment }>()
    for (const [pool, segments] of Object.entries(this.#map.pools)) {
      for (const segment of segments) if (segment.moving) wanted.set(`${pool} ${rangeText(segment)} ${segment.fence}`, { pool, segment })
    }
    for (const [key, handover] of this.#handovers) {
      if (wanted.has(key)) continue
      handover.stop()
      this.#handovers.delete(key)
      this.#grantedMoves.delete(key)
    }
    for (const [key, { pool, segment }] of wanted) if (!this.#handovers.has(key)) this.#startHandover(key, pool, segment, signal)
  }

  #startHandover (key: string, pool: string, segment: Segment, signal: AbortSignal): void {
    const { clock, timing, transport, directory, metrics } = this.#options
    const handover = new RangeHandover({ clock, timing, transport, metrics, ledger: this.#ledger, directory: () => directory.current?.state ?? new Map(), segment, pool, mayGrant: () => this.#mayGrant(pool, segment), observe: (endpoint, result) => this.#renewal.observe(endpoint, result) })
    this.#handovers.set(key, handover)
    void handover.run(signal).then(result => {
      if (this.#handovers.get(key) !== handover) return
      if (result.kind === 'granted') {
        this.#renewal.accepted(pool, segment, result.connection)
        this.#grantedMoves.set(key, { pool, segment })
      } else if (result.kind === 'fenced') this.#endLeadership('an endpoint has seen a higher token')
    })
  }
}

/** Returns the pool member that the planning functions use for an endpoint of the directory. */
export function poolMemberOf (entry: EndpointEntry): PoolMember {
  return { endpoint: entry.id, life: entry.life, address: addressOf(entry), slots: entry.slots, accepting: !entry.leaving, busySlots: 0 }
}
