import { BlockList, isIP, isIPv6 } from 'node:net'
import { z } from 'zod'

/** An IP address and a port; port 0 lets the operating system choose one. */
export interface Address {
  readonly host: string
  readonly port: number
}

const maximumPort = 65_535
const loopbackAddresses = new BlockList()
loopbackAddresses.addSubnet('127.0.0.0', 8, 'ipv4')
loopbackAddresses.addAddress('::1', 'ipv6')

/** Returns whether an IP address is a loopback address, which other machines cannot reach. */
export function isLoopback (host: string): boolean {
  return loopbackAddresses.check(host, isIPv6(host) ? 'ipv6' : 'ipv4')
}

/** Parses an IP address and port such as `127.0.0.1:8080` or `[::1]:8080`. Returns undefined for other text, such as a host name. */
export function parseAddress (text: string): Address | undefined {
  const parts = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text)
  const [, bracketed, plain] = parts ?? []
  const host = bracketed ?? plain
  const port = Number(parts?.[3])
  if (host === undefined || isIP(host) !== (bracketed === undefined ? 4 : 6) || port > maximumPort) return undefined
  return { host, port }
}

/** Formats an address in the form that `parseAddress` accepts. */
export function formatAddress ({ host, port }: Address): string {
  return isIPv6(host) ? `[${host}]:${port}` : `${host}:${port}`
}

/** Schema that parses a string `IP:port` to an `Address`. */
export const addressSchema = z.string().transform((text, context): Address => {
  const address = parseAddress(text)
  if (address !== undefined) return Object.freeze(address)
  context.addIssue({ code: 'custom', message: `"${text}" must be an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080; host names are not allowed` })
  return z.NEVER
})

/** Schema of a literal IP address. */
export const ipSchema = z.string().refine(text => isIP(text) !== 0, { error: 'must be an IP address; host names are not allowed' })
