// Above this load the queue length is extrapolated linearly, because the formula diverges at a load of 1.
const linearFrom = 0.95

/** Returns the mean number of waiting requests at a load, by Sakasegawa's approximation for several slots. */
export function meanQueueLength (load: number, slots: number): number {
  const formula = (value: number): number => Math.max(0, value) ** Math.sqrt(2 * (slots + 1)) / (1 - value)
  if (load <= linearFrom) return formula(load)
  const slope = (formula(linearFrom) - formula(linearFrom - 0.01)) / 0.01
  return formula(linearFrom) + slope * (load - linearFrom)
}

// Mean length of an initially empty queue at load 1 over n services: two thirds of sqrt(4 n / pi), which is 0.75 sqrt(n).
const lengthPerRootOfServices = 0.75

/**
 * Returns the mean number of waiting requests over a period in which `services` requests arrive, starting with an empty
 * queue. Near load 1 a queue takes thousands of services to reach its steady length, longer than a single long job runs.
 */
export function meanQueueLengthOver (load: number, slots: number, services: number): number {
  const grown = lengthPerRootOfServices * Math.sqrt(services) + services * Math.max(0, load - 1) / 2
  return Math.min(meanQueueLength(load, slots), grown)
}
