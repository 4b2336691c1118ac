import type { PatternSegment } from './pattern.js'

/** A segment to search for: a decoded request segment, or a parameter or wildcard in the pattern of a later rule. */
export type SearchedSegment = string | Exclude<PatternSegment, { readonly type: 'literal' }>

interface Entry<Value> {
  readonly order: number
  readonly value: Value
}

class Node<Value> {
  /** Lowest order in this subtree, which is that of its first entry because entries are added in ascending order. */
  readonly lowestOrder: number
  readonly literals = new Map<string, Node<Value>>()
  parameter: Node<Value> | undefined
  /** Entries whose pattern ends at this node, by method. Only the first entry of each method is kept: later ones never match. */
  readonly exactEntries = new Map<string, Entry<Value>>()
  /** Entries whose pattern continues with a trailing `*`, by method. */
  readonly wildcardEntries = new Map<string, Entry<Value>>()

  constructor (lowestOrder: number) {
    this.lowestOrder = lowestOrder
  }
}

/** Value of a rule's method that matches every method. */
export const anyMethod = '*'

/**
 * Finds the first pattern, in the order of addition, that matches a method and path. The search visits each node at most
 * once and skips subtrees whose entries were all added after the best match so far.
 */
export class PatternTree<Value> {
  readonly #root = new Node<Value>(0)
  #size = 0

  /** Adds a pattern; patterns that were added earlier take precedence. */
  add (method: string, pattern: readonly PatternSegment[], value: Value): void {
    const entry = { order: this.#size++, value }
    let node = this.#root
    for (const segment of pattern) {
      if (segment.type === 'rest') {
        if (!node.wildcardEntries.has(method)) node.wildcardEntries.set(method, entry)
        return
      }
      node = segment.type === 'literal' ? literalChild(node, segment.text, entry.order) : (node.parameter ??= new Node(entry.order))
    }
    if (!node.exactEntries.has(method)) node.exactEntries.set(method, entry)
  }

  /**
   * Returns the value of the first pattern that matches every path described by `segments`, for every method that
   * `method` stands for.
   */
  find (method: string, segments: readonly SearchedSegment[]): Value | undefined {
    return search(this.#root, method, segments, 0, undefined)?.value
  }
}

function literalChild<Value> (node: Node<Value>, text: string, order: number): Node<Value> {
  let child = node.literals.get(text)
  if (child === undefined) {
    child = new Node(order)
    node.literals.set(text, child)
  }
  return child
}

function search<Value> (node: Node<Value>, method: string, segments: readonly SearchedSegment[], index: number, best: Entry<Value> | undefined): Entry<Value> | undefined {
  if (best !== undefined && best.order < node.lowestOrder) return best
  const segment = segments[index]
  if (segment === undefined) return firstOfMethod(node.exactEntries, method, best)
  best = firstOfMethod(node.wildcardEntries, method, best)
  if (typeof segment === 'string') {
    const literal = node.literals.get(segment)
    if (literal !== undefined) best = search(literal, method, segments, index + 1, best)
  }
  const parameterMatches = typeof segment === 'string' ? segment !== '' : segment.type === 'parameter'
  if (parameterMatches && node.parameter !== undefined) best = search(node.parameter, method, segments, index + 1, best)
  return best
}

function firstOfMethod<Value> (entries: ReadonlyMap<string, Entry<Value>>, method: string, best: Entry<Value> | undefined): Entry<Value> | undefined {
  for (const entry of [entries.get(method), entries.get(anyMethod)]) {
    if (entry !== undefined && (best === undefined || entry.order < best.order)) best = entry
  }
  return best
}
