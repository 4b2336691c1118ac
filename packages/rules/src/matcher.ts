import { splitPath } from './path.js'
import { patternOf } from './parse-rules.js'
import { PatternTree } from './pattern-tree.js'
import type { KeyLocation, Rule, RuleFile, RuleMatch } from './rule.js'

/** The parts of a request that are needed to match it. */
export interface MatchedRequest {
  readonly method: string
  /** Path as received, percent-encoded and without the query. */
  readonly path: string
  /** Query as received, with or without the question mark. */
  readonly query?: string | undefined
  /** Headers by lower-case name, as `node:http` gives them. */
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>
}

/**
 * Result of matching a request. The router answers `no_rule` with 404, `bad_path` and `bad_key` with 400.
 * A key is `ambiguous` when the request has several values for it: the endpoint might use another value than the router.
 */
export type MatchResult =
  | { readonly outcome: 'matched' } & RuleMatch
  | { readonly outcome: 'no_rule' }
  | { readonly outcome: 'bad_path' }
  | { readonly outcome: 'bad_key', readonly rule: Rule, readonly location: KeyLocation, readonly reason: 'missing' | 'ambiguous' }

interface CompiledRule {
  readonly rule: Rule
  /** Index of the path segment that holds the key; undefined when the key is not taken from the path. */
  readonly keySegment: number | undefined
}

/** Finds the rule of a request: the first rule in file order whose method and path pattern match. */
export class RuleMatcher {
  readonly #tree = new PatternTree<CompiledRule>()

  constructor (file: Pick<RuleFile, 'rules'>) {
    for (const rule of file.rules) {
      const pattern = patternOf(rule)
      const { key } = rule
      const keySegment = key?.from === 'path' ? pattern.findIndex(segment => segment.type === 'parameter' && segment.name === key.name) : undefined
      this.#tree.add(rule.method, pattern, { rule, keySegment })
    }
  }

  /** Matches one request. Never throws for a malformed request. */
  match (request: MatchedRequest): MatchResult {
    const segments = splitPath(request.path)
    if (segments === undefined) return { outcome: 'bad_path' }
    const compiled = this.#tree.find(request.method, segments)
    if (compiled === undefined) return { outcome: 'no_rule' }
    const { rule, keySegment } = compiled
    if (rule.key === undefined) return { outcome: 'matched', rule, key: undefined }
    const values = keySegment === undefined ? keyValues(rule.key, request) : [segments[keySegment] ?? '']
    if (values.length > 1) return { outcome: 'bad_key', rule, location: rule.key, reason: 'ambiguous' }
    const key = values[0]
    if (key === undefined || key === '') return { outcome: 'bad_key', rule, location: rule.key, reason: 'missing' }
    return { outcome: 'matched', rule, key }
  }
}

function keyValues (location: KeyLocation, request: MatchedRequest): readonly string[] {
  if (location.from === 'query') return new URLSearchParams(request.query ?? '').getAll(location.name)
  const value = request.headers[location.name]
  if (value === undefined) return []
  return typeof value === 'string' ? [value] : value
}
