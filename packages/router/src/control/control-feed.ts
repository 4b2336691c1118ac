import { describeError, errorCode, Logger, type Clock, type LifeCycle } from '@briarsaddle/common'
import { applyKeyMapDelta, decodeKeyMap, type KeyMap, type VmEntry } from '@briarsaddle/key-ranges'
import type { ControlUpdate, ControlWatchEvents, PeerClient } from '@briarsaddle/protocol'
import type { Directory } from '../endpoint-entry.js'
import { ChangeNotifier } from '../request/change-notifier.js'
import type { PoisonList } from '../poison/poison-list.js'
import { routingTableSchema, type RoutingTable } from '../routing-table.js'
import { restoreText } from './compressed-text.js'
import { applyDirectoryChange } from './directory-codec.js'
import type { TopicFollower } from './topic-follower.js'

const logger = new Logger('feed')

/** The other VMs, whose control state can be watched. */
export interface WatchablePeers {
  get (vm: string): Pick<PeerClient, 'watchControl'> | undefined
}

/** What the feed needs from the VM. */
export interface ControlFeedOptions {
  readonly self: VmEntry
  readonly clock: Clock
  readonly peers: WatchablePeers
  readonly map: TopicFollower<KeyMap>
  readonly routing: TopicFollower<RoutingTable>
  readonly directory: TopicFollower<Directory>
  readonly poison: Pick<PoisonList, 'merge'>
  /** Ids of the VMs to watch, the best first; empty while this VM must read the log itself. */
  readonly sources: () => readonly string[]
  /** Called after each update, also without changes. */
  readonly onUpdate: () => void
}

const tickMilliseconds = 100
// Four heartbeats of the source.
const silenceMilliseconds = 1_000
// Another source is tried when the state of the present one was confirmed at the log longer ago than this.
const staleMilliseconds = 1_500
// A source that failed is not tried again for this long.
const avoidMilliseconds = 2_000

interface Source {
  readonly vm: string
  readonly openedAt: number
  close: () => void
  /** VMs over which the state of the last update came. */
  path: readonly string[]
  /** When the last update arrived; undefined before the first. */
  heardAt: number | undefined
  /** When the state of the last update was confirmed at the log, by this VM's clock. */
  confirmedAt: number
  map: KeyMap | undefined
  routing: RoutingTable | undefined
  directory: Directory | undefined
}

/**
 * Receives the control state from another VM, so that this VM need not read the log. Changes to a better source when there is
 * one, and to another when the present one is silent, stops or has old state.
 */
export class ControlFeed {
  readonly #options: ControlFeedOptions
  readonly #changes = new ChangeNotifier()
  readonly #avoided = new Map<string, number>()
  readonly #startedAt: number
  #current: Source | undefined
  /** A source that replaces the present one when its first update arrives. */
  #next: Source | undefined
  #confirmedAt = -Infinity
  #refusedOldState = false
  /** Whether there was a VM to watch at the last tick. */
  #hadSources = false

  constructor (options: ControlFeedOptions) {
    this.#options = options
    this.#startedAt = options.clock.now()
  }

  /** Id of the VM that this one watches; undefined without one. */
  get source (): string | undefined { return this.#current?.vm }

  /** Ids of the VMs over which the state came, beginning with the one that read the log; empty without a source. */
  get path (): readonly string[] { return this.#current?.path ?? [] }

  /** When the received state was last confirmed at the log, by this VM's clock; -Infinity while nothing was received. */
  get confirmedAt (): number { return this.#confirmedAt }

  /**
   * When the state that this VM holds was last confirmed at the log, by itself or by its source. Reads of the directory count only
   * while the other topics are read too: they wait for changes, and are confirmed by the reads of the directory.
   */
  get stateConfirmedAt (): number {
    const { map, routing, directory } = this.#options
    const readsAll = [map, routing, directory].every(follower => follower.reading)
    return Math.max(this.#confirmedAt, readsAll ? Math.min(directory.confirmedAt, this.readsAnsweredAt) : -Infinity)
  }

  /** When all topics were last read in time, by this VM's clock. A read may hang while other calls to the log are answered. */
  get readsAnsweredAt (): number {
    const { clock, map, routing, directory } = this.#options
    return clock.now() - Math.max(...[map, routing, directory].map(follower => follower.overdueMilliseconds))
  }

  /**
   * Time since the received state was confirmed at the log, in milliseconds. While nothing was received, it is the time since the
   * start of this VM, and Infinity once another VM has offered old state only.
   */
  get ageMilliseconds (): number {
    if (this.#confirmedAt === -Infinity) return this.#refusedOldState ? Infinity : this.#options.clock.now() - this.#startedAt
    return this.#options.clock.now() - this.#confirmedAt
  }

  /** Starts to watch other VMs, until the life cycle closes. */
  start (lifeCycle: LifeCycle): void {
    lifeCycle.every('control feed', tickMilliseconds, () => this.#tick(), error => logger.error('control state could not be watched', { error: describeError(error) }))
    lifeCycle.own('control feed', () => {
      this.#current?.close()
      this.#next?.close()
    })
  }

  /** Resolves once the received state is older than the limit, in milliseconds, or there is no other VM to receive it from. */
  async untilOlderThan (limit: () => number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.#options.sources().length > 0) {
      const left = limit() - this.ageMilliseconds
      if (left <= 0) return
      await this.#changes.waitForChange(left + 1, signal)
    }
  }

  #tick (): void {
    const now = this.#options.clock.now()
    const sources = this.#options.sources()
    if (sources.length === 0) {
      if (this.#hadSources) this.#stopWatching()
      return
    }
    this.#hadSources = true
    for (const source of [this.#current, this.#next]) {
      if (source === undefined) continue
      if (!sources.includes(source.vm)) this.#drop(source, 'no longer a source')
      else if (now - (source.heardAt ?? source.openedAt) > silenceMilliseconds) this.#drop(source, 'silent')
      else if (source.heardAt !== undefined && now - source.confirmedAt > staleMilliseconds && this.#hasAlternative(sources, source)) this.#drop(source, 'old state')
    }
    const better = sources.find(vm => (this.#avoided.get(vm) ?? -Infinity) < now)
    if (this.#next === undefined && better !== undefined && better !== this.#current?.vm && !this.#isBefore(sources, this.#current?.vm, better)) this.#next = this.#watch(better)
  }

  #hasAlternative (sources: readonly string[], source: Source): boolean {
    const now = this.#options.clock.now()
    return sources.some(vm => vm !== source.vm && (this.#avoided.get(vm) ?? -Infinity) < now)
  }

  #isBefore (sources: readonly string[], one: string | undefined, other: string): boolean {
    return one !== undefined && sources.indexOf(one) < sources.indexOf(other)
  }

  #watch (vm: string): Source | undefined {
    const { clock, peers, self } = this.#options
    const source: Source = { vm, openedAt: clock.now(), close: () => {}, path: [], heardAt: undefined, confirmedAt: -Infinity, map: undefined, routing: undefined, directory: undefined }
    const events: ControlWatchEvents = {
      onUpdate: update => this.#receive(source, update),
      onEnded: reason => this.#drop(source, reason)
    }
    const watcher = { id: self.id, host: self.host, port: self.port, dataCentre: self.dataCentre, weight: self.weight ?? 0, level: self.level ?? 0 }
    const watch = peers.get(vm)?.watchControl({ watcher }, events)
    if (watch === undefined) {
      this.#avoided.set(vm, clock.now() + avoidMilliseconds)
      return undefined
    }
    source.close = () => watch.close()
    return source
  }

  #receive (source: Source, update: ControlUpdate): void {
    const now = this.#options.clock.now()
    // VMs that watch each other would confirm each other's state, since its age does not include the time on the way.
    if (update.path.includes(this.#options.self.id)) return this.#drop(source, 'its state came from this VM')
    source.path = update.path
    try {
      decode(source, update)
    } catch (error) {
      // The next stream begins with the whole state.
      logger.warning('update of the control state could not be decoded', { peer: source.vm, code: errorCode(error), error: describeError(error) })
      return this.#drop(source, 'update not decoded')
    }
    source.heardAt = now
    source.confirmedAt = now - update.ageMilliseconds
    const old = update.ageMilliseconds > staleMilliseconds
    if (source === this.#next) {
      if (old && this.#current !== undefined) return this.#drop(source, 'old state')
      this.#use(source)
    }
    if (old && !this.#mayUseOldState) {
      if (source.directory !== undefined && !this.#refusedOldState) {
        this.#refusedOldState = true
        this.#changes.notify()
      }
    } else {
      this.#offer(source, update)
    }
    if (update.leaving) this.#drop(source, 'stopping')
    this.#options.poison.merge(update.poisonRequests)
    this.#options.onUpdate()
  }

  /**
   * Whether old state is better than what this VM has. A VM that has just started reads the log instead, so that endpoints that
   * have left are not used again; only when the log does not answer, old state is all there is.
   */
  get #mayUseOldState (): boolean {
    const { map, directory } = this.#options
    return (map.current !== undefined && directory.current !== undefined) || map.failing
  }

  #offer (source: Source, update: ControlUpdate): void {
    const { map, routing, directory } = this.#options
    this.#confirmedAt = Math.max(this.#confirmedAt, source.confirmedAt)
    // Positions advance without changes too. A VM that begins to read the log itself does so from its position.
    if (source.map !== undefined) map.offer({ position: update.keyMapPosition, state: source.map })
    if (source.directory !== undefined) directory.offer({ position: update.directoryPosition, state: source.directory })
    if (source.routing !== undefined) routing.offer({ position: routing.current?.position ?? 0, state: source.routing })
    for (const follower of [map, routing, directory]) follower.confirmByPeer(source.confirmedAt)
  }

  #use (source: Source): void {
    this.#next = undefined
    this.#current?.close()
    logger.info('control state is received from another VM', { peer: source.vm, before: this.#current?.vm, ageMilliseconds: Math.round(this.#options.clock.now() - source.confirmedAt) })
    this.#current = source
  }

  #drop (source: Source, reason: string): void {
    if (source !== this.#current && source !== this.#next) return
    source.close()
    this.#avoided.set(source.vm, this.#options.clock.now() + avoidMilliseconds)
    logger.info('control state is no longer received from a VM', { peer: source.vm, reason, ageMilliseconds: Math.round(this.ageMilliseconds) })
    if (source === this.#current) this.#current = undefined
    else this.#next = undefined
  }

  #stopWatching (): void {
    this.#current?.close()
    this.#next?.close()
    this.#current = this.#next = undefined
    this.#hadSources = false
    this.#changes.notify()
  }
}

/** Applies the changes of an update to the state of its source. Throws if they do not belong to it. */
function decode (source: Source, update: ControlUpdate): void {
  if (update.keyMap.length > 0) {
    const text = restoreText(update.keyMap)
    source.map = update.keyMapWhole || source.map === undefined ? decodeKeyMap(text) : applyKeyMapDelta(source.map, text)
  }
  if (update.directory.length > 0) source.directory = applyDirectoryChange(update.directoryWhole || source.directory === undefined ? new Map() : source.directory, restoreText(update.directory))
  if (update.routingTable.length > 0) source.routing = routingTableSchema.parse(JSON.parse(restoreText(update.routingTable)))
}
