import { Logger, type Clock, type LifeCycle } from '@briarsaddle/common'
import { isMajority, newestWitnessList, noVersion, type RingVm } from '@briarsaddle/ownership'
import type { LogFollower } from './log-follower.js'
import type { Membership } from './membership.js'
import type { RecordWriter } from './record-writer.js'
import type { WitnessPoll } from './witness-poll.js'

const logger = new Logger('upkeep')
/** Maximum number of witnesses. With nine, a majority still responds in one round when four are lost. */
const maximumWitnesses = 9
const checkpointRecords = 100
const checkpointMilliseconds = 30_000
/** Interval at which the checkpoint of an unchanged state is repeated, because the log keeps records for a limited time only. */
const unchangedCheckpointMilliseconds = 600_000
/** Additional delay per rank of this VM among the live VMs, so that usually only the VM of rank 0 acts. */
const rankDelayMilliseconds = 500
/** Time for which a witness must be missing from the VM list before it is replaced. */
const missingMilliseconds = 5000
/** Time for which a change of the witness list must be due before it is proposed, so that short membership changes have no effect. */
const witnessChangeDelayMilliseconds = 500

/** Keeps the witness list up to date and publishes checkpoints. Runs on every VM; of concurrent witness records only one takes effect. */
export class ControlLogMaintenance {
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

  /** Performs the tasks that are due. */
  async review (): Promise<void> {
    if (!this.#follower.caughtUp || !this.#membership.known) return
    if (this.#isDue('witnesses', this.#wantedWitnesses() !== undefined, witnessChangeDelayMilliseconds)) await this.#proposeWitnesses()
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
    return now - since >= delayMilliseconds + this.#rank() * rankDelayMilliseconds
  }

  #rank (): number {
    const usable = this.#membership.vms.map(({ id }) => id).filter(id => !this.#membership.suspected.has(id)).sort()
    const index = usable.indexOf(this.#self)
    return index < 0 ? usable.length : index
  }

  /** Returns the witness list to propose, or undefined when no change is needed or a list is pending. */
  #wantedWitnesses (): readonly string[] | undefined {
    const { witnesses } = this.#follower.state
    if (witnesses.pending !== undefined) return undefined
    const gone = witnesses.vms.filter(vm => this.#membership.missingFor(vm) > missingMilliseconds)
    const candidates = this.#membership.vms.filter(({ id }) => !this.#membership.suspected.has(id))
    const kept = witnesses.vms.filter(vm => !gone.includes(vm))
    const wantedCount = Math.min(maximumWitnesses, Math.max(candidates.length, kept.length))
    if (gone.length === 0 && kept.length >= wantedCount) return undefined
    const wanted = fillWitnesses(kept, candidates, wantedCount)
    return wanted.length === 0 || sameMembers(wanted, witnesses.vms) ? undefined : wanted
  }

  async #proposeWitnesses (): Promise<void> {
    const vms = this.#wantedWitnesses()
    if (vms === undefined) return
    const base = newestWitnessList(this.#follower.state.witnesses)
    const offset = await this.#writer.propose('witnesses', { kind: 'witnesses', base, vms }, this.#lifeCycle.signal)
    if (offset !== undefined) logger.info('witnesses proposed', { vms: vms.join(','), offset })
  }

  /**
   * Puts the pending list into effect once a majority of the current witnesses has read it: from then on that majority
   * confirms no requester that does not know the pending list.
   */
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
    // Otherwise operators could not publish until the next regular checkpoint, which may be later than a change must be in force.
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

/** Adds candidates to the kept witnesses up to `count`, each from the data centre with the fewest witnesses. */
function fillWitnesses (kept: readonly string[], candidates: readonly RingVm[], count: number): readonly string[] {
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
