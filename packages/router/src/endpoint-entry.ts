/** One endpoint as the platform's directory lists it. */
export interface EndpointEntry {
  readonly id: string
  readonly pool: string
  readonly host: string
  readonly port: number
  readonly dataCentre: string
  /** Requests that it runs at the same time. */
  readonly slots: number
  readonly leaving: boolean
  /** Start of its process, in milliseconds since 1970. */
  readonly life: number
  /** How long it will still be slow after its start, in milliseconds, when the entry was written. */
  readonly warmUpMilliseconds: number
}

/** Endpoints by id. */
export type Directory = ReadonlyMap<string, EndpointEntry>

/** Returns `host:port` of an endpoint. */
export function addressOf ({ host, port }: EndpointEntry): string {
  return `${host}:${port}`
}
