import { z } from 'zod'

/** Schema of one VM in the platform's list. */
export const listedVmSchema = z.object({
  id: z.string().min(1),
  role: z.enum(['entry', 'endpoint']),
  /** Present for endpoints. */
  pool: z.string().min(1).optional(),
  dataCentre: z.string().min(1),
  host: z.string().min(1),
  /** Port of the inner protocol for an entry VM, port for requests for an endpoint. */
  port: z.number().int().min(1).max(65535),
  /** Present for endpoints: true when the endpoint verifies fencing tokens and grants itself. */
  checks: z.boolean().optional(),
  state: z.enum(['live', 'leaving'])
}).readonly()

/** One VM in the platform's list. */
export type ListedVm = z.infer<typeof listedVmSchema>

/** Client of the platform's list of VMs, which may lag behind the actual VMs. */
export abstract class VmListClient {
  /** Returns the current list, which is the same object as before if it has not changed. Throws `vm_list_unavailable`. */
  abstract fetch (signal?: AbortSignal): Promise<readonly ListedVm[]>
}
