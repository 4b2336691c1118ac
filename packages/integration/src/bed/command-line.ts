import { execFile } from 'node:child_process'
import { executables } from './paths.js'

/** Result of a program that ran to its end. */
export interface ProgramResult {
  readonly code: number
  readonly stdout: string
  readonly stderr: string
}

const programTimeoutMilliseconds = 30_000

/** Runs a program of this repository to its end. An abort ends it at once. */
export async function runProgram (script: string, args: readonly string[], options: { readonly environment?: Readonly<Record<string, string>>, readonly signal?: AbortSignal } = {}): Promise<ProgramResult> {
  const { environment = {}, signal } = options
  return await new Promise((resolve, reject) => {
    const limits = { timeout: programTimeoutMilliseconds, killSignal: 'SIGKILL' } as const
    const child = execFile(process.execPath, [script, ...args], { env: { ...process.env, ...environment }, ...limits }, (error, stdout, stderr) => {
      signal?.removeEventListener('abort', onAbort)
      const code = error === null ? 0 : error.code
      if (typeof code === 'number') resolve({ code, stdout, stderr })
      else reject(new Error(`${script} did not run to its end`, { cause: error }))
    })
    // execFile's own signal option reports an abort before the process has ended.
    const onAbort = (): void => { child.kill('SIGKILL') }
    if (signal?.aborted === true) onAbort()
    else signal?.addEventListener('abort', onAbort)
  })
}

/** Runs the command-line tool. */
export async function runCli (args: readonly string[], options: Parameters<typeof runProgram>[2] = {}): Promise<ProgramResult> {
  return await runProgram(executables.cli, args, options)
}
