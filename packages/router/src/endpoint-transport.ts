import type { CallerHeader } from '@briarsaddle/entry'
import type { Holder, KeyRange } from '@briarsaddle/key-ranges'
import type { EndpointEntry } from './endpoint-entry.js'

/** A request to an endpoint. */
export interface EndpointRequest {
  readonly requestId: string
  /** Key of the request; undefined without one. */
  readonly key: number | undefined
  readonly method: string
  readonly target: string
  readonly headers: readonly CallerHeader[]
  readonly body: Buffer
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMilliseconds: number
}

/** Number of requests that run and wait at an endpoint, as it reports them. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
}

/** Requests a second that an endpoint takes from all VMs together, as it names them with an answer; `unknown` when that cannot be read. */
export type ReportedLimit = number | 'none' | 'unknown'

/** Result of a request to an endpoint. */
export type EndpointReply =
  | { readonly kind: 'answered', readonly status: number, /** Headers that are passed on to the caller. */ readonly headers: readonly CallerHeader[], readonly body: Buffer, /** False when the answer had no Content-Length and its end was the close of the connection. */ readonly lengthKnown: boolean, readonly load: ReportedLoad | undefined, readonly limit: ReportedLimit, /** Whether the endpoint says that it leaves. */ readonly leaving?: boolean }
  /** The endpoint did not run the request: it has no free slot, does not hold the key, or another endpoint has its address. */
  | { readonly kind: 'refused', readonly reason: 'endpoint_full' | 'not_owner', readonly load: ReportedLoad | undefined, readonly limit: ReportedLimit, readonly leaving?: boolean, /** For how long the endpoint wants no requests. */ readonly retryAfterMilliseconds?: number | undefined }
  /** Nothing was sent. */
  | { readonly kind: 'unreachable' }
  /** The request may have run. */
  | { readonly kind: 'broken', readonly reason: string }

/** A grant of keys to an endpoint: a lease with a fencing token. */
export interface Grant extends KeyRange {
  readonly fence: number
  /** How long the endpoint may hold the keys, from the arrival of the grant. */
  readonly holdMilliseconds: number
  /** Handover data of the former holder; empty without any. */
  readonly handover: string
  /**
   * Connection on which the endpoint first accepted this token; undefined for the first grant. A renewal over another
   * connection could reach a new process, which must not be granted this token.
   */
  readonly connection: number | undefined
}

/** Result of a grant. */
export type GrantReply =
  | { readonly kind: 'granted', readonly connection: number, /** Whether the endpoint says that it leaves. */ readonly leaving?: boolean }
  /** The endpoint has seen a higher token on these keys. */
  | { readonly kind: 'fenced' }
  /** Nothing was sent, because the connection of the first grant is gone. */
  | { readonly kind: 'disconnected' }
  /** Nothing was sent: there is no connection. */
  | { readonly kind: 'unreachable' }
  /** The grant may have arrived or may still arrive. */
  | { readonly kind: 'broken' }

/** Result of a release. */
export type ReleaseReply =
  | { readonly kind: 'released', readonly handover: string }
  | { readonly kind: 'failed' }

/** Result of an attempt to connect to an endpoint: nothing listens at its address any more when it is refused. */
export type ProbeResult = 'reached' | 'refused' | 'silent'

/** Sends requests, grants and releases to endpoints. Never rejects. */
export abstract class EndpointTransport {
  /** Sends a request. An abort of the signal cancels it at the endpoint. */
  abstract send (endpoint: EndpointEntry, request: EndpointRequest, signal: AbortSignal): Promise<EndpointReply>
  /** Grants keys to a holder, or renews a grant. */
  abstract grant (holder: Holder, grant: Grant): Promise<GrantReply>
  /** Asks a holder to give up keys. Resolves once the requests that ran on them have ended. */
  abstract release (holder: Holder, release: KeyRange & { readonly fence: number }, signal: AbortSignal): Promise<ReleaseReply>
  /** Returns whether a connection to the endpoint can be established. */
  abstract reach (holder: Holder): Promise<boolean>
  /** Tries to establish a connection to the endpoint, which tells a process that has ended from one that is out of reach. */
  async probe (holder: Holder): Promise<ProbeResult> {
    return await this.reach(holder) ? 'reached' : 'silent'
  }

  /** Closes the connections to endpoints that are not in the directory any more. */
  abstract keepOnly (directory: ReadonlyMap<string, EndpointEntry>): void
}
