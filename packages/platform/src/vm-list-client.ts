import { z } from 'zod'

/** One VM of the platform's list. */
export const listedVmSchema = z.object({
  id: z.string().min(1),
  role: z.enum(['entry', 'endpoint']),
  /** Present for endpoints. */
  pool: z.string().min(1).optional(),
  dataCentre: z.string().min(1),
  host: z.string().min(1),
  /** Inner protocol port of an entry VM, request port of an endpoint. */
  port: z.number().int().min(1).max(65535),
  /** Present for endpoints: true when the endpoint checks tokens and grants itself. */
  checks: z.boolean().optional(),
  state: z.enum(['live', 'leaving'])
}).readonly()

/** One VM of the platform's list. */
export type ListedVm = z.infer<typeof listedVmSchema>

/** Client of the platform's lagging list of VMs. */
export abstract class VmListClient {
  /** Returns the current list: the same object as before while it has not changed. Throws `vm_list_unavailable`. */
  abstract fetch (signal?: AbortSignal): Promise<readonly ListedVm[]>
}
