import { expect } from 'chai'
import { Random } from '@briarsaddle/common'
import { OwnershipSimulation, simulatedTiming } from './simulation/ownership-simulation.js'

const faultyMilliseconds = 8_000
// Several times as long as a new leader waits for the grants of a former one.
const settleMilliseconds = 5 * (simulatedTiming.staleLeaderMilliseconds + simulatedTiming.holdMilliseconds)
const seeds = (process.env.OWNERSHIP_SEEDS ?? '1,2,3,4,5,6,7,8').split(',').map(Number)

describe('Ownership under random faults', function () {
  this.timeout(60_000)

  // Guards against two owners of a key when leaders are replaced, rejected by the log, cut off or restarted while keys move.
  it(`grants no key to two endpoints, and settles all keys when the faults end (seeds ${seeds.join(', ')})`, async () => {
    const results = await Promise.all(seeds.map(async seed => ({ seed, ...await new OwnershipSimulation(new Random(seed)).run(faultyMilliseconds, settleMilliseconds) })))
    expect(results.filter(({ violations, unsettled }) => violations.length > 0 || unsettled.length > 0)).to.deep.equal([])
    for (const { seed, maps } of results) expect(maps, `key maps written with seed ${seed}`).to.be.greaterThan(10)
  })

  // Guards against two owners of a key, and keys without one, after the log came back without its last writes (CONFIG, OWNER).
  it(`does so too while the log comes back from older copies (seeds ${seeds.join(', ')})`, async () => {
    const results = await Promise.all(seeds.map(async seed => ({ seed, ...await new OwnershipSimulation(new Random(seed), true).run(faultyMilliseconds, settleMilliseconds) })))
    expect(results.filter(({ violations, unsettled }) => violations.length > 0 || unsettled.length > 0)).to.deep.equal([])
    for (const { seed, maps } of results) expect(maps, `key maps written with seed ${seed}`).to.be.greaterThan(10)
  })
})
