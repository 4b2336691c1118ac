import { RetryBudget } from '@briarsaddle/scheduling'

// Far more than the endpoints and pools in use at any time; when it is reached, all budgets start anew.
const maximumBudgets = 4_096

/** One retry budget for each keyed endpoint and each pool without keys, so that a lost endpoint does not use up the retries of others. */
export class RetryBudgets {
  readonly #create: () => RetryBudget
  readonly #budgets = new Map<string, RetryBudget>()

  constructor (create: () => RetryBudget = () => new RetryBudget()) {
    this.#create = create
  }

  /** Returns the budget of a keyed endpoint. */
  ofEndpoint (endpoint: string): RetryBudget {
    return this.#get(`endpoint ${endpoint}`)
  }

  /** Returns the budget of a pool without keys. */
  ofPool (pool: string): RetryBudget {
    return this.#get(`pool ${pool}`)
  }

  /** Remaining tokens of each budget by name, for the state dump. */
  snapshot (): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.#budgets].map(([name, budget]) => [name, budget.tokens]))
  }

  #get (name: string): RetryBudget {
    let budget = this.#budgets.get(name)
    if (budget !== undefined) return budget
    if (this.#budgets.size >= maximumBudgets) this.#budgets.clear()
    this.#budgets.set(name, budget = this.#create())
    return budget
  }
}
