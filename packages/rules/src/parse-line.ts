import { METHODS } from 'node:http'
import { parseDuration } from './duration.js'
import { parsePattern } from './pattern.js'
import { anyMethod } from './pattern-tree.js'
import type { KeyLocation, Rule, RuleFinding, ServiceClass } from './rule.js'

// CONNECT is excluded because the router does not support tunnels.
const methods: ReadonlySet<string> = new Set([anyMethod, ...METHODS.filter(method => method !== 'CONNECT')])
const serviceClasses: readonly ServiceClass[] = ['prompt', 'normal', 'long']
const fieldNames: readonly string[] = ['pool', 'key', 'class', 'deadline']
const repetitionFlags: readonly string[] = ['idempotent', 'at-most-once']
const poolName = /^[A-Za-z0-9][A-Za-z0-9._-]*$/
const headerName = /^[A-Za-z0-9!#$%&'*+.^_`|~-]+$/

type Report = (code: string, message: string) => void

/** Fields of one line by name. The flags `idempotent` and `at-most-once` are stored as the value of `repetition`. */
type Fields = ReadonlyMap<string, string>

/** Splits a line into its rule and its comment. A comment begins with `#` at the start or after white space. */
export function splitComment (line: string): { readonly content: string, readonly comment: string | undefined } {
  const start = /(^|\s)#/.exec(line)
  if (start === null) return { content: line.trim(), comment: undefined }
  return { content: line.slice(0, start.index).trim(), comment: line.slice(start.index + start[0].length).trim() }
}

function collectFields (tokens: readonly string[], report: Report): Fields {
  const fields = new Map<string, string>()
  const set = (name: string, value: string): void => {
    if (!fields.has(name)) fields.set(name, value)
    else if (name === 'repetition') report('duplicate_field', 'exactly one of "idempotent" and "at-most-once" is allowed')
    else report('duplicate_field', `field "${name}" occurs twice`)
  }
  for (const token of tokens) {
    const separator = token.indexOf('=')
    const name = separator < 0 ? token : token.slice(0, separator)
    if (separator < 0 && repetitionFlags.includes(token)) set('repetition', token)
    else if (separator >= 0 && fieldNames.includes(name)) set(name, token.slice(separator + 1))
    else if (fieldNames.includes(name)) report('bad_field', `field "${name}" needs a value: ${name}=...`)
    else report('unknown_field', `unknown field "${token}"; known are ${fieldNames.map(known => `${known}=`).join(', ')}, ${repetitionFlags.join(', ')}`)
  }
  return fields
}

function parseKey (text: string, parameters: ReadonlySet<string> | undefined, report: Report): KeyLocation | undefined {
  const separator = text.indexOf(':')
  const from = text.slice(0, separator)
  const name = text.slice(separator + 1)
  if (separator < 0 || name === '' || (from !== 'path' && from !== 'header' && from !== 'query')) {
    report('bad_key', `key "${text}" must be path:NAME, header:NAME or query:NAME`)
    return undefined
  }
  if (from === 'path' && parameters !== undefined && !parameters.has(name)) report('unknown_key_name', `key "${text}" names no parameter of the path pattern`)
  if (from === 'header' && !headerName.test(name)) report('bad_key', `"${name}" is not a valid header name`)
  return { from, name: from === 'header' ? name.toLowerCase() : name }
}

function parseMethodAndPattern (method: string, pattern: string | undefined, report: Report): ReadonlySet<string> | undefined {
  if (!methods.has(method)) report('bad_method', `"${method}" is not an HTTP method in capitals or "*"`)
  if (pattern === undefined) {
    report('missing_field', 'the path pattern is missing')
    return undefined
  }
  const segments = parsePattern(pattern)
  if (typeof segments !== 'string') return new Set(segments.flatMap(segment => segment.type === 'parameter' ? [segment.name] : []))
  report('bad_pattern', `path pattern "${pattern}": ${segments}`)
  return undefined
}

function parseDeadline (text: string | undefined, report: Report): number {
  if (text === undefined) report('missing_field', 'field "deadline" is missing, for example deadline=20s')
  const milliseconds = text === undefined ? undefined : parseDuration(text)
  if (text !== undefined && milliseconds === undefined) report('bad_duration', `deadline "${text}" must be a whole number with ms, s, m or h, from 1ms to 24h`)
  return milliseconds ?? 0
}

function parseClass (text: string | undefined, report: Report): ServiceClass {
  if (text === undefined) report('missing_field', `field "class" is missing; one of ${serviceClasses.join(', ')}`)
  const known = serviceClasses.find(serviceClass => serviceClass === text)
  if (text !== undefined && known === undefined) report('bad_class', `class "${text}" must be one of ${serviceClasses.join(', ')}`)
  return known ?? 'normal'
}

function parsePool (text: string | undefined, report: Report): string {
  if (text === undefined) report('missing_field', 'field "pool" is missing')
  else if (!poolName.test(text)) report('bad_pool', `pool "${text}" must consist of letters, digits, ".", "_" and "-"`)
  return text ?? ''
}

function parseRequestedBy (comment: string | undefined, report: Report): string {
  // A comment without a letter, such as "#" or "# -", cannot name anyone.
  if (comment === undefined || !/\p{L}/u.test(comment)) report('missing_comment', 'the rule needs a trailing comment that names who asked for it')
  return comment ?? ''
}

/** Parses one rule line. Appends errors to `findings` and returns undefined when the line has any. */
export function parseRuleLine (line: number, content: string, comment: string | undefined, findings: RuleFinding[]): Rule | undefined {
  const countBefore = findings.length
  const report: Report = (code, message) => { findings.push({ line, code, message }) }
  const [method = '', pattern, ...tokens] = content.split(/\s+/)
  const parameters = parseMethodAndPattern(method, pattern, report)
  const fields = collectFields(tokens, report)
  const keyText = fields.get('key')
  const rule: Rule = {
    line,
    method,
    pattern: pattern ?? '',
    pool: parsePool(fields.get('pool'), report),
    key: keyText === undefined ? undefined : parseKey(keyText, parameters, report),
    idempotent: fields.get('repetition') === 'idempotent',
    serviceClass: parseClass(fields.get('class'), report),
    deadlineMilliseconds: parseDeadline(fields.get('deadline'), report),
    requestedBy: parseRequestedBy(comment, report)
  }
  if (!fields.has('repetition')) report('missing_field', 'one of "idempotent" and "at-most-once" is missing')
  return findings.length === countBefore ? rule : undefined
}
