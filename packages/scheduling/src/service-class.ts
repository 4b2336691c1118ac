/** Service class of a job, which determines how it is queued. The names are those of the rule file. */
export type ServiceClass = 'prompt' | 'normal' | 'long'

/** All service classes, the most urgent first. */
export const serviceClasses: readonly ServiceClass[] = ['prompt', 'normal', 'long']

/** One value per class. */
export type PerClass<Value> = Readonly<Record<ServiceClass, Value>>

/** Returns a mutable count per class, all 0. */
export function zeroPerClass (): Record<ServiceClass, number> {
  return { prompt: 0, normal: 0, long: 0 }
}
