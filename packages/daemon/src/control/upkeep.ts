import { Logger, type Clock, type LifeCycle } from '@briarsaddle/common'
import { isMajority, newestWitnessList, noVersion, type RingVm } from '@briarsaddle/ownership'
import type { LogFollower } from './log-follower.js'
import type { Membership } from './membership.js'
import type { RecordWriter } from './record-writer.js'
import type { WitnessPoll } from './witness-poll.js'

const logger = new Logger('upkeep')
/** Most witnesses; a majority of nine answers in one round also when four are lost. */
const maximumWitnesses = 9
const checkpointRecords = 100
const checkpointMilliseconds = 30_000
/** A checkpoint with no record after it is repeated only so that the log, which keeps records for a limited time, has one. */
const unchangedCheckpointMilliseconds = 600_000
/** How long a change must be due before this VM acts, by its place among the live VMs: usually only the first one does. */
const placeStepMilliseconds = 500
const goneMilliseconds = 5000
const settledMembershipMilliseconds = 500

/** Keeps the witness list current and publishes checkpoints. Every VM does this; the records of all but one are void. */
export class Upkeep {
  readonly #self: string
  readonly #follower: LogFollower
  readonly #membership: Membership
  readonly #writer: RecordWriter
  readonly #poll: WitnessPoll
  readonly #clock: Clock
  readonly #lifeCycle: LifeCycle
  readonly #dueSince = new Map<string, number>()
  #lastCheckpointSeen: number | undefined
  #lastCheckpointAt: number

  constructor (options: {
    readonly self: string
    readonly follower: LogFollower
    readonly membership: Membership
    readonly writer: RecordWriter
    readonly poll: WitnessPoll
    readonly clock: Clock
    readonly lifeCycle: LifeCycle
  }) {
    this.#self = options.self
    this.#follower = options.follower
    this.#membership = options.membership
    this.#writer = options.writer
    this.#poll = options.poll
    this.#clock = options.clock
    this.#lifeCycle = options.lifeCycle
    this.#lastCheckpointAt = options.clock.now()
  }

  /** Looks once at everything that may be due. */
  async review (): Promise<void> {
    if (!this.#follower.caughtUp || !this.#membership.known) return
    if (this.#isDue('witnesses', this.#wantedWitnesses() !== undefined, settledMembershipMilliseconds)) await this.#proposeWitnesses()
    if (this.#isDue('settle', this.#follower.state.witnesses.pending !== undefined, 0)) await this.#settleWitnesses()
    if (this.#isDue('checkpoint', this.#checkpointIsDue(), 0)) await this.#publishCheckpoint()
  }

  #isDue (task: string, condition: boolean, delayMilliseconds: number): boolean {
    if (!condition) {
      this.#dueSince.delete(task)
      return false
    }
    const now = this.#clock.now()
    const since = this.#dueSince.get(task) ?? now
    this.#dueSince.set(task, since)
    return now - since >= delayMilliseconds + this.#place() * placeStepMilliseconds
  }

  #place (): number {
    const usable = this.#membership.vms.map(({ id }) => id).filter(id => !this.#membership.suspected.has(id)).sort()
    const index = usable.indexOf(this.#self)
    return index < 0 ? usable.length : index
  }

  /** The list that should replace the newest one, or undefined when that is fine. */
  #wantedWitnesses (): readonly string[] | undefined {
    const { witnesses } = this.#follower.state
    if (witnesses.pending !== undefined) return undefined
    const gone = witnesses.vms.filter(vm => this.#membership.missingFor(vm) > goneMilliseconds)
    const candidates = this.#membership.vms.filter(({ id }) => !this.#membership.suspected.has(id))
    const kept = witnesses.vms.filter(vm => !gone.includes(vm))
    const wantedCount = Math.min(maximumWitnesses, Math.max(candidates.length, kept.length))
    if (gone.length === 0 && kept.length >= wantedCount) return undefined
    const wanted = spread(kept, candidates, wantedCount)
    return wanted.length === 0 || sameMembers(wanted, witnesses.vms) ? undefined : wanted
  }

  async #proposeWitnesses (): Promise<void> {
    const vms = this.#wantedWitnesses()
    if (vms === undefined) return
    const base = newestWitnessList(this.#follower.state.witnesses)
    const offset = await this.#writer.propose('witnesses', { kind: 'witnesses', base, vms }, this.#lifeCycle.signal)
    if (offset !== undefined) logger.info('witnesses proposed', { vms: vms.join(','), offset })
  }

  /** A pending list takes effect once a majority of the former witnesses has read it: from then on none of them confirms under the former list. */
  async #settleWitnesses (): Promise<void> {
    const { state } = this.#follower
    const { pending, vms } = state.witnesses
    if (pending === undefined) return
    const read = new Set<string>()
    await this.#poll.ask(state, vms, [], true, ({ vm, answer }) => {
      if (answer.position >= pending.offset) read.add(vm)
      return isMajority(vms, witness => read.has(witness))
    })
    if (!isMajority(vms, vm => read.has(vm))) return
    await this.#writer.propose('witnessesSettled', { kind: 'witnessesSettled', base: pending.offset }, this.#lifeCycle.signal)
  }

  #checkpointIsDue (): boolean {
    const { state, lastCheckpoint, startRetained } = this.#follower
    if (state.position === noVersion) return false
    // Operators could not publish until the next regular checkpoint, which may be later than a change must be in force.
    if (!startRetained) return true
    if (lastCheckpoint !== this.#lastCheckpointSeen) {
      this.#lastCheckpointSeen = lastCheckpoint
      this.#lastCheckpointAt = this.#clock.now()
    }
    if (state.position - (lastCheckpoint ?? noVersion) > checkpointRecords) return true
    const unchanged = state.position === lastCheckpoint
    return this.#clock.now() - this.#lastCheckpointAt > (unchanged ? unchangedCheckpointMilliseconds : checkpointMilliseconds)
  }

  async #publishCheckpoint (): Promise<void> {
    const { position } = this.#follower.state
    const offset = await this.#writer.propose('checkpoint', { kind: 'checkpoint', position, state: this.#follower.encode() }, this.#lifeCycle.signal)
    if (offset !== undefined) logger.info('checkpoint published', { position, offset })
  }
}

/** Fills the list up, taking from the data centre that has the fewest witnesses first. */
function spread (kept: readonly string[], candidates: readonly RingVm[], count: number): readonly string[] {
  const chosen = [...kept]
  const dataCentreOf = new Map(candidates.map(({ id, dataCentre }) => [id, dataCentre]))
  const left = candidates.filter(({ id }) => !chosen.includes(id)).map(({ id }) => id).sort()
  const inDataCentre = (id: string): number => chosen.filter(other => dataCentreOf.get(other) === dataCentreOf.get(id)).length
  while (chosen.length < count && left.length > 0) {
    const next = left.reduce((best, id) => inDataCentre(id) < inDataCentre(best) ? id : best)
    chosen.push(next)
    left.splice(left.indexOf(next), 1)
  }
  return chosen.sort()
}

function sameMembers (one: readonly string[], other: readonly string[]): boolean {
  return one.length === other.length && one.every(id => other.includes(id))
}
