import { expect } from 'chai'
import { spawn } from 'node:child_process'
import { once } from 'node:events'

const lineCount = 40_000
const stopMilliseconds = 5_000
// A turn of the event loop in a process that only writes log lines, with room for a busy machine.
const longestPauseMilliseconds = 250
const memoryMegabytes = 40

/** Writes far more than a pipe holds, of more kinds than one bound covers, and reports how it went on standard error. */
const program = `
import { JsonLog } from '${new URL('./json-log.js', import.meta.url).href}'
const log = new JsonLog('vm-1')
let last = performance.now()
let longestPause = 0
const before = process.memoryUsage().rss
let kind = 0
const timer = setInterval(() => {
  const now = performance.now()
  longestPause = Math.max(longestPause, now - last)
  last = now
  for (let line = 0; line < 200; line++) log.write('test', 'info', 'kind ' + kind++, { padding: 'x'.repeat(1000) })
  if (kind < ${lineCount}) return
  clearInterval(timer)
  process.stderr.write(JSON.stringify({ longestPause, megabytes: (process.memoryUsage().rss - before) / 2 ** 20 }))
  void Promise.resolve(log.close()).then(() => process.exit(0))
}, 5)
`

describe('JsonLog', function () {
  this.timeout(30_000)

  it('delays nothing, stays small and ends when nobody reads standard output (a log collector that hangs)', async () => {
    const child = spawn(process.execPath, ['--input-type=module', '--eval', program], { stdio: ['ignore', 'pipe', 'pipe'] })
    const ended = new Promise<number | null>(resolve => child.once('exit', resolve))
    let stopTimer: NodeJS.Timeout | undefined
    try {
      const [report] = await once(child.stderr, 'data') as [Buffer]
      const { longestPause, megabytes } = JSON.parse(report.toString()) as { longestPause: number, megabytes: number }
      expect(longestPause).to.be.lessThan(longestPauseMilliseconds)
      expect(megabytes).to.be.lessThan(memoryMegabytes)
      const late = new Promise<string>(resolve => { stopTimer = setTimeout(() => resolve('still running'), stopMilliseconds) })
      expect(await Promise.race([ended, late])).to.equal(0)
    } finally {
      clearTimeout(stopTimer)
      child.kill('SIGKILL')
    }
  })
})
