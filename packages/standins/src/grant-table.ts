import type { EndpointClock } from './endpoint-clock.js'
import { compareTokens, type CoordinatorToken, type Hello, type NotRunReason, type Renew, type RequestGrant } from './endpoint-protocol.js'
import type { EndpointRecord, HeldInterval } from './endpoint-record.js'

interface Grant {
  readonly token: number
  validUntil: number
  /** Number of requests that run under this grant. */
  running: number
  /** True when a renewal no longer listed the bucket; no new request may start. */
  revoked: boolean
  readonly interval: HeldInterval
}

interface Coordinator {
  readonly vm: string
  readonly token: CoordinatorToken
  /** Latest `validUntil` of its renewals. */
  validUntil: number
}

/** Admission under which a request runs. */
export interface RunningRight {
  /** Ends the admission. */
  release (): void
  /** True while the request may have its effect. */
  stillValid (): boolean
}

/** The buckets granted to an endpoint and the coordinator that may send it work. */
export class GrantTable {
  readonly #clock: EndpointClock
  readonly #record: EndpointRecord
  readonly #instance: string
  readonly #checks: boolean
  readonly #grants = new Map<number, Grant>()
  /** The last complete list of the present coordinator. */
  #list: { readonly number: number, readonly buckets: NonNullable<Renew['buckets']> } | undefined
  #coordinator: Coordinator | undefined
  /** Until then work without a bucket may have its effect, whichever coordinator sent it. */
  #effectsUntil = -Infinity

  constructor (options: { readonly clock: EndpointClock, readonly record: EndpointRecord, readonly instance: string, readonly checks: boolean }) {
    this.#clock = options.clock
    this.#record = options.record
    this.#instance = options.instance
    this.#checks = options.checks
  }

  /** Coordinator whose token is the highest that was accepted. */
  get coordinator (): { readonly vm: string, readonly token: CoordinatorToken } | undefined {
    return this.#coordinator
  }

  /**
   * Grants that are not revoked, also when they have expired: a provisional coordinator may renew them, since the
   * endpoint has acknowledged no revocation.
   */
  get granted (): ReadonlyArray<{ readonly bucket: number, readonly token: number, readonly validUntil: number }> {
    return [...this.#grants]
      .filter(([, grant]) => !grant.revoked)
      .map(([bucket, { token, validUntil }]) => ({ bucket, token, validUntil }))
  }

  /** Buckets that are revoked but still have running requests. */
  get stillHeld (): readonly number[] {
    const now = this.#clock.now()
    return [...this.#grants].filter(([, grant]) => grant.revoked && grant.running > 0 && grant.validUntil > now).map(([bucket]) => bucket)
  }

  /** Accepts a coordinator, or returns why not. */
  hello ({ coordinator, token }: Hello): NotRunReason | undefined {
    const current = this.#coordinator
    if (this.#checks && current !== undefined) {
      const order = compareTokens(token, current.token)
      if (order < 0 || (order === 0 && coordinator !== current.vm)) return 'stale-coordinator'
    }
    if (current === undefined || current.vm !== coordinator || compareTokens(token, current.token) !== 0) {
      this.#coordinator = { vm: coordinator, token, validUntil: -Infinity }
      this.#list = undefined
    }
    return undefined
  }

  /**
   * Replaces the list of grants, or returns why not.
   *
   * A renewal whose `validUntil` is not later than that of the last one may have been overtaken on the way. It may
   * take grants away but neither adds nor extends one, or it could bring back a bucket that has a new owner.
   * The result is then `overtaken`.
   */
  renew (renew: Renew): NotRunReason | 'extended' | 'overtaken' {
    const refusal = this.#checks ? this.#checkRenewal(renew) : undefined
    if (refusal !== undefined) return refusal
    if (this.#coordinator?.vm !== renew.coordinator) this.hello(renew)
    const coordinator = this.#coordinator as Coordinator
    const buckets = renew.buckets ?? (this.#list?.number === renew.list ? this.#list.buckets : undefined)
    if (buckets === undefined) return 'list-unknown'
    const advances = renew.validUntil > coordinator.validUntil
    const listed = new Map(buckets.map(({ bucket, token }) => [bucket, token]))
    for (const [bucket, grant] of this.#grants) this.#revokeUnlisted(bucket, grant, listed.get(bucket))
    if (!advances) return 'overtaken'
    this.#list = { number: renew.list, buckets }
    coordinator.validUntil = renew.validUntil
    this.#effectsUntil = Math.max(this.#effectsUntil, renew.validUntil)
    for (const [bucket, token] of listed) this.#grant(bucket, token, renew)
    return 'extended'
  }

  /** Returns the admission to run a request now, or why it may not run. */
  admit (request: RequestGrant): RunningRight | NotRunReason {
    const grant = request.bucket === undefined ? undefined : this.#grants.get(request.bucket)
    if (this.#checks) {
      const refusal = this.#checkSender(request) ?? this.#checkBucket(request, grant)
      if (refusal !== undefined) return refusal
    }
    if (grant !== undefined) grant.running += 1
    return {
      release: () => {
        if (grant === undefined) return
        grant.running -= 1
        if (grant.revoked && grant.running === 0) this.#end(request.bucket as number, grant)
      },
      stillValid: () => !this.#checks || this.#clock.now() < (request.bucket === undefined ? this.#effectsUntil : grant?.validUntil ?? -Infinity)
    }
  }

  #checkRenewal (renew: Renew): NotRunReason | undefined {
    if (renew.instance !== this.#instance) return 'wrong-instance'
    if (!this.#isCurrent(renew.coordinator, renew.token)) return 'stale-coordinator'
    return renew.validUntil <= this.#clock.now() ? 'no-right' : undefined
  }

  #checkSender (request: RequestGrant): NotRunReason | undefined {
    if (request.instance !== this.#instance) return 'wrong-instance'
    if (!this.#isCurrent(request.coordinator, request.token)) return 'stale-coordinator'
    return (this.#coordinator?.validUntil ?? -Infinity) <= this.#clock.now() ? 'no-right' : undefined
  }

  #checkBucket (request: RequestGrant, grant: Grant | undefined): NotRunReason | undefined {
    if (request.bucket === undefined) return undefined
    const held = grant !== undefined && !grant.revoked && grant.token === request.bucketToken && grant.validUntil > this.#clock.now()
    return held ? undefined : 'not-granted'
  }

  #isCurrent (vm: string | undefined, token: CoordinatorToken | undefined): boolean {
    const current = this.#coordinator
    return current !== undefined && token !== undefined && vm === current.vm && compareTokens(token, current.token) === 0
  }

  #grant (bucket: number, token: number, renew: Renew): void {
    const existing = this.#grants.get(bucket)
    if (existing !== undefined && existing.token === token && existing.validUntil > this.#clock.now()) {
      existing.revoked = false
      existing.validUntil = renew.validUntil
      existing.interval.until = this.#clock.recorded(renew.validUntil)
      return
    }
    if (existing !== undefined) this.#end(bucket, existing)
    const interval = this.#record.hold(bucket, token, renew.coordinator, renew.validUntil)
    this.#grants.set(bucket, { token, validUntil: renew.validUntil, running: 0, revoked: false, interval })
  }

  #revokeUnlisted (bucket: number, grant: Grant, listedToken: number | undefined): void {
    if (grant.token === listedToken) return
    grant.revoked = true
    if (grant.running === 0) this.#end(bucket, grant)
  }

  #end (bucket: number, grant: Grant): void {
    const now = this.#clock.now()
    if (grant.validUntil > now) {
      grant.validUntil = now
      grant.interval.until = this.#clock.recorded(now)
    }
    if (this.#grants.get(bucket) === grant) this.#grants.delete(bucket)
  }
}
