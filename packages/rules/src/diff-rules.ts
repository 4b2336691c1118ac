import { diffArrays } from 'diff'

/** One difference between two rule files. `oldLine` and `newLine` are line numbers in the old and the new file, from 1. */
export type RuleChange =
  | { readonly kind: 'added', readonly newLine: number, readonly newText: string }
  | { readonly kind: 'removed', readonly oldLine: number, readonly oldText: string }
  | { readonly kind: 'changed', readonly oldLine: number, readonly oldText: string, readonly newLine: number, readonly newText: string }

/** Differences between two rule files. */
export interface RuleDifference {
  readonly changes: readonly RuleChange[]
  /** One line per removed (`-`) or added (`+`) line, with its line number; empty when the files are equal. */
  readonly text: string
}

interface NumberedLine {
  readonly line: number
  readonly text: string
}

/**
 * Compares two rule files line by line. A removed and an added line with the same method and pattern count as one changed
 * line. Line endings are ignored.
 */
export function diffRules (oldText: string, newText: string): RuleDifference {
  const changes: RuleChange[] = []
  let oldLine = 1
  let newLine = 1
  let removed: NumberedLine[] = []
  for (const part of diffArrays(splitLines(oldText), splitLines(newText))) {
    if (part.removed) {
      removed = part.value.map(text => ({ line: oldLine++, text }))
      continue
    }
    const added = part.added ? part.value.map(text => ({ line: newLine++, text })) : []
    changes.push(...pairLines(removed, added))
    removed = []
    if (!part.added) {
      oldLine += part.value.length
      newLine += part.value.length
    }
  }
  changes.push(...pairLines(removed, []))
  return { changes, text: changes.map(formatChange).join('\n') }
}

function splitLines (text: string): string[] {
  const lines = text.split(/\r?\n/)
  if (lines.at(-1) === '') lines.pop()
  return lines
}

/** Returns the method and pattern of a rule line, or undefined for blank lines and comments. */
function methodAndPatternOf (text: string): string | undefined {
  return /^\s*([^\s#]+\s+\S+)/.exec(text)?.[1]?.replace(/\s+/, ' ')
}

function groupByMethodAndPattern (lines: readonly NumberedLine[]): Map<string, NumberedLine[]> {
  const groups = new Map<string, NumberedLine[]>()
  for (const line of lines) {
    const methodAndPattern = methodAndPatternOf(line.text)
    if (methodAndPattern !== undefined) groups.set(methodAndPattern, [...groups.get(methodAndPattern) ?? [], line])
  }
  return groups
}

/** Turns the removed and added lines of one place into changes; lines with the same method and pattern are paired. */
function pairLines (removed: readonly NumberedLine[], added: readonly NumberedLine[]): RuleChange[] {
  const unpaired = new Set(removed)
  const removedByMethodAndPattern = groupByMethodAndPattern(removed)
  const changes = added.map(({ line, text }): RuleChange => {
    const former = removedByMethodAndPattern.get(methodAndPatternOf(text) ?? '')?.shift()
    if (former === undefined) return { kind: 'added', newLine: line, newText: text }
    unpaired.delete(former)
    return { kind: 'changed', oldLine: former.line, oldText: former.text, newLine: line, newText: text }
  })
  return [...[...unpaired].map(({ line, text }): RuleChange => ({ kind: 'removed', oldLine: line, oldText: text })), ...changes]
}

function formatChange (change: RuleChange): string {
  const lines: string[] = []
  if (change.kind !== 'added') lines.push(`-${change.oldLine}: ${change.oldText}`)
  if (change.kind !== 'removed') lines.push(`+${change.newLine}: ${change.newText}`)
  return lines.join('\n')
}
