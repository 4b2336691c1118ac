import { randomUUID } from 'node:crypto'
import { setImmediate as pendingInputRead } from 'node:timers/promises'
import { delay, describeError, Logger, type Clock, type LifeCycle } from '@briarsaddle/common'
import { MembershipRing, type KeyHasher, type RingVm } from '@briarsaddle/ownership'
import type { ListedVm, VmListClient } from '@briarsaddle/platform'
import type { HeartbeatRequest, HeartbeatResponse, PeerPool } from '@briarsaddle/protocol'

const logger = new Logger('membership')
const heartbeatTimeoutMilliseconds = 200
const checkTimeoutMilliseconds = 150
/** A timer that fires this much late indicates that this process was paused. */
const pauseThresholdMilliseconds = 150

/** Intervals of heartbeats, failure detection and VM list polls, in milliseconds. */
export interface MembershipTiming {
  readonly heartbeatMilliseconds: number
  readonly suspectMilliseconds: number
  readonly vmListMilliseconds: number
}

/**
 * Number of consecutive failed checks over new connections after which a VM with a broken stream is suspected before
 * `suspectMilliseconds` have passed: a killed process closes its connections and refuses new ones. The checks are one
 * heartbeat interval apart.
 */
const failedChecksBeforeSuspicion = 2

/** Failure detection state of a VM that this VM monitors. */
interface WatchedVm {
  lastResponseAt: number
  /** True once a stream to the VM has been open. */
  connected: boolean
  failedChecks: number
  /** True while a heartbeat waits for its response. */
  heartbeatInFlight: boolean
  /** True while a check over new connections runs. */
  checkInFlight: boolean
}

/** Polls the VM list and detects failed VMs: suspects a monitored VM that does not respond to heartbeats. */
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
  /** Silence after which the check over a new connection starts, so that it has timed out when the VM may be suspected. */
  readonly #checkAfterMilliseconds: number
  readonly #instance = randomUUID()
  readonly #watched = new Map<string, WatchedVm>()
  readonly #suspectedSince = new Map<string, number>()
  readonly #leaving = new Set<string>()
  readonly #lastListedAt = new Map<string, number>()
  #listed: readonly ListedVm[] = []
  #ring: MembershipRing
  #lastHeartbeatAt: number
  #listReadAt = Infinity
  #selfLeaving = false
  /** Aborted when the heartbeats stop. */
  #stopped = new AbortController().signal

  constructor (options: {
    readonly self: RingVm
    readonly list: VmListClient
    readonly peers: PeerPool
    readonly hasher: KeyHasher
    readonly clock: Clock
    readonly timing: MembershipTiming
    readonly position: () => number
    /** Called when the VM list, the set of suspected VMs or the set of leaving VMs has changed. */
    readonly changed: () => void
    /** Called when this VM starts to suspect another VM. */
    readonly suspicionBegan: () => void
  }) {
    this.#self = options.self
    this.#list = options.list
    this.#peers = options.peers
    this.#hasher = options.hasher
    this.#clock = options.clock
    this.#timing = options.timing
    this.#checkAfterMilliseconds = Math.max(options.timing.heartbeatMilliseconds, options.timing.suspectMilliseconds - checkTimeoutMilliseconds)
    this.#position = options.position
    this.#changed = options.changed
    this.#suspicionBegan = options.suspicionBegan
    this.#lastHeartbeatAt = options.clock.now()
    this.#ring = new MembershipRing(options.hasher, [options.self])
  }

  /** Listed entry VMs that are live and not leaving. Includes this VM unless it is leaving. */
  get vms (): readonly RingVm[] {
    const listed = this.#listed.filter(vm => vm.role === 'entry' && vm.state === 'live' && vm.id !== this.#self.id && !this.#leaving.has(vm.id))
    const others = listed.map(({ id, dataCentre }) => ({ id, dataCentre }))
    return this.#selfLeaving ? others : [...others, this.#self]
  }

  /** Listed endpoints, live or leaving. */
  get endpoints (): readonly ListedVm[] {
    return this.#listed.filter(vm => vm.role === 'endpoint')
  }

  /** True once a VM list that is not empty has been read. */
  get known (): boolean { return this.#listed.length > 0 }
  get ring (): MembershipRing { return this.#ring }
  get suspected (): ReadonlySet<string> { return new Set(this.#suspectedSince.keys()) }

  /** Milliseconds for which this VM has suspected the other one; undefined when it does not. */
  suspectedFor (vm: string): number | undefined {
    const since = this.#suspectedSince.get(vm)
    return since === undefined ? undefined : this.#clock.now() - since
  }

  /** Milliseconds for which a VM or endpoint has been missing from the VM list; 0 while it is listed. */
  missingFor (id: string): number {
    if (id === this.#self.id || this.#listed.some(vm => vm.id === id)) return 0
    const last = this.#lastListedAt.get(id)
    if (last === undefined) this.#lastListedAt.set(id, this.#clock.now())
    return this.#clock.now() - (last ?? this.#clock.now())
  }

  /** Asks a VM whether it accepts new work. A VM that is stopping reports this to the VMs that monitor it before the VM list shows it. */
  async acceptsNewWork (vm: string): Promise<boolean> {
    if (vm === this.#self.id) return !this.#selfLeaving
    try {
      const response = await this.#peers.get(vm)?.heartbeat(this.#request(), heartbeatTimeoutMilliseconds)
      if (response !== undefined) this.#setLeaving(vm, response.leaving)
      return response?.leaving === false
    } catch {
      return false
    }
  }

  /** Announces to other VMs that this VM is stopping. */
  leave (): void {
    this.#selfLeaving = true
    this.#rebuild()
  }

  /** Reads the VM list, then starts polling it and sending heartbeats. */
  async start (lifeCycle: LifeCycle): Promise<void> {
    this.#stopped = lifeCycle.signal
    await this.#refresh()
    lifeCycle.every('VM list', this.#timing.vmListMilliseconds, async () => await this.#refresh(), error => this.#logFailure('VM list', error))
    lifeCycle.every('heartbeats', this.#timing.heartbeatMilliseconds, () => this.#sendHeartbeats(), error => this.#logFailure('heartbeats', error))
  }

  /**
   * Answers a heartbeat of another VM. The heartbeat of a suspected VM does not clear the suspicion, because a VM that
   * can send but not receive still has to be replaced for its callers. It only triggers a check of that VM at once.
   */
  answerHeartbeat (request: HeartbeatRequest): HeartbeatResponse {
    const watched = this.#watched.get(request.vm)
    if (watched !== undefined && this.#suspectedSince.has(request.vm)) void this.#checkRecovery(request.vm, watched)
    return { vm: this.#self.id, instance: this.#instance, position: Math.max(0, this.#position()), leaving: this.#selfLeaving }
  }

  /** Called when the stream to a VM has ended. Starts a check at once, so that a killed process is detected before the next heartbeat. */
  streamEnded (vm: string): void {
    const watched = this.#watched.get(vm)
    if (watched === undefined) return
    watched.connected = true
    this.#startCheck(vm, watched)
  }

  /** Returns the membership for the state dump. */
  snapshot (): Readonly<Record<string, unknown>> {
    return {
      vms: this.vms.map(({ id }) => id),
      watched: [...this.#watched.keys()],
      suspected: [...this.#suspectedSince.keys()],
      listAgeMilliseconds: this.#clock.now() - this.#listReadAt,
      endpoints: this.endpoints.map(({ id, state }) => ({ id, state }))
    }
  }

  async #refresh (): Promise<void> {
    const former = this.#listed
    try {
      this.#listed = await this.#list.fetch()
    } catch (error) {
      return this.#logFailure('VM list', error)
    }
    this.#listReadAt = this.#clock.now()
    for (const { id } of this.#listed) this.#lastListedAt.set(id, this.#clock.now())
    const unlisted = [...this.#suspectedSince.keys()].filter(id => !this.#listed.some(vm => vm.id === id))
    for (const id of unlisted) this.#suspectedSince.delete(id)
    // The client returns the same array while the text of the list is unchanged.
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
    // A suspected VM stays monitored, so that its recovery is detected.
    const wanted = new Set([...this.#ring.watchedVms(this.#self.id).map(({ id }) => id), ...this.#suspectedSince.keys()])
    for (const id of this.#watched.keys()) if (!wanted.has(id)) this.#watched.delete(id)
    for (const id of wanted) if (!this.#watched.has(id)) this.#watched.set(id, { lastResponseAt: now, connected: false, failedChecks: 0, heartbeatInFlight: false, checkInFlight: false })
  }

  #sendHeartbeats (): void {
    const now = this.#clock.now()
    // After a pause of this process, missing responses say nothing about the other VMs.
    if (now - this.#lastHeartbeatAt > this.#timing.heartbeatMilliseconds + pauseThresholdMilliseconds) {
      for (const watched of this.#watched.values()) {
        watched.lastResponseAt = now
        watched.failedChecks = 0
      }
    }
    this.#lastHeartbeatAt = now
    for (const [vm, watched] of this.#watched) {
      if (!watched.heartbeatInFlight) void this.#sendHeartbeat(vm, watched)
      watched.connected ||= this.#streamIsOpen(vm)
      if (now - watched.lastResponseAt > this.#checkAfterMilliseconds || this.#streamBroke(vm, watched)) this.#startCheck(vm, watched)
    }
  }

  async #sendHeartbeat (vm: string, watched: WatchedVm): Promise<void> {
    watched.heartbeatInFlight = true
    const silence = this.#scheduleCheck(vm, watched)
    try {
      const response = await this.#peers.get(vm)?.heartbeat(this.#request(), heartbeatTimeoutMilliseconds)
      if (response === undefined) return
      this.#setLeaving(vm, response.leaving)
      this.#recordResponse(vm)
    } catch {
      // The time since the last response decides whether the VM is suspected.
    } finally {
      clearTimeout(silence)
      watched.heartbeatInFlight = false
    }
  }

  /** Starts the check as soon as it is due, which may be up to one interval before the next heartbeat. */
  #scheduleCheck (vm: string, watched: WatchedVm): NodeJS.Timeout {
    const dueAt = Math.max(this.#clock.now(), watched.lastResponseAt + this.#checkAfterMilliseconds)
    return setTimeout(() => {
      const now = this.#clock.now()
      // After a pause of this process, the next heartbeat decides instead.
      if (now - dueAt < pauseThresholdMilliseconds && now - watched.lastResponseAt >= this.#checkAfterMilliseconds) this.#startCheck(vm, watched)
    }, Math.ceil(dueAt - this.#clock.now()) + 1)
  }

  #startCheck (vm: string, watched: WatchedVm): void {
    if (!watched.checkInFlight && !this.#suspectedSince.has(vm)) void this.#check(vm, watched)
  }

  /** Checks a VM over new connections, because an established connection may have failed while new ones work. */
  async #check (vm: string, watched: WatchedVm): Promise<void> {
    watched.checkInFlight = true
    try {
      while (!this.#stopped.aborted && this.#watched.get(vm) === watched) {
        const startedAt = this.#clock.now()
        const failure = await this.#heartbeatOverNewConnection(vm)
        if (failure === undefined) return this.#recordResponse(vm)
        watched.failedChecks += 1
        // After an event loop delay, timers fire before responses that have already arrived are read from the sockets.
        await pendingInputRead()
        await this.#awaitSuspectTime(vm, watched)
        if (this.#mustSuspect(vm, watched, startedAt)) return this.#suspect(vm, failure)
        if (!this.#streamBroke(vm, watched)) return
        await delay(Math.max(1, Math.ceil(startedAt + this.#timing.heartbeatMilliseconds - this.#clock.now())), this.#stopped)
      }
    } finally {
      watched.checkInFlight = false
    }
  }

  async #checkRecovery (vm: string, watched: WatchedVm): Promise<void> {
    if (watched.checkInFlight) return
    watched.checkInFlight = true
    try {
      if (await this.#heartbeatOverNewConnection(vm) === undefined) this.#recordResponse(vm)
    } finally {
      watched.checkInFlight = false
    }
  }

  /** Sends a heartbeat over a new connection. Returns the reason of the failure, or undefined when the VM responded. */
  async #heartbeatOverNewConnection (vm: string): Promise<string | undefined> {
    try {
      await this.#peers.get(vm)?.freshHeartbeat(this.#request(), checkTimeoutMilliseconds)
      return undefined
    } catch (error) {
      return describeError(error)
    }
  }

  /** Waits for the rest of `suspectMilliseconds` when a check has failed shortly before it ends. */
  async #awaitSuspectTime (vm: string, { lastResponseAt }: WatchedVm): Promise<void> {
    const rest = lastResponseAt + this.#timing.suspectMilliseconds - this.#clock.now()
    if (rest < 0 || rest > checkTimeoutMilliseconds || !this.#streamIsOpen(vm)) return
    await delay(Math.ceil(rest) + 1, this.#stopped)
  }

  #mustSuspect (vm: string, watched: WatchedVm, startedAt: number): boolean {
    const silent = this.#clock.now() - watched.lastResponseAt > this.#timing.suspectMilliseconds && !this.#framesArrivedSince(vm, startedAt)
    const broken = this.#streamBroke(vm, watched) && watched.failedChecks >= failedChecksBeforeSuspicion
    return (silent || broken) && this.#watched.get(vm) === watched && !this.#stopped.aborted
  }

  #suspect (vm: string, reason: string): void {
    this.#suspectedSince.set(vm, this.#clock.now())
    logger.warning('VM suspected', { vm, reason })
    this.#rebuild()
    this.#suspicionBegan()
  }

  /**
   * True when a frame has arrived from the VM since `time`. Any frame shows that the VM is alive, even while its heartbeat
   * responses are queued behind long ones. Frames from before the check do not count: under traffic they would delay
   * the suspicion of a lost VM by up to one interval.
   */
  #framesArrivedSince (vm: string, time: number): boolean {
    return (this.#peers.get(vm)?.silentMilliseconds ?? Infinity) < this.#clock.now() - time
  }

  #streamIsOpen (vm: string): boolean {
    return (this.#peers.get(vm)?.silentMilliseconds ?? Infinity) !== Infinity
  }

  /** True when a stream to the VM has been open and has ended. */
  #streamBroke (vm: string, watched: WatchedVm): boolean {
    return watched.connected && !this.#streamIsOpen(vm)
  }

  #recordResponse (vm: string): void {
    const watched = this.#watched.get(vm)
    if (watched !== undefined) {
      watched.lastResponseAt = this.#clock.now()
      watched.failedChecks = 0
    }
    if (!this.#suspectedSince.delete(vm)) return
    logger.info('VM responds again', { vm })
    this.#rebuild()
  }

  #setLeaving (vm: string, leaving: boolean): void {
    if (leaving === this.#leaving.has(vm)) return
    if (leaving) this.#leaving.add(vm)
    else this.#leaving.delete(vm)
    this.#rebuild()
  }

  #request (): HeartbeatRequest {
    return { vm: this.#self.id, instance: this.#instance, position: Math.max(0, this.#position()) }
  }

  #logFailure (task: string, error: unknown): void {
    logger.warning('task failed', { task, reason: describeError(error) })
  }
}
