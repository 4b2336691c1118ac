import { expect } from 'chai'
import { summarizeTraces } from '../bed/observation.js'
import { deploymentFor, readTrace, replay } from '../bed/replay.js'

describe('Replay of recorded traces', function () {
  this.timeout(60_000)

  for (const name of ['atlas-dispatch-morning', 'ostrina-booking-rush']) {
    it(`has the stated outcomes of ${name}, so that a change does not make known days worse`, async function () {
      const trace = await readTrace(name)
      const deployment = deploymentFor(trace)
      try {
        await deployment.start()
        const { traces, failures } = await replay(deployment, trace)
        console.log(`      ${trace.name}: ${summarizeTraces(traces)}`)
        if (failures.length > 0) console.log(deployment.logs().split('\n').slice(-150).join('\n'))
        expect(failures).to.deep.equal([])
      } finally {
        await deployment.stop()
      }
    })
  }
})
