import type { RuleFile } from '@briarsaddle/rules'

/** Returns the pools that are partitioned by key. */
export function keyedPools ({ rules }: RuleFile): ReadonlySet<string> {
  return new Set(rules.filter(({ key }) => key !== undefined).map(({ pool }) => pool))
}

/**
 * Returns the pools whose buckets have owners: pools partitioned by key, and pools with requests that must run at most
 * once, where the owner's coordinator keeps the idempotency keys of the bucket.
 */
export function poolsWithBuckets ({ rules }: RuleFile): ReadonlySet<string> {
  return new Set(rules.filter(({ key, idempotent }) => key !== undefined || !idempotent).map(({ pool }) => pool))
}
