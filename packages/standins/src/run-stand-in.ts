import type { StandIn } from './http-stand-in.js'

/** Runs a stand-in as a process: prints its addresses as one JSON line and stops on SIGTERM or SIGINT. */
export async function runStandIn (standIn: StandIn, flags: { readonly host: string, readonly port: string }): Promise<void> {
  const { host, port, ...further } = await standIn.listen({ host: flags.host, port: numberFlag('port', flags.port) })
  const stop = (): void => { standIn.close().then(() => process.exit(0), () => process.exit(1)) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  process.stdout.write(`${JSON.stringify({ listening: { host, port }, ...further })}\n`)
}

/** Parses a flag that is a number of zero or more. */
export function numberFlag (name: string, text: string): number {
  const value = Number(text)
  if (text.trim() === '' || !Number.isFinite(value) || value < 0) throw new Error(`--${name} is not a number of zero or more: ${text}`)
  return value
}

/** Parses a flag that is `true` or `false`. */
export function booleanFlag (name: string, text: string): boolean {
  if (text !== 'true' && text !== 'false') throw new Error(`--${name} is neither true nor false: ${text}`)
  return text === 'true'
}
