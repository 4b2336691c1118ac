// From here on the queue length is continued linearly; the formula goes to infinity at 1.
const linearFrom = 0.95

/** Mean number of waiting requests at a load (Sakasegawa's approximation for several slots). */
export function meanWaiting (load: number, slots: number): number {
  const formula = (value: number): number => Math.max(0, value) ** Math.sqrt(2 * (slots + 1)) / (1 - value)
  if (load <= linearFrom) return formula(load)
  const slope = (formula(linearFrom) - formula(linearFrom - 0.01)) / 0.01
  return formula(linearFrom) + slope * (load - linearFrom)
}

// Mean length of a queue at load 1 over the time of n services, starting empty: two thirds of sqrt(4 n / pi).
const growthPerRootOfServices = 0.75

/**
 * Mean number of waiting requests over a time in which `services` requests arrive, starting with an empty queue. A
 * queue near load 1 takes thousands of services to reach its steady length, which a single long job does not last.
 */
export function meanWaitingOver (load: number, slots: number, services: number): number {
  const grown = growthPerRootOfServices * Math.sqrt(services) + services * Math.max(0, load - 1) / 2
  return Math.min(meanWaiting(load, slots), grown)
}
