/**
 * Runs a task with a signal that aborts after the given time or when the outer signal aborts. `AbortSignal.any` and
 * `AbortSignal.timeout` are not used, because Node 20 may garbage-collect their combination before it fires.
 * The limit applies to the time that the other side takes. If the event loop was blocked, timers run before answers are read
 * that arrived meanwhile; the abort is therefore deferred until these have been read.
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
