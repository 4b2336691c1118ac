import { ServiceClass } from '@briarsaddle/protocol'
import type { ServiceClass as RuleServiceClass } from '@briarsaddle/rules'

/** Converts a service class of the inner protocol to that of the rules; an unspecified class counts as `normal`. */
export function serviceClassOf (value: ServiceClass): RuleServiceClass {
  switch (value) {
    case ServiceClass.SERVICE_CLASS_PROMPT: return 'prompt'
    case ServiceClass.SERVICE_CLASS_LONG: return 'long'
    default: return 'normal'
  }
}
