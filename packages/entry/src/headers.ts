import { validateHeaderName, validateHeaderValue } from 'node:http'
import type { CallerHeader } from './request-handler.js'

// Headers that apply to a single connection: RFC 9110, section 7.6.1, and the proxy headers.
const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Returns the headers without hop-by-hop headers and without those listed in `Connection`. */
export function endToEndHeaders (headers: readonly CallerHeader[]): CallerHeader[] {
  const listed = new Set(headers
    .filter(header => header.name.toLowerCase() === 'connection')
    .flatMap(header => header.value.split(','))
    .map(name => name.trim().toLowerCase()))
  return headers.filter(header => {
    const name = header.name.toLowerCase()
    return !hopByHopHeaders.has(name) && !listed.has(name)
  })
}

/** Converts alternating names and values to headers. */
export function headerPairs (rawHeaders: readonly string[]): CallerHeader[] {
  const headers: CallerHeader[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) headers.push({ name: rawHeaders[index] as string, value: rawHeaders[index + 1] as string })
  return headers
}

/** Returns the first value of a header. `name` must be in lower case. */
export function headerValue (headers: readonly CallerHeader[], name: string): string | undefined {
  return headers.find(header => header.name.toLowerCase() === name)?.value
}

/** Returns true when Node.js accepts the name and the value of the header for sending. */
export function isValidHeader ({ name, value }: CallerHeader): boolean {
  try {
    validateHeaderName(name)
    validateHeaderValue(name, value)
    return true
  } catch {
    return false
  }
}
