import type { RunResult } from './result.js'
import type { SlotTime } from './slot-time.js'

/** A result with the name under which the report shows it. */
export interface NamedResult {
  readonly name: string
  readonly result: RunResult
}

interface Row {
  readonly label: string
  readonly value: (result: RunResult) => number | undefined
}

const slotUses: ReadonlyArray<{ readonly label: string, readonly use: keyof SlotTime }> = [
  { label: 'useful after the end', use: 'usefulAtEnd' },
  { label: 'wasted', use: 'wasted' },
  { label: 'between requests', use: 'handOver' },
  { label: 'idle while queued', use: 'idleWhileQueued' },
  { label: 'idle, queue empty', use: 'idleWithEmptyQueue' }
]
const latestSendMilliseconds = 20
const bars = ' ▁▂▃▄▅▆▇█'
const sum = (counts: Readonly<Record<string, number>>): number => Object.values(counts).reduce((total, count) => total + count, 0)

/** Formats a table of all figures, with ratios against the first result, and a chart per result. */
export function formatReport (results: readonly NamedResult[]): string {
  const baseline = results[0]
  if (baseline === undefined) return ''
  const header = ['', ...results.map(({ name }) => name)]
  const subjects = ['scenario, phase, seed', ...results.map(({ result }) => `${result.scenario} ${result.phase} ${result.seed}`)]
  const rows = rowsFor(results.map(({ result }) => result)).map(({ label, value }) => {
    const base = value(baseline.result)
    return [label, ...results.map(({ result }, index) => formatCell(value(result), index === 0 ? undefined : base))]
  })
  const warnings = results.flatMap(({ name, result }) => [
    ...result.sendDelay.p99 > latestSendMilliseconds ? [`Warning: in ${name} the tool itself was late (p99 ${format(result.sendDelay.p99)} ms); do not use its latencies.`] : [],
    ...result.waitedForConnection > 0 ? [`Warning: in ${name} ${result.waitedForConnection} requests waited in the tool for a connection; raise --connections.`] : []
  ])
  return [...align([header, subjects, ...rows]), ...warnings, '', ...results.flatMap(formatChart)].join('\n') + '\n'
}

function rowsFor (results: readonly RunResult[]): readonly Row[] {
  const names = (pick: (result: RunResult) => object): readonly string[] => [...new Set(results.flatMap(result => Object.keys(pick(result))))].sort()
  return [
    { label: 'goodput /s', value: result => result.goodputPerSecond },
    ...names(result => result.classes).flatMap((name): Row[] => [
      { label: `${name} in time share`, value: ({ classes }) => share(classes[name]?.answeredInTime, classes[name]?.planned) },
      { label: `${name} p50 ms`, value: ({ classes }) => classes[name]?.latency.p50 },
      { label: `${name} p99 ms`, value: ({ classes }) => classes[name]?.latency.p99 },
      { label: `${name} max ms`, value: ({ classes }) => classes[name]?.latency.max }
    ]),
    ...names(result => result.measures.loadImbalance).map((pool): Row => ({ label: `imbalance ${pool} max/mean`, value: ({ measures }) => measures.loadImbalance[pool]?.maximumToMean })),
    { label: 'churn: key owner changes', value: ({ measures }) => measures.churn.keyOwnerChanges },
    { label: 'churn: bucket moves', value: ({ measures }) => measures.churn.bucketMoves < 0 ? undefined : measures.churn.bucketMoves },
    { label: 'unavailable total ms', value: ({ measures }) => measures.unavailable.totalMilliseconds },
    { label: 'unavailable longest ms', value: ({ measures }) => measures.unavailable.longestMilliseconds },
    { label: 'window in time share', value: ({ measures }) => measures.windowService.inTimeShare },
    { label: 'window p99 ms', value: ({ measures }) => measures.windowService.p99 },
    ...names(result => result.window).flatMap((name): Row[] => [
      { label: `window ${name} p99 ms`, value: ({ window }) => window[name]?.latency.p99 },
      { label: `window ${name} in time share`, value: ({ window }) => share(window[name]?.answeredInTime, window[name]?.planned) },
      { label: `window ${name} accepted, late`, value: ({ window }) => window[name]?.acceptedNotInTime }
    ]),
    ...names(result => result.pools).flatMap((pool): Row[] => [
      { label: `useful share ${pool}`, value: ({ pools }) => pools[pool]?.usefulShare },
      { label: `useful share ${pool}, recorded`, value: ({ pools }) => pools[pool]?.recordedUsefulShare },
      ...slotUses.map(({ label, use }): Row => ({ label: `  slot time ${pool}: ${label}`, value: ({ pools }) => pools[pool]?.slotTime?.[use] }))
    ]),
    { label: 'short waiting p99 in window ms', value: ({ measures }) => measures.headOfLineBlocking.p99InWindow },
    { label: 'short waiting p99 outside ms', value: ({ measures }) => measures.headOfLineBlocking.p99Outside },
    { label: 'deadline misses', value: result => result.deadlineMisses },
    { label: 'refused', value: result => sum(result.refusals) },
    ...names(result => result.refusals).map((reason): Row => ({ label: `  ${reason}`, value: ({ refusals }) => refusals[reason] ?? 0 })),
    { label: 'refusal p99 ms', value: result => result.refusalLatency.p99 },
    { label: 'refusals without Retry-After', value: result => result.refusalsWithoutRetryAfter },
    { label: 'unknown', value: result => sum(result.unknown) },
    ...names(result => result.unknown).map((reason): Row => ({ label: `  ${reason}`, value: ({ unknown }) => unknown[reason] ?? 0 })),
    { label: 'violations: ran twice', value: ({ violations }) => violations?.ranTwice },
    { label: 'violations: not run but ran', value: ({ violations }) => violations?.reportedNotRunButRan },
    { label: 'send delay p99 ms', value: result => result.sendDelay.p99 }
  ]
}

function share (part: number | undefined, whole: number | undefined): number | undefined {
  return part === undefined || whole === undefined || whole === 0 ? undefined : part / whole
}

function formatCell (value: number | undefined, baseline: number | undefined): string {
  if (value === undefined) return '-'
  return baseline === undefined || baseline === 0 ? format(value) : `${format(value)} (x${(value / baseline).toFixed(2)})`
}

function format (value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(value < 10 ? 3 : 1)
}

function align (rows: readonly string[][]): readonly string[] {
  const widths = rows[0]?.map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0))) ?? []
  return rows.map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[0] ?? 0) : cell.padStart(widths[column] ?? 0)).join('  ').trimEnd())
}

function formatChart ({ name, result }: NamedResult): readonly string[] {
  const line = (label: string, values: readonly number[]): string => {
    const top = Math.max(...values, 0)
    const points = values.map(value => bars[top === 0 ? 0 : Math.ceil(value / top * (bars.length - 1))] ?? ' ')
    return `  ${label.padEnd(16)}|${points.join('')}| highest ${format(top)}`
  }
  return [
    `${name}, per second of arrival:`,
    line('planned', result.series.map(({ planned }) => planned)),
    line('answered in time', result.series.map(({ answeredInTime }) => answeredInTime)),
    line('refused', result.series.map(({ refused }) => refused)),
    line('p99 ms', result.series.map(({ p99 }) => p99))
  ]
}
