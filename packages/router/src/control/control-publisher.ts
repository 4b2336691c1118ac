import { describeError, Logger, type Clock, type LifeCycle } from '@briarsaddle/common'
import { encodeKeyMap, encodeKeyMapDelta, type KeyMap } from '@briarsaddle/key-ranges'
import { ControlUpdate, type ControlWatcher, type Watcher } from '@briarsaddle/protocol'
import type { Directory } from '../endpoint-entry.js'
import type { PoisonList } from '../poison/poison-list.js'
import type { RoutingTable } from '../routing-table.js'
import { compressText } from './compressed-text.js'
import { encodeDirectoryChange } from './directory-codec.js'
import type { TopicFollower } from './topic-follower.js'

const logger = new Logger('publisher')

/** What the publisher needs from the VM. */
export interface ControlPublisherOptions {
  readonly clock: Clock
  readonly map: TopicFollower<KeyMap>
  readonly routing: TopicFollower<RoutingTable>
  readonly directory: TopicFollower<Directory>
  readonly poison: PoisonList
  /** Time since the control state of this VM was last confirmed at the log, in milliseconds. */
  readonly age: () => number
  readonly leaving: () => boolean
  /** Ids of the VMs over which the control state of this VM came, ending with this one. */
  readonly path: () => readonly string[]
}

// Interval of updates without a change. Watchers notice by them how old the state is.
const heartbeatMilliseconds = 250
// An update that was sent this shortly before, because of a change, takes the place of a heartbeat.
const heartbeatSlackMilliseconds = 50
const noDirectory: Directory = new Map()
const noContent = Buffer.alloc(0)

interface Watch {
  readonly watcher: ControlWatcher
  readonly openedAt: number
  writable: boolean
  map: KeyMap | undefined
  routing: RoutingTable | undefined
  directory: Directory | undefined
  poisonVersion: number
}

/** Sends the control state of this VM and its changes to the VMs that watch it. */
export class ControlPublisher {
  readonly #options: ControlPublisherOptions
  readonly #watches = new Set<Watch>()
  #scheduled = false
  #publishedAt = -Infinity

  constructor (options: ControlPublisherOptions) {
    this.#options = options
    for (const topic of [options.map, options.routing, options.directory, options.poison]) topic.onChange(() => this.publishSoon())
  }

  /** Starts to send heartbeats, until the life cycle closes. */
  start (lifeCycle: LifeCycle): void {
    lifeCycle.every('control heartbeats', heartbeatMilliseconds, () => {
      if (this.#options.clock.now() - this.#publishedAt > heartbeatMilliseconds - heartbeatSlackMilliseconds) this.#publish()
    }, error => logger.error('control state could not be published', { error: describeError(error) }))
    lifeCycle.own('watchers', () => { for (const { watcher } of this.#watches) watcher.close() })
  }

  /** VMs that watch this one. */
  get watchers (): readonly Watcher[] {
    const now = this.#options.clock.now()
    return [...this.#watches].map(({ watcher, openedAt }) => ({ vm: watcher.vm, openMilliseconds: now - openedAt }))
  }

  /** Adds a watcher and sends it the whole state. */
  add (watcher: ControlWatcher): void {
    const watch: Watch = { watcher, openedAt: this.#options.clock.now(), writable: true, map: undefined, routing: undefined, directory: undefined, poisonVersion: 0 }
    this.#watches.add(watch)
    watcher.onWritable(() => { watch.writable = true })
    watcher.onClosed(() => this.#watches.delete(watch))
    this.#send(watch, new Map())
  }

  /** Sends an update to all watchers after the changes of this turn of the event loop. */
  publishSoon (): void {
    if (this.#scheduled || this.#watches.size === 0) return
    this.#scheduled = true
    setImmediate(() => {
      this.#scheduled = false
      this.#publish()
    })
  }

  #publish (): void {
    this.#publishedAt = this.#options.clock.now()
    // Watchers that have received the same state get the same change, which is encoded once.
    const encoded = new Map<unknown, Buffer>()
    for (const watch of this.#watches) if (watch.writable) this.#send(watch, encoded)
  }

  #send (watch: Watch, encoded: Map<unknown, Buffer>): void {
    const { map, routing, directory, poison, age, leaving, path } = this.#options
    const update = ControlUpdate.create({
      ageMilliseconds: Math.min(age(), longestAgeMilliseconds),
      leaving: leaving(),
      path: [...path()],
      keyMapPosition: map.current?.position ?? 0,
      routingVersion: routing.current?.state.version ?? 0,
      directoryPosition: directory.current?.position ?? 0
    })
    if (map.current !== undefined && map.current.state !== watch.map) {
      const { state } = map.current
      const { map: before } = watch
      const change = before === undefined ? noContent : once(encoded, before, () => encodeKeyMapDelta(before, state) ?? '')
      update.keyMapWhole = change.length === 0
      update.keyMap = update.keyMapWhole ? once(encoded, state, () => encodeKeyMap(state)) : change
      watch.map = state
    }
    if (routing.current !== undefined && routing.current.state !== watch.routing) {
      const { state } = routing.current
      update.routingTable = once(encoded, state, () => JSON.stringify(state))
      watch.routing = state
    }
    if (directory.current !== undefined && directory.current.state !== watch.directory) {
      const { state } = directory.current
      update.directoryWhole = watch.directory === undefined
      const before = watch.directory ?? noDirectory
      update.directory = once(encoded, before, () => encodeDirectoryChange(before, state))
      watch.directory = state
    }
    if (poison.version !== watch.poisonVersion) {
      update.poisonRequests = poison.encode()
      watch.poisonVersion = poison.version
    }
    watch.writable = watch.watcher.send(update)
  }
}

// Stands for a state that was never confirmed; JSON and some decoders have no infinite numbers.
const longestAgeMilliseconds = 3_600_000

/** Returns the compressed text for a key, which is encoded once; nothing for an empty text. */
function once (encoded: Map<unknown, Buffer>, key: unknown, encode: () => string): Buffer {
  let bytes = encoded.get(key)
  if (bytes === undefined) {
    const text = encode()
    encoded.set(key, bytes = text === '' ? noContent : compressText(text))
  }
  return bytes
}
