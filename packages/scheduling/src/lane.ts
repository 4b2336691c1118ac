/** An element of a `Lane`. An element is in at most one lane. */
export interface LaneNode<Node> {
  previous: Node | undefined
  next: Node | undefined
}

/** Queue as a doubly linked list. Appending, reading the oldest and removing any element are O(1), unlike with arrays and sets. */
export class Lane<Node extends LaneNode<Node>> {
  #first: Node | undefined
  #last: Node | undefined
  #size = 0

  get size (): number {
    return this.#size
  }

  get first (): Node | undefined {
    return this.#first
  }

  append (node: Node): void {
    node.previous = this.#last
    node.next = undefined
    if (this.#last === undefined) this.#first = node
    else this.#last.next = node
    this.#last = node
    this.#size++
  }

  /** Removes a node, which must be in this lane. */
  remove (node: Node): void {
    if (node.previous === undefined) this.#first = node.next
    else node.previous.next = node.next
    if (node.next === undefined) this.#last = node.previous
    else node.next.previous = node.previous
    node.previous = undefined
    node.next = undefined
    this.#size--
  }

  /** Iterates from the oldest node. The current node may be removed during the iteration. */
  * [Symbol.iterator] (): Generator<Node> {
    for (let node = this.#first; node !== undefined;) {
      const next: Node | undefined = node.next
      yield node
      node = next
    }
  }
}
