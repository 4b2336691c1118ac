import type { Clock } from '@briarsaddle/common'
import type { RuleFile } from '@briarsaddle/rules'

/** Time for which a VM may still send requests under replaced rules: the time until a change is in force on every VM. */
const propagationMilliseconds = 16_000

interface ReplacedRules {
  readonly rules: RuleFile
  readonly replacedAt: number
}

/**
 * Computes how long a request may still run at an endpoint that does not verify fencing tokens. Replaced rules count for
 * as long as requests that were accepted under them may run.
 */
export class RuleDeadlines {
  readonly #clock: Clock
  #rules: RuleFile | undefined
  #replaced: readonly ReplacedRules[] = []

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Called with the rules in force whenever the control state has changed. */
  rulesRead (rules: RuleFile): void {
    if (rules === this.#rules) return
    const now = this.#clock.now()
    if (this.#rules !== undefined) this.#replaced = [...this.#replaced, { rules: this.#rules, replacedAt: now }]
    this.#replaced = this.#replaced.filter(({ rules, replacedAt }) => now < replacedAt + propagationMilliseconds + longest(rules.rules))
    this.#rules = rules
  }

  /** Returns the longest deadline of the pool in milliseconds; 0 when no rule names the pool. */
  longest (pool: string): number {
    const now = this.#clock.now()
    const current = longestOf(this.#rules, pool)
    return Math.max(current, ...this.#replaced.map(({ rules, replacedAt }) => {
      const deadline = longestOf(rules, pool)
      return now < replacedAt + propagationMilliseconds + deadline ? deadline : 0
    }))
  }
}

function longestOf (rules: RuleFile | undefined, pool: string): number {
  return longest((rules?.rules ?? []).filter(rule => rule.pool === pool))
}

function longest (rules: RuleFile['rules']): number {
  return Math.max(0, ...rules.map(({ deadlineMilliseconds }) => deadlineMilliseconds))
}
