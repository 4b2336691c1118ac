/** How a request is queued at its endpoint. */
export type ServiceClass = 'prompt' | 'normal' | 'long'

/** The part of a request that holds the key. */
export type KeyLocation =
  | { readonly from: 'path', readonly name: string }
  | { readonly from: 'header', readonly name: string }
  | { readonly from: 'query', readonly name: string }

/** One routing rule. */
export interface Rule {
  /** Line number in the rule file, from 1. */
  readonly line: number
  /** Upper-case method, or `*`. */
  readonly method: string
  /** Path pattern with `:name` segments and an optional trailing `*`. */
  readonly pattern: string
  readonly pool: string
  /** Undefined for pools that are not partitioned by key. */
  readonly key: KeyLocation | undefined
  /** True for the flag `idempotent`, false for `at-most-once`. */
  readonly idempotent: boolean
  readonly serviceClass: ServiceClass
  /** Longest time from arrival to answer, in milliseconds. */
  readonly deadlineMilliseconds: number
  /** Who asked for the rule: the comment on its line. */
  readonly requestedBy: string
}

/** A parsed rule file. */
export interface RuleFile {
  readonly rules: readonly Rule[]
  /** Findings that do not make the file invalid, such as unreachable rules. */
  readonly warnings: readonly RuleFinding[]
}

/** An error or warning about one line of a rule file. */
export interface RuleFinding {
  readonly line: number
  readonly code: string
  readonly message: string
}

/** A rule that matches a request, with the key found in it. */
export interface RuleMatch {
  readonly rule: Rule
  /** Undefined when the rule has no key. */
  readonly key: string | undefined
}
