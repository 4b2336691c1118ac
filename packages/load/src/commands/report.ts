import { readFile } from 'node:fs/promises'
import { BriarsaddleError } from '@briarsaddle/common'
import { Command, Option } from 'clipanion'
import { formatReport, type NamedResult } from '../report.js'
import { resultSchema } from '../result.js'
import { LoadCommand } from './load-command.js'

/** `briarsaddle-load report`: compares results. */
export class ReportCommand extends LoadCommand {
  static override paths = [['report']]
  static override usage = Command.Usage({ description: 'Compare results; ratios are against the baseline, by default the first file' })

  readonly baseline = Option.String('--baseline', { description: 'File to compare with' })
  readonly files = Option.Rest({ name: 'file', required: 1 })

  protected override async run (): Promise<void> {
    const files = this.baseline === undefined ? this.files : [this.baseline, ...this.files.filter(file => file !== this.baseline)]
    this.context.stdout.write(formatReport(await Promise.all(files.map(readResult))))
  }
}

async function readResult (path: string): Promise<NamedResult> {
  try {
    return { name: path, result: resultSchema.parse(JSON.parse(await readFile(path, 'utf8'))) }
  } catch (cause) {
    throw new BriarsaddleError(`File ${path} is not a readable result`, { code: 'bad_input', step: 'read result', path, cause })
  }
}
