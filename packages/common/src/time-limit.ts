/**
 * Runs a task with a signal that aborts after the time, or with the outer signal. `AbortSignal.any` and
 * `AbortSignal.timeout` are not used for this: Node 20 may collect their combination as garbage before it fires.
 * After a hold-up of the event loop, timers run before answers that have arrived meanwhile are read. Those answers are
 * taken first: the limit is on the time that the other side takes.
 */
export async function withTimeLimit<Result> (milliseconds: number, outer: AbortSignal | undefined, task: (signal: AbortSignal) => Promise<Result>): Promise<Result> {
  const controller = new AbortController()
  const abort = (): void => controller.abort()
  let immediate: NodeJS.Immediate | undefined
  const timer = setTimeout(() => { immediate = setImmediate(abort) }, Math.max(0, milliseconds))
  if (outer?.aborted === true) abort()
  outer?.addEventListener('abort', abort)
  try {
    return await task(controller.signal)
  } finally {
    clearTimeout(timer)
    clearImmediate(immediate)
    outer?.removeEventListener('abort', abort)
  }
}
