/**
 * Whether an answer says where it ends, so that it does not end with its connection (RFC 9112, 6.3). `rawHeaders` are alternating
 * names and values.
 */
export function statesLength (method: string, status: number, rawHeaders: readonly Buffer[]): boolean {
  if (method === 'HEAD' || status === 204 || status === 304) return true
  const codings = valuesOf('transfer-encoding', rawHeaders).flatMap(value => value.split(','))
  if (codings.length > 0) return codings.at(-1)?.trim().toLowerCase() === 'chunked'
  return valuesOf('content-length', rawHeaders).length > 0
}

function valuesOf (name: string, rawHeaders: readonly Buffer[]): string[] {
  const values: string[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toString('latin1').toLowerCase() === name) values.push(String(rawHeaders[index + 1]))
  }
  return values
}
