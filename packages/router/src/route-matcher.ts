import type { Route, RoutingTable } from './routing-table.js'

/** Finds the route of a request: the route of its host with the longest matching path prefix. */
export class RouteMatcher {
  readonly #byHost = new Map<string, Route[]>()

  constructor (table: RoutingTable) {
    for (const route of table.routes) {
      const host = route.host.toLowerCase()
      this.#byHost.set(host, [...this.#byHost.get(host) ?? [], route])
    }
    for (const routes of this.#byHost.values()) routes.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length)
  }

  /** Returns the route; undefined without a match. `host` may include a port, and `target` is a path with or without a query. */
  match (host: string, target: string): Route | undefined {
    const path = target.split('?', 1)[0] as string
    const name = host.toLowerCase().replace(/:\d+$/, '')
    return this.#byHost.get(name)?.find(route => path.startsWith(route.pathPrefix))
  }
}
