/**
 * Expected time in milliseconds until a slot is free for a new job, when `work` milliseconds of queued jobs start
 * before it and the busy slots are free after `remaining` milliseconds each. Queued work is treated as divisible.
 */
export function startDelay (remaining: readonly number[], slots: number, work: number): number {
  if (slots <= 0) return Infinity
  const sorted = [...remaining].sort((a, b) => a - b)
  // With fewer slots than running jobs, the first jobs that end only bring the number down to the slots.
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
