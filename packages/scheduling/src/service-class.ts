/** How a job is queued; the names are those of the rule file. */
export type ServiceClass = 'prompt' | 'normal' | 'long'

/** All classes, the most urgent first. */
export const serviceClasses: readonly ServiceClass[] = ['prompt', 'normal', 'long']

/** One value per class. */
export type PerClass<Value> = Readonly<Record<ServiceClass, Value>>

/** Returns a mutable count per class, all 0. */
export function zeroPerClass (): Record<ServiceClass, number> {
  return { prompt: 0, normal: 0, long: 0 }
}
