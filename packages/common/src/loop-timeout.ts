// The time is split into this many consecutive timers. A block of the event loop counts as one of them, however long it lasts.
const partCount = 8

/**
 * Calls `run` after a time in which the event loop was running. Time in which it was blocked hardly counts, so that events that
 * arrived meanwhile are handled first, even if that takes several iterations of the loop, as the set-up of a connection does.
 * Returns a function that cancels the timeout.
 */
export function startLoopTimeout (milliseconds: number, run: () => void): () => void {
  const partMilliseconds = milliseconds / partCount
  let passed = 0
  let timer: NodeJS.Timeout
  const wait = (): void => {
    timer = setTimeout(() => {
      passed++
      if (passed < partCount) wait()
      else run()
    }, partMilliseconds)
  }
  wait()
  return () => clearTimeout(timer)
}
