import type { Scenario } from '@briarsaddle/load'

/** Lowest base rate, in requests per second, at which the planned work fills every slot of every pool. */
export function saturatingRate ({ kinds, pools }: Scenario): number {
  const weights = kinds.reduce((sum, { weight }) => sum + weight, 0)
  return Math.max(...pools.map(({ pool, endpoints, slots }) => {
    const millisecondsPerRequest = kinds.filter(kind => kind.pool === pool)
      .reduce((sum, { weight, service }) => sum + weight / weights * service.meanMilliseconds, 0)
    return endpoints * slots * 1000 / millisecondsPerRequest
  }))
}
