import { BriarsaddleError } from '@briarsaddle/common'
import { bucketsPerPool, type KeyHasher } from '@briarsaddle/ownership'
import { RuleMatcher } from '@briarsaddle/rules'
import type { ControlView } from '../contracts.js'

/** Looks up rules and owners in the control state of this VM. */
export class Lookup {
  readonly #control: ControlView
  readonly #hasher: KeyHasher

  constructor (control: ControlView, hasher: KeyHasher) {
    this.#control = control
    this.#hasher = hasher
  }

  /** Returns the rule file in force. */
  rules (): unknown {
    const { state: { rules }, rules: file } = this.#control
    return { version: rules.version, author: rules.author, text: rules.text, warnings: file.warnings }
  }

  /** Returns the bucket, owner and coordinator of a key. Throws `unknown_pool`. */
  owner (pool: string, key: string): unknown {
    const { state } = this.#control
    const poolState = state.pools.get(pool)
    if (poolState === undefined) throw new BriarsaddleError(`pool "${pool}" has no assigned buckets`, { code: 'unknown_pool', step: 'find owner', path: 'pool' })
    const bucket = this.#hasher.bucketOf(key, bucketsPerPool)
    const bucketState = poolState.buckets[bucket]
    const endpoint = bucketState === undefined ? undefined : state.endpoints.get(bucketState.owner)
    return {
      pool,
      key,
      bucket,
      owner: bucketState?.owner ?? null,
      token: bucketState?.token ?? null,
      pendingFrom: bucketState?.pendingFrom ?? null,
      coordinator: endpoint?.coordinator ?? null,
      position: state.position
    }
  }

  /** Returns the rule that a request would match. Headers cannot be given, so a key that is in a header is reported as missing. */
  match (method: string, target: string): unknown {
    const queryAt = target.indexOf('?')
    const path = queryAt < 0 ? target : target.slice(0, queryAt)
    const matcher = new RuleMatcher(this.#control.rules)
    const match = matcher.match({ method: method.toUpperCase(), path, query: queryAt < 0 ? undefined : target.slice(queryAt), headers: {} })
    return { ...match, version: this.#control.state.rules.version }
  }
}
