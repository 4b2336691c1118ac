import { readFileSync } from 'node:fs'
import { repositoryPath } from './paths.js'
import type { DeploymentPlan, EndpointPlan, VmPlan } from './deployment.js'

/** Data centres of both deployments. */
export const dataCentres = ['dc-a', 'dc-b', 'dc-c'] as const

/** Rule file of a deployment's example. */
export function exampleRules (firm: 'atlas' | 'ostrina'): string {
  return readFileSync(repositoryPath(`examples/${firm}/rules.txt`), 'utf8')
}

/** VMs spread over the data centres. */
export function vmPlans (count: number): readonly VmPlan[] {
  return Array.from({ length: count }, (_, index) => ({ id: `vm-${index + 1}`, dataCentre: dataCentres[index % dataCentres.length] ?? 'dc-a' }))
}

/** Endpoints spread over the data centres. */
export function endpointPlans (pool: string, count: number, plan: Partial<EndpointPlan> = {}): readonly EndpointPlan[] {
  return Array.from({ length: count }, (_, index) => ({ ...plan, id: `${pool}-${index + 1}`, pool, dataCentre: dataCentres[index % dataCentres.length] ?? 'dc-a' }))
}

/** A small Atlas deployment that starts quickly. */
export function smallAtlas (overrides: Partial<DeploymentPlan> = {}): DeploymentPlan {
  return {
    vms: vmPlans(3),
    endpoints: [...endpointPlans('ponds', 3), ...endpointPlans('dispatch', 2)],
    rules: exampleRules('atlas'),
    ...overrides
  }
}
