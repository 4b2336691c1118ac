import type { RuleFile } from '@briarsaddle/rules'

/** Pools that are partitioned by key. */
export function keyedPools ({ rules }: RuleFile): ReadonlySet<string> {
  return new Set(rules.filter(({ key }) => key !== undefined).map(({ pool }) => pool))
}

/**
 * Pools whose buckets have owners: those partitioned by key, and those with requests that must run at most once, where
 * the owner's coordinator remembers the idempotency keys of the bucket.
 */
export function poolsWithBuckets ({ rules }: RuleFile): ReadonlySet<string> {
  return new Set(rules.filter(({ key, idempotent }) => key !== undefined || !idempotent).map(({ pool }) => pool))
}
