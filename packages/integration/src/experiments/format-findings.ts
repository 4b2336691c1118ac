import type { Finding } from './experiment.js'

const digits = 3

/** Formats findings as a table. */
export function formatFindings (findings: readonly Finding[]): string {
  const rows = findings.map(({ name, value, target, met }) => [name, value.toFixed(Number.isInteger(value) ? 0 : digits), target, met === undefined ? '' : met ? 'met' : 'NOT MET'])
  const widths = [0, 1, 2].map(column => Math.max(0, ...rows.map(row => row[column]?.length ?? 0)))
  return rows.map(row => row.map((cell, column) => column === 1 ? cell.padStart(widths[1] ?? 0) : cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n') + '\n'
}
