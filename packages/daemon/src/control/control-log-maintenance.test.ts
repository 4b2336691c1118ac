import { expect } from 'chai'
import { LifeCycle, ManualClock } from '@briarsaddle/common'
import type { LogFollower } from './log-follower.js'
import type { Membership } from './membership.js'
import type { Proposal, RecordWriter } from './record-writer.js'
import { ControlLogMaintenance } from './control-log-maintenance.js'
import type { WitnessPoll } from './witness-poll.js'

describe('maintenance of the control log', () => {
  const secondMilliseconds = 1000
  const minuteMilliseconds = 60 * secondMilliseconds
  let clock: ManualClock
  let log: { position: number, lastCheckpoint: number | undefined, startRetained: boolean }
  let maintenance: ControlLogMaintenance

  beforeEach(() => {
    clock = new ManualClock()
    log = { position: 5, lastCheckpoint: undefined, startRetained: true }
    const state = (): unknown => ({ position: log.position, witnesses: { version: 1, vms: ['vm-1'], pending: undefined } })
    const follower = { caughtUp: true, get state () { return state() }, get lastCheckpoint () { return log.lastCheckpoint }, get startRetained () { return log.startRetained }, encode: () => '' }
    const membership = { known: true, vms: [{ id: 'vm-1', dataCentre: 'a' }], suspected: new Set(), missingFor: () => 0 }
    const writer = {
      propose: async (_topic: string, { kind }: Proposal) => {
        expect(kind).to.equal('checkpoint')
        log.position += 1
        log.lastCheckpoint = log.position
        return log.position
      }
    }
    maintenance = new ControlLogMaintenance({
      self: 'vm-1',
      follower: follower as unknown as LogFollower,
      membership: membership as unknown as Membership,
      writer: writer as unknown as RecordWriter,
      poll: {} as WitnessPoll,
      clock,
      lifeCycle: new LifeCycle('test')
    })
  })

  /** Reviews once per second for the given time and returns the number of published checkpoints. */
  async function checkpointsIn (milliseconds: number): Promise<number> {
    let published = 0
    for (let passed = 0; passed < milliseconds; passed += secondMilliseconds) {
      clock.advance(secondMilliseconds)
      const former = log.lastCheckpoint
      await maintenance.review()
      if (log.lastCheckpoint !== former) published += 1
    }
    return published
  }

  it('publishes a checkpoint within a minute of a record, so that a new VM does not replay a long log', async () => {
    expect(await checkpointsIn(minuteMilliseconds)).to.equal(1)
    log.position += 1
    expect(await checkpointsIn(minuteMilliseconds)).to.equal(1)
  })

  it('repeats the checkpoint of an unchanged state about every 10 min, which costs an idle VM little and keeps a checkpoint in the log', async () => {
    await checkpointsIn(minuteMilliseconds)
    expect(await checkpointsIn(9 * minuteMilliseconds)).to.equal(0)
    expect(await checkpointsIn(60 * minuteMilliseconds)).to.be.within(5, 6)
  })

  it('publishes a checkpoint at once when the log has discarded records that the last one does not cover, so that a new VM can start', async () => {
    await checkpointsIn(minuteMilliseconds)
    log.startRetained = false
    expect(await checkpointsIn(secondMilliseconds)).to.equal(1)
  })
})
