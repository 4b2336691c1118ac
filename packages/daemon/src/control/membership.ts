import { randomUUID } from 'node:crypto'
import { setImmediate as readWaiting } from 'node:timers/promises'
import { delay, describeError, Logger, type Clock, type LifeCycle } from '@briarsaddle/common'
import { MembershipRing, type KeyHasher, type RingVm } from '@briarsaddle/ownership'
import type { ListedVm, VmListClient } from '@briarsaddle/platform'
import type { HeartbeatRequest, HeartbeatResponse, PeerPool } from '@briarsaddle/protocol'

const logger = new Logger('membership')
const heartbeatTimeoutMilliseconds = 200
const freshHeartbeatTimeoutMilliseconds = 150
/** A timer that fires this much later than planned shows that this process was paused. */
const pauseMilliseconds = 150

/** Times of the heartbeats, in milliseconds. */
export interface MembershipTiming {
  readonly heartbeatMilliseconds: number
  readonly suspectMilliseconds: number
  readonly vmListMilliseconds: number
}

/**
 * Failed checks over fresh connections, one heartbeat interval apart, after which a VM is suspected before the time of
 * silence is over, when its stream has broken as well: a killed process ends its connections and refuses new ones.
 */
const failedChecksOfBrokenStream = 2

interface Watched {
  lastHeard: number
  /** True once a stream to the VM was open. */
  connected: boolean
  failedChecks: number
  asking: boolean
  checking: boolean
}

/** Knows the VMs and endpoints of the list and suspects VMs that do not answer. */
export class Membership {
  readonly #self: RingVm
  readonly #list: VmListClient
  readonly #peers: PeerPool
  readonly #hasher: KeyHasher
  readonly #clock: Clock
  readonly #timing: MembershipTiming
  readonly #position: () => number
  readonly #changed: () => void
  readonly #suspicionBegan: () => void
  /** The check over a fresh connection is over when the time of silence is. */
  readonly #checkAfterMilliseconds: number
  readonly #instance = randomUUID()
  readonly #watched = new Map<string, Watched>()
  readonly #suspectedSince = new Map<string, number>()
  readonly #leaving = new Set<string>()
  readonly #lastListed = new Map<string, number>()
  #listed: readonly ListedVm[] = []
  #ring: MembershipRing
  #lastBeat: number
  #listAge = Infinity
  #selfLeaving = false
  /** Aborted when the heartbeats end. */
  #stopped = new AbortController().signal

  constructor (options: {
    readonly self: RingVm
    readonly list: VmListClient
    readonly peers: PeerPool
    readonly hasher: KeyHasher
    readonly clock: Clock
    readonly timing: MembershipTiming
    readonly position: () => number
    /** Called when the list, a suspicion or the knowledge of a leaving VM has changed. */
    readonly changed: () => void
    /** Called when this VM begins to suspect another one. */
    readonly suspicionBegan: () => void
  }) {
    this.#self = options.self
    this.#list = options.list
    this.#peers = options.peers
    this.#hasher = options.hasher
    this.#clock = options.clock
    this.#timing = options.timing
    this.#checkAfterMilliseconds = Math.max(options.timing.heartbeatMilliseconds, options.timing.suspectMilliseconds - freshHeartbeatTimeoutMilliseconds)
    this.#position = options.position
    this.#changed = options.changed
    this.#suspicionBegan = options.suspicionBegan
    this.#lastBeat = options.clock.now()
    this.#ring = new MembershipRing(options.hasher, [options.self])
  }

  /** Listed VMs of briarsaddle that are live and not leaving, this VM included unless it is leaving. */
  get vms (): readonly RingVm[] {
    const listed = this.#listed.filter(vm => vm.role === 'entry' && vm.state === 'live' && vm.id !== this.#self.id && !this.#leaving.has(vm.id))
    const others = listed.map(({ id, dataCentre }) => ({ id, dataCentre }))
    return this.#selfLeaving ? others : [...others, this.#self]
  }

  /** Listed endpoints, live or leaving. */
  get endpoints (): readonly ListedVm[] {
    return this.#listed.filter(vm => vm.role === 'endpoint')
  }

  /** False until the VM list was read. */
  get known (): boolean { return this.#listed.length > 0 }
  get ring (): MembershipRing { return this.#ring }
  get suspected (): ReadonlySet<string> { return new Set(this.#suspectedSince.keys()) }

  /** How long this VM has suspected the other one; undefined when it does not. */
  suspectedFor (vm: string): number | undefined {
    const since = this.#suspectedSince.get(vm)
    return since === undefined ? undefined : this.#clock.now() - since
  }

  /** How long a VM or endpoint has been missing from the list; 0 while it is listed. */
  missingFor (id: string): number {
    if (id === this.#self.id || this.#listed.some(vm => vm.id === id)) return 0
    const last = this.#lastListed.get(id)
    if (last === undefined) this.#lastListed.set(id, this.#clock.now())
    return this.#clock.now() - (last ?? this.#clock.now())
  }

  /** Asks a VM whether it takes new work: only its watchers know of a stop before the list does. */
  async takesWork (vm: string): Promise<boolean> {
    if (vm === this.#self.id) return !this.#selfLeaving
    try {
      const response = await this.#peers.get(vm)?.heartbeat(this.#request(), heartbeatTimeoutMilliseconds)
      if (response !== undefined) this.#noteLeaving(vm, response.leaving)
      return response?.leaving === false
    } catch {
      return false
    }
  }

  /** Announces that this VM stops. */
  leave (): void {
    this.#selfLeaving = true
    this.#rebuild()
  }

  /** Starts polling the list and sending heartbeats. */
  async start (lifeCycle: LifeCycle): Promise<void> {
    this.#stopped = lifeCycle.signal
    await this.#refresh()
    lifeCycle.every('VM list', this.#timing.vmListMilliseconds, async () => await this.#refresh(), error => this.#report('VM list', error))
    lifeCycle.every('heartbeats', this.#timing.heartbeatMilliseconds, () => this.#beat(), error => this.#report('heartbeats', error))
  }

  /**
   * Answers a heartbeat of another VM. That the sender lives does not show that it can be reached: a VM to which nothing
   * gets through still sends, and its callers need a successor. A suspected sender is tried again at once.
   */
  answer (request: HeartbeatRequest): HeartbeatResponse {
    const watched = this.#watched.get(request.vm)
    if (watched !== undefined && this.#suspectedSince.has(request.vm)) void this.#checkReturn(request.vm, watched)
    return { vm: this.#self.id, instance: this.#instance, position: Math.max(0, this.#position()), leaving: this.#selfLeaving }
  }

  /** Called when the open stream to a VM has ended: a killed process is noticed without waiting for the next heartbeat. */
  streamEnded (vm: string): void {
    const watched = this.#watched.get(vm)
    if (watched === undefined) return
    watched.connected = true
    this.#startCheck(vm, watched)
  }

  /** State for the dump. */
  snapshot (): Readonly<Record<string, unknown>> {
    return {
      vms: this.vms.map(({ id }) => id),
      watched: [...this.#watched.keys()],
      suspected: [...this.#suspectedSince.keys()],
      listAgeMilliseconds: this.#clock.now() - this.#listAge,
      endpoints: this.endpoints.map(({ id, state }) => ({ id, state }))
    }
  }

  async #refresh (): Promise<void> {
    const former = this.#listed
    try {
      this.#listed = await this.#list.fetch()
    } catch (error) {
      return this.#report('VM list', error)
    }
    this.#listAge = this.#clock.now()
    for (const { id } of this.#listed) this.#lastListed.set(id, this.#clock.now())
    const unlisted = [...this.#suspectedSince.keys()].filter(id => !this.#listed.some(vm => vm.id === id))
    for (const id of unlisted) this.#suspectedSince.delete(id)
    // The client returns the same list as long as its text is the same.
    if (this.#listed === former && unlisted.length === 0) return
    this.#peers.update(this.#listed
      .filter(vm => vm.role === 'entry' && vm.id !== this.#self.id)
      .map(({ id, host, port }) => ({ vm: id, host, port })))
    this.#rebuild()
  }

  #rebuild (): void {
    this.#ring = new MembershipRing(this.#hasher, this.vms, this.suspected)
    this.#changed()
    const now = this.#clock.now()
    // A suspected VM stays watched, so that its return is noticed.
    const wanted = new Set([...this.#ring.watchedFrom(this.#self.id).map(({ id }) => id), ...this.#suspectedSince.keys()])
    for (const id of this.#watched.keys()) if (!wanted.has(id)) this.#watched.delete(id)
    for (const id of wanted) if (!this.#watched.has(id)) this.#watched.set(id, { lastHeard: now, connected: false, failedChecks: 0, asking: false, checking: false })
  }

  #beat (): void {
    const now = this.#clock.now()
    // After a pause of this process the silence of the others means nothing.
    if (now - this.#lastBeat > this.#timing.heartbeatMilliseconds + pauseMilliseconds) {
      for (const watched of this.#watched.values()) {
        watched.lastHeard = now
        watched.failedChecks = 0
      }
    }
    this.#lastBeat = now
    for (const [vm, watched] of this.#watched) {
      if (!watched.asking) void this.#ask(vm, watched)
      watched.connected ||= this.#streamIsOpen(vm)
      if (now - watched.lastHeard > this.#checkAfterMilliseconds || this.#isBroken(vm, watched)) this.#startCheck(vm, watched)
    }
  }

  async #ask (vm: string, watched: Watched): Promise<void> {
    watched.asking = true
    const silence = this.#watchSilence(vm, watched)
    try {
      const response = await this.#peers.get(vm)?.heartbeat(this.#request(), heartbeatTimeoutMilliseconds)
      if (response === undefined) return
      this.#noteLeaving(vm, response.leaving)
      this.#heard(vm)
    } catch {
      // Silence is judged by the time since the last answer.
    } finally {
      clearTimeout(silence)
      watched.asking = false
    }
  }

  /** Begins the check when it is due, which is up to an interval before the next heartbeat. */
  #watchSilence (vm: string, watched: Watched): NodeJS.Timeout {
    const dueAt = Math.max(this.#clock.now(), watched.lastHeard + this.#checkAfterMilliseconds)
    return setTimeout(() => {
      const now = this.#clock.now()
      // After a pause of this process the next heartbeat decides what the silence means.
      if (now - dueAt < pauseMilliseconds && now - watched.lastHeard >= this.#checkAfterMilliseconds) this.#startCheck(vm, watched)
    }, Math.ceil(dueAt - this.#clock.now()) + 1)
  }

  #startCheck (vm: string, watched: Watched): void {
    if (!watched.checking && !this.#suspectedSince.has(vm)) void this.#check(vm, watched)
  }

  /** A connection may have gone silent while new ones work, so a fresh one decides. */
  async #check (vm: string, watched: Watched): Promise<void> {
    watched.checking = true
    try {
      while (!this.#stopped.aborted && this.#watched.get(vm) === watched) {
        const startedAt = this.#clock.now()
        const failure = await this.#tryFresh(vm)
        if (failure === undefined) return this.#heard(vm)
        watched.failedChecks += 1
        // After a stall of this process, time-outs fire before the answers that wait in its sockets are read.
        await readWaiting()
        await this.#awaitSilence(vm, watched)
        if (this.#mustSuspect(vm, watched, startedAt)) return this.#suspect(vm, failure)
        if (!this.#isBroken(vm, watched)) return
        await delay(Math.max(1, Math.ceil(startedAt + this.#timing.heartbeatMilliseconds - this.#clock.now())), this.#stopped)
      }
    } finally {
      watched.checking = false
    }
  }

  async #checkReturn (vm: string, watched: Watched): Promise<void> {
    if (watched.checking) return
    watched.checking = true
    try {
      if (await this.#tryFresh(vm) === undefined) this.#heard(vm)
    } finally {
      watched.checking = false
    }
  }

  /** Returns why a fresh connection failed, or undefined when the VM answered. */
  async #tryFresh (vm: string): Promise<string | undefined> {
    try {
      await this.#peers.get(vm)?.freshHeartbeat(this.#request(), freshHeartbeatTimeoutMilliseconds)
      return undefined
    } catch (error) {
      return describeError(error)
    }
  }

  /** A check that failed at once, or a moment early, decides when the time of silence is over. */
  async #awaitSilence (vm: string, { lastHeard }: Watched): Promise<void> {
    const rest = lastHeard + this.#timing.suspectMilliseconds - this.#clock.now()
    if (rest < 0 || rest > freshHeartbeatTimeoutMilliseconds || !this.#streamIsOpen(vm)) return
    await delay(Math.ceil(rest) + 1, this.#stopped)
  }

  #mustSuspect (vm: string, watched: Watched, startedAt: number): boolean {
    const silent = this.#clock.now() - watched.lastHeard > this.#timing.suspectMilliseconds && !this.#framesArrivedSince(vm, startedAt)
    const broken = this.#isBroken(vm, watched) && watched.failedChecks >= failedChecksOfBrokenStream
    return (silent || broken) && this.#watched.get(vm) === watched && !this.#stopped.aborted
  }

  #suspect (vm: string, reason: string): void {
    this.#suspectedSince.set(vm, this.#clock.now())
    logger.warning('VM suspected', { vm, reason })
    this.#rebuild()
    this.#suspicionBegan()
  }

  /**
   * Any frame of the VM shows that it lives, also while its answers to heartbeats wait behind long ones. Frames from
   * before the check do not count: under traffic they would put off the check of a lost VM by up to an interval.
   */
  #framesArrivedSince (vm: string, time: number): boolean {
    return (this.#peers.get(vm)?.silentMilliseconds ?? Infinity) < this.#clock.now() - time
  }

  #streamIsOpen (vm: string): boolean {
    return (this.#peers.get(vm)?.silentMilliseconds ?? Infinity) !== Infinity
  }

  #isBroken (vm: string, watched: Watched): boolean {
    return watched.connected && !this.#streamIsOpen(vm)
  }

  #heard (vm: string): void {
    const watched = this.#watched.get(vm)
    if (watched !== undefined) {
      watched.lastHeard = this.#clock.now()
      watched.failedChecks = 0
    }
    if (!this.#suspectedSince.delete(vm)) return
    logger.info('VM answers again', { vm })
    this.#rebuild()
  }

  #noteLeaving (vm: string, leaving: boolean): void {
    if (leaving === this.#leaving.has(vm)) return
    if (leaving) this.#leaving.add(vm)
    else this.#leaving.delete(vm)
    this.#rebuild()
  }

  #request (): HeartbeatRequest {
    return { vm: this.#self.id, instance: this.#instance, position: Math.max(0, this.#position()) }
  }

  #report (task: string, error: unknown): void {
    logger.warning('task failed', { task, reason: describeError(error) })
  }
}
