import { parsePattern, type PatternSegment } from './pattern.js'
import { PatternTree, type SearchedSegment } from './pattern-tree.js'
import { parseRuleLine, splitComment } from './parse-line.js'
import { RuleFileError } from './rule-file-error.js'
import type { Rule, RuleFile, RuleFinding } from './rule.js'

/** Default maximum size of a rule file, in bytes. */
export const defaultMaximumRuleFileBytes = 262_144

/**
 * Parses a rule file. Each line has the form
 * `METHOD /path/:name pool=NAME [key=path:name|header:name|query:name] idempotent|at-most-once
 * class=prompt|normal|long deadline=20s  # who asked for it`.
 * Throws `RuleFileError` with every finding.
 */
export function parseRules (text: string, fileName: string, maximumBytes: number = defaultMaximumRuleFileBytes): RuleFile {
  const bytes = Buffer.byteLength(text)
  if (bytes > maximumBytes) {
    throw new RuleFileError(fileName, [{ line: 1, code: 'file_too_long', message: `the file has ${bytes} bytes; at most ${maximumBytes} are allowed` }])
  }
  const findings: RuleFinding[] = []
  const rules: Rule[] = []
  for (const [index, line] of text.replace(/^\uFEFF/, '').split(/\r?\n/).entries()) {
    const { content, comment } = splitComment(line)
    if (content === '') continue
    const rule = parseRuleLine(index + 1, content, comment, findings)
    if (rule !== undefined) rules.push(rule)
  }
  findings.push(...findMixedPools(rules))
  if (findings.length > 0) throw new RuleFileError(fileName, findings.sort((left, right) => left.line - right.line))
  return { rules, warnings: rules.length === 0 ? [{ line: 1, code: 'no_rules', message: 'the file has no rules; every request would be refused' }] : findUnreachable(rules) }
}

/**
 * Reports rules that use a pool without a key although an earlier rule uses it with one, or the reverse. A pool either is
 * partitioned by key, so that every request must have one, or has no keys.
 */
function findMixedPools (rules: readonly Rule[]): RuleFinding[] {
  const first = new Map<string, Rule>()
  const findings: RuleFinding[] = []
  for (const rule of rules) {
    const earlier = first.get(rule.pool)
    if (earlier === undefined) first.set(rule.pool, rule)
    else if ((earlier.key === undefined) !== (rule.key === undefined)) {
      const [here, there] = rule.key === undefined ? ['without', 'with'] : ['with', 'without']
      findings.push({ line: rule.line, code: 'mixed_pool', message: `pool "${rule.pool}" is used ${here} a key here and ${there} one on line ${earlier.line}` })
    }
  }
  return findings
}

/**
 * Reports rules that never match because one earlier rule matches all of their requests. Rules that only several earlier
 * rules together make unreachable are not detected.
 */
function findUnreachable (rules: readonly Rule[]): RuleFinding[] {
  const tree = new PatternTree<Rule>()
  const findings: RuleFinding[] = []
  for (const rule of rules) {
    const pattern = patternOf(rule)
    const earlier = tree.find(rule.method, pattern.map(toSearchedSegment))
    if (earlier !== undefined) findings.push({ line: rule.line, code: 'unreachable', message: `the rule is never used: line ${earlier.line} (${earlier.method} ${earlier.pattern}) matches all of its requests` })
    tree.add(rule.method, pattern, rule)
  }
  return findings
}

function toSearchedSegment (segment: PatternSegment): SearchedSegment {
  return segment.type === 'literal' ? segment.text : segment
}

/** Returns the pattern segments of a parsed rule. Throws `RuleFileError` when the pattern is invalid. */
export function patternOf (rule: Rule): readonly PatternSegment[] {
  const pattern = parsePattern(rule.pattern)
  if (typeof pattern === 'string') throw new RuleFileError('rule', [{ line: rule.line, code: 'bad_pattern', message: pattern }])
  return pattern
}
