import { Demo } from './demo.js'
import { Narrator } from './narrator.js'

const parentCheckMilliseconds = 250

/** Resolves to the reason when the demo has to end early. */
async function interruption (): Promise<string> {
  return await new Promise(resolve => {
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.on(signal, () => resolve(`interrupted by ${signal}`))
    process.stdout.on('error', error => resolve(`the output was closed: ${error.message}`))
    process.on('uncaughtException', error => resolve(`unexpected error: ${error.stack ?? error.message}`))
    // npm runs the demo in a shell, which does not pass a signal on when it ends.
    const parent = process.ppid
    setInterval(() => { if (process.ppid !== parent) resolve('the process that started the demo has ended') }, parentCheckMilliseconds).unref()
  })
}

function reasonOf (error: unknown): string {
  return error instanceof Error ? [error.message, ...error.cause instanceof Error ? [error.cause.message] : []].join(': ') : String(error)
}

/** Runs the demo and returns the exit code. */
async function main (): Promise<number> {
  const narrator = new Narrator()
  const demo = new Demo(narrator)
  const finished = demo.run().then(() => undefined, (error: unknown) => reasonOf(error))
  const reason = await Promise.race([finished, interruption()])
  await demo.stop()
  // A start that was under way notices the stop and fails.
  await finished
  if (reason === undefined) {
    narrator.say('All processes have ended. Everything went as the rules say.')
    return 0
  }
  process.stderr.write(`The demo failed: ${reason}\n`)
  return 1
}

process.exitCode = await main()
process.exit()
