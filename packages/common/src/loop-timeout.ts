// The time is split into this many timers. However long the event loop is blocked, only one of them can pass meanwhile.
const parts = 8

/**
 * Calls `run` after a time in which the event loop was running. Time in which it was blocked hardly counts, so that events that
 * arrived meanwhile are handled first, even if that takes several iterations of the loop, as the set-up of a connection does.
 * Returns a function that cancels the timeout.
 */
export function afterLoopTime (milliseconds: number, run: () => void): () => void {
  const part = milliseconds / parts
  let passed = 0
  let timer: NodeJS.Timeout
  const wait = (): void => {
    timer = setTimeout(() => {
      passed++
      if (passed < parts) wait()
      else run()
    }, part)
  }
  wait()
  return () => clearTimeout(timer)
}
