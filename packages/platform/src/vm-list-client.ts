/** One VM of the platform's list. */
export interface ListedVm {
  readonly id: string
  readonly role: 'entry' | 'endpoint'
  /** Present for endpoints. */
  readonly pool?: string | undefined
  readonly dataCentre: string
  readonly host: string
  /** Inner protocol port of an entry VM, request port of an endpoint. */
  readonly port: number
  /** Present for endpoints: true when the endpoint checks tokens and grants itself. */
  readonly checks?: boolean | undefined
  readonly state: 'live' | 'leaving'
}

/** Client of the platform's lagging list of VMs. */
export abstract class VmListClient {
  /** Returns the current list. Throws `vm_list_unavailable`. */
  abstract fetch (signal?: AbortSignal): Promise<readonly ListedVm[]>
}
