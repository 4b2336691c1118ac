/**
 * Returns the expected time in milliseconds until a slot is free for a new job, given that the running jobs end after
 * `remaining` milliseconds each and that queued jobs with `work` milliseconds in total start before it. Queued work is
 * treated as divisible.
 */
export function startDelay (remaining: readonly number[], slots: number, work: number): number {
  if (slots <= 0) return Infinity
  const sorted = [...remaining].sort((a, b) => a - b)
  // With more running jobs than slots, the first jobs that end do not free a slot.
  const freeAt = sorted.slice(Math.max(0, sorted.length - slots))
  while (freeAt.length < slots) freeAt.unshift(0)
  let sum = 0
  for (const [index, time] of freeAt.entries()) {
    sum += time
    const level = (work + sum) / (index + 1)
    if (level <= (freeAt[index + 1] ?? Infinity)) return level
  }
  return sum
}
