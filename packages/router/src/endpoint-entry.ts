/** An endpoint in the platform's directory. */
export interface EndpointEntry {
  readonly id: string
  readonly pool: string
  readonly host: string
  readonly port: number
  readonly dataCentre: string
  /** Number of requests that it runs at the same time. */
  readonly slots: number
  /** Whether it is being drained, so that it gets no new keys or requests. */
  readonly leaving: boolean
  /** Start time of its process, in milliseconds since 1970; distinguishes successive processes under one id. */
  readonly life: number
  /** Remaining warm-up time after its start, during which it is slow, in milliseconds at the time the entry was written. */
  readonly warmUpMilliseconds: number
}

/** The endpoint directory: endpoints by id. */
export type Directory = ReadonlyMap<string, EndpointEntry>

/** Returns a key of one process of an endpoint; a later process under the same id has another one. */
export function processKeyOf ({ id, life }: Pick<EndpointEntry, 'id' | 'life'>): string {
  return `${id} ${life}`
}

/** Returns `host:port` of an endpoint. */
export function addressOf ({ host, port }: EndpointEntry): string {
  return `${host}:${port}`
}
