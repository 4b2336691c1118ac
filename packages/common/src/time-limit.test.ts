import { expect } from 'chai'
import { stat } from 'node:fs/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { delay } from './clock.js'
import { withTimeLimit } from './time-limit.js'

describe('withTimeLimit', () => {
  const untilAborted = async (signal: AbortSignal): Promise<string> => await new Promise(resolve => signal.addEventListener('abort', () => resolve('aborted')))

  it('aborts after the time, even when garbage was collected meanwhile (a call that waits for ever)', async () => {
    setFlagsFromString('--expose-gc')
    const collect = runInNewContext('gc') as () => void
    const limited = withTimeLimit(50, new AbortController().signal, untilAborted)
    await delay(10)
    collect()
    expect(await Promise.race([limited, delay(1_000)])).to.equal('aborted')
  })

  it('aborts with the outer signal, also when that was aborted before', async () => {
    const outer = new AbortController()
    const limited = withTimeLimit(10_000, outer.signal, untilAborted)
    outer.abort()
    expect(await limited).to.equal('aborted')
    expect(await withTimeLimit(10_000, outer.signal, async signal => signal.aborted)).to.equal(true)
  })
  // Pattern: the event loop is held up for longer than the limit of calls whose answers arrive meanwhile.
  it('takes an answer that has arrived while the event loop was held up (endpoints taken for lost because their leader was behind)', async () => {
    const limited = withTimeLimit(20, undefined, async signal => await Promise.race([stat('.').then(() => 'answered'), untilAborted(signal)]))
    const blockedUntil = performance.now() + 100
    while (performance.now() < blockedUntil);
    expect(await limited).to.equal('answered')
  })
})
