import { expect } from 'chai'
import { stat } from 'node:fs/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { delay } from './clock.js'
import { withTimeLimit } from './time-limit.js'

describe('withTimeLimit', () => {
  const untilAborted = async (signal: AbortSignal): Promise<string> => await new Promise(resolve => signal.addEventListener('abort', () => resolve('aborted')))

  it('aborts after the time, also after a garbage collection, so that no call waits for ever', async () => {
    setFlagsFromString('--expose-gc')
    const collect = runInNewContext('gc') as () => void
    const limited = withTimeLimit(50, new AbortController().signal, untilAborted)
    await delay(10)
    collect()
    expect(await Promise.race([limited, delay(1_000)])).to.equal('aborted')
  })

  it('aborts with the outer signal, also if that was aborted before', async () => {
    const outer = new AbortController()
    const limited = withTimeLimit(10_000, outer.signal, untilAborted)
    outer.abort()
    expect(await limited).to.equal('aborted')
    expect(await withTimeLimit(10_000, outer.signal, async signal => signal.aborted)).to.equal(true)
  })

  // Guards against endpoints that are treated as lost because the event loop of their leader was blocked for longer than the limit
  // of calls whose answers arrived meanwhile.
  it('accepts an answer that arrived while the event loop was blocked', async () => {
    const limited = withTimeLimit(20, undefined, async signal => await Promise.race([stat('.').then(() => 'answered'), untilAborted(signal)]))
    const blockedUntil = performance.now() + 100
    while (performance.now() < blockedUntil);
    expect(await limited).to.equal('answered')
  })
})
