/** Prints what happens in sentences, each with the time since the start. */
export class Narrator {
  readonly #startedAt = performance.now()

  /** Prints one sentence. */
  say (sentence: string): void {
    process.stdout.write(`${this.#time()}  ${sentence}\n`)
  }

  /** Prints output of a program, indented below the last sentence. */
  quote (output: string): void {
    for (const line of output.trimEnd().split('\n')) process.stdout.write(`          | ${line}\n`)
  }

  #time (): string {
    return `${((performance.now() - this.#startedAt) / 1000).toFixed(2).padStart(6)} s`
  }
}

/** Throws an error with the reason unless the condition holds. */
export function ensure (condition: boolean, reason: string): asserts condition {
  if (!condition) throw new Error(reason)
}
