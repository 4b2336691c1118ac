// A hold-up counts as one of this many parts of the time, however long it lasts.
const parts = 8

/**
 * Calls back after a time in which the event loop has run. Hold-ups hardly count: what arrived meanwhile is handled first,
 * also when that takes several turns, as the set-up of a connection does. Returns the function that cancels.
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
