/** Returns the decoded segment, or undefined when its percent-encoding is malformed. */
function decodeSegment (segment: string): string | undefined {
  if (!segment.includes('%')) return segment
  try {
    return decodeURIComponent(segment)
  } catch {
    return undefined
  }
}

/**
 * Splits a path into decoded segments. `/` gives one empty segment. An encoded slash stays inside its segment.
 * Returns undefined for a path that does not begin with a slash, has malformed percent-encoding or has a segment
 * `.` or `..`: an endpoint that resolves dot segments would see another path, and perhaps another key, than the router.
 */
export function splitPath (path: string): string[] | undefined {
  if (!path.startsWith('/')) return undefined
  const segments = path.slice(1).split('/')
  for (const [index, segment] of segments.entries()) {
    const decoded = decodeSegment(segment)
    if (decoded === undefined || decoded === '.' || decoded === '..') return undefined
    segments[index] = decoded
  }
  return segments
}
