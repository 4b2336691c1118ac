import { writeFile } from 'node:fs/promises'
import { describeError } from '@briarsaddle/common'
import { Command, Option } from 'clipanion'

/** One row of measurements; the keys name the units. */
export type Row = Readonly<Record<string, string | number>>

/** Base of the capacity programs: prints one JSON line per measurement and writes all of them to a file on request. */
export abstract class CapacityCommand extends Command {
  readonly json = Option.String('--json', { description: 'File for all measurements' })
  readonly #rows: Row[] = []

  /** Takes the measurements. */
  protected abstract measure (): Promise<void>

  async execute (): Promise<number> {
    try {
      await this.measure()
      if (this.json !== undefined) await writeFile(this.json, `${JSON.stringify(this.#rows, undefined, 2)}\n`)
      return 0
    } catch (error) {
      this.context.stderr.write(`capacity: ${describeError(error)}\n`)
      return 1
    }
  }

  /** Prints and keeps one row. */
  protected report (row: Row): void {
    const rounded = Object.fromEntries(Object.entries(row).map(([key, value]) => [key, typeof value === 'number' ? Number(value.toPrecision(5)) : value]))
    this.#rows.push(rounded)
    this.context.stdout.write(`${JSON.stringify(rounded)}\n`)
  }
}

/** Parses a list of numbers such as `20,100,650`. */
export function numbers (text: string): readonly number[] {
  const values = text.split(',').map(Number)
  if (values.some(value => !Number.isFinite(value) || value < 0)) throw new Error(`not a list of numbers: ${text}`)
  return values
}
