import { splitPath } from './path.js'

/** A segment of a path pattern. `rest` is the trailing `*` and matches one or more segments, the last of which may be empty. */
export type PatternSegment =
  | { readonly type: 'literal', readonly text: string }
  | { readonly type: 'parameter', readonly name: string }
  | { readonly type: 'rest' }

const parameterName = /^[A-Za-z_][A-Za-z0-9_-]*$/

function parseSegment (text: string, last: boolean): PatternSegment | string {
  if (text === '*') return last ? { type: 'rest' } : '"*" is allowed only as the last segment'
  if (text.startsWith(':')) {
    const name = text.slice(1)
    return parameterName.test(name) ? { type: 'parameter', name } : `parameter "${text}" needs a name of letters, digits, "_" and "-"`
  }
  if (text.includes('*')) return `"*" must be a segment of its own, not part of "${text}"`
  if (text === '' && !last) return 'a segment is empty'
  const decoded = splitPath(`/${text}`)?.[0]
  return decoded === undefined ? `segment "${text}" is "." or ".." or has malformed percent-encoding` : { type: 'literal', text: decoded }
}

/** Parses a path pattern such as `/ponds/:pond/orders` or `/files/*`. Returns an error message when it is invalid. */
export function parsePattern (pattern: string): readonly PatternSegment[] | string {
  if (!pattern.startsWith('/')) return 'the path pattern must begin with "/"'
  if (pattern.includes('?')) return 'the path pattern must not contain a query'
  const segments: PatternSegment[] = []
  const names = new Set<string>()
  const texts = pattern.slice(1).split('/')
  for (const [index, text] of texts.entries()) {
    const segment = parseSegment(text, index === texts.length - 1)
    if (typeof segment === 'string') return segment
    if (segment.type === 'parameter') {
      if (names.has(segment.name)) return `parameter "${segment.name}" occurs twice`
      names.add(segment.name)
    }
    segments.push(segment)
  }
  return segments
}
