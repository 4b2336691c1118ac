import { validateHeaderName, validateHeaderValue } from 'node:http'
import type { Header } from '@briarsaddle/protocol'

// RFC 9110, section 7.6.1, and the proxy headers, which concern this connection only.
const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

// Set anew for the whole body, answered by the entry itself, or sent in a field of the frame.
const rewrittenRequestHeaders: ReadonlySet<string> = new Set(['content-length', 'expect', 'x-forwarded-for', 'idempotency-key'])

const ownPrefix = 'briarsaddle-'
const mappedIpv4Prefix = '::ffff:'

/** Returns the headers of a caller's request for the endpoint. */
export function endpointHeaders (rawHeaders: readonly string[], remoteAddress: string): Header[] {
  const received = pairs(rawHeaders)
  const forwardedFor = received.filter(header => header.name.toLowerCase() === 'x-forwarded-for').map(header => header.value)
  const kept = endToEnd(received).filter(header => !rewrittenRequestHeaders.has(header.name.toLowerCase()))
  const address = remoteAddress.startsWith(mappedIpv4Prefix) ? remoteAddress.slice(mappedIpv4Prefix.length) : remoteAddress
  return [...kept, { name: 'X-Forwarded-For', value: [...forwardedFor, address].join(', ') }]
}

/** Returns the headers of an endpoint's answer for the caller, without the length of the body. */
export function callerHeaders (headers: readonly Header[]): Header[] {
  return endToEnd(headers).filter(header => header.name.toLowerCase() !== 'content-length' && isValid(header))
}

/** Returns the first value of a header. */
export function headerValue (headers: readonly Header[], name: string): string | undefined {
  return headers.find(header => header.name.toLowerCase() === name)?.value
}

function endToEnd (headers: readonly Header[]): Header[] {
  const listed = new Set(headers
    .filter(header => header.name.toLowerCase() === 'connection')
    .flatMap(header => header.value.split(','))
    .map(name => name.trim().toLowerCase()))
  return headers.filter(header => {
    const name = header.name.toLowerCase()
    return !hopByHopHeaders.has(name) && !listed.has(name) && !name.startsWith(ownPrefix)
  })
}

function pairs (rawHeaders: readonly string[]): Header[] {
  const headers: Header[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) headers.push({ name: rawHeaders[index] as string, value: rawHeaders[index + 1] as string })
  return headers
}

function isValid ({ name, value }: Header): boolean {
  try {
    validateHeaderName(name)
    validateHeaderValue(name, value)
    return true
  } catch {
    return false
  }
}
