import { endToEndHeaders, headerPairs, isValidHeader } from '@briarsaddle/entry'
import type { Header } from '@briarsaddle/protocol'

// Recomputed for the forwarded request, handled by the entry, or sent in a field of the frame.
const rewrittenRequestHeaders: ReadonlySet<string> = new Set(['content-length', 'expect', 'x-forwarded-for', 'idempotency-key'])

const ownPrefix = 'briarsaddle-'
const mappedIpv4Prefix = '::ffff:'

/** Returns the headers of a caller's request that are forwarded to the endpoint. */
export function endpointHeaders (rawHeaders: readonly string[], remoteAddress: string): Header[] {
  const received = headerPairs(rawHeaders)
  const forwardedFor = received.filter(header => header.name.toLowerCase() === 'x-forwarded-for').map(header => header.value)
  const kept = endToEnd(received).filter(header => !rewrittenRequestHeaders.has(header.name.toLowerCase()))
  const address = remoteAddress.startsWith(mappedIpv4Prefix) ? remoteAddress.slice(mappedIpv4Prefix.length) : remoteAddress
  return [...kept, { name: 'X-Forwarded-For', value: [...forwardedFor, address].join(', ') }]
}

/** Returns the headers of an endpoint's answer that are passed to the caller, without Content-Length. */
export function callerHeaders (headers: readonly Header[]): Header[] {
  return endToEnd(headers).filter(header => header.name.toLowerCase() !== 'content-length' && isValidHeader(header))
}

function endToEnd (headers: readonly Header[]): Header[] {
  return endToEndHeaders(headers).filter(header => !header.name.toLowerCase().startsWith(ownPrefix))
}
