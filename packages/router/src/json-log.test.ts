import { expect } from 'chai'
import { spawn } from 'node:child_process'
import { once } from 'node:events'

const lineCount = 40_000
const stopMilliseconds = 5_000
// Longest turn of the event loop in a process that only writes log lines, with a margin for a busy machine.
const longestPauseMilliseconds = 250
const memoryMegabytes = 40

/** Writes far more lines than a pipe holds, each of its own kind so that no rate limit applies, and reports the result on standard error. */
const program = `
import { JsonLog } from '${new URL('./json-log.js', import.meta.url).href}'
import { RouterMetrics } from '${new URL('./router-metrics.js', import.meta.url).href}'
const log = new JsonLog('vm-1', new RouterMetrics())
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

/** Writes many lines with one reason, then a single line with another reason. */
const floodProgram = `
import { JsonLog } from '${new URL('./json-log.js', import.meta.url).href}'
import { RouterMetrics } from '${new URL('./router-metrics.js', import.meta.url).href}'
const metrics = new RouterMetrics()
const log = new JsonLog('vm-1', metrics)
for (let line = 0; line < 1000; line++) log.write('test', 'info', 'refused', { request: 'r' + line, reason: 'frequent', padding: 'x'.repeat(10_000) })
log.write('test', 'info', 'refused', { request: 'r', reason: 'rare' })
setTimeout(async () => {
  await log.close()
  process.stderr.write(await metrics.text())
  process.exit(0)
}, 2_000)
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

  it('reports how many lines of which kind it omitted, even when no line of the kind follows, and limits each reason separately', async () => {
    const child = spawn(process.execPath, ['--input-type=module', '--eval', floodProgram], { stdio: ['ignore', 'pipe', 'pipe'] })
    let output = ''
    child.stdout.on('data', (data: Buffer) => { output += data.toString() })
    const [[report]] = await Promise.all([once(child.stderr, 'data') as Promise<[Buffer]>, once(child, 'close')])
    const lines = output.trim().split('\n').map(line => JSON.parse(line) as { readonly msg: string, readonly reason?: string, readonly line?: string, readonly lineReason?: string, readonly lines?: number, readonly omittedBefore?: number, readonly padding?: string })
    expect(lines.filter(({ msg, reason }) => msg === 'refused' && reason === 'rare')).to.have.length(1)
    const written = lines.filter(({ msg, reason }) => msg === 'refused' && reason === 'frequent')
    // The limit is 40 lines per second, and the lines may be written in two different seconds.
    expect(written.length).to.be.within(40, 80)
    const leftOut = lines.filter(({ msg }) => msg === 'lines were left out')
    expect(leftOut[0]).to.deep.include({ line: 'refused', lineReason: 'frequent' })
    const omitted = [...leftOut.map(({ lines: count }) => count ?? 0), ...lines.map(({ omittedBefore }) => omittedBefore ?? 0)].reduce((sum, count) => sum + count, 0)
    expect(written.length + omitted).to.equal(1_000)
    expect(report.toString()).to.include(`briarsaddle_log_lines_total{result="omitted"} ${omitted}`)
    expect(lines.every(({ padding = '' }) => padding.length <= 2_000)).to.equal(true)
  })
})
