import type { Route } from './routing-table.js'

const mostRoutes = 4_096

/** Chooses the pool of each request by smooth weighted round robin, so that the shares follow the weights exactly. */
export class TargetRotation {
  readonly #credits = new Map<string, Map<string, number>>()

  /** Returns the name of the pool for the next request of the route. */
  choose (route: Route): string {
    const [only] = route.targets
    if (route.targets.length === 1 && only !== undefined) return only.pool
    const credits = this.#creditsOf(route)
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
    let best = route.targets[0] as Route['targets'][number]
    for (const target of route.targets) {
      credits.set(target.pool, (credits.get(target.pool) ?? 0) + target.weight)
      if ((credits.get(target.pool) as number) > (credits.get(best.pool) ?? 0)) best = target
    }
    credits.set(best.pool, (credits.get(best.pool) as number) - total)
    return best.pool
  }

  #creditsOf (route: Route): Map<string, number> {
    const key = `${route.name} ${route.targets.map(target => `${target.pool}=${target.weight}`).join(' ')}`
    let credits = this.#credits.get(key)
    if (credits !== undefined) return credits
    // Entries of former routing tables are never used again.
    if (this.#credits.size >= mostRoutes) this.#credits.clear()
    this.#credits.set(key, credits = new Map())
    return credits
  }
}
