import { noVersion } from '@briarsaddle/ownership'
import { RuleFileError, diffRules, formatFinding } from '@briarsaddle/rules'
import { Command, Option } from 'clipanion'
import { cascade, isAtLeast, isInteger, isNumber } from 'typanion'
import { BriarsaddleCommand } from '../command.js'
import { exitCodes, type ExitCode } from '../exit-code.js'
import { parseOrigin, parsePublishable, readInput } from '../input.js'
import { publishRules, type PublishResult } from '../publish.js'
import { RulesInForceCommand } from '../rules-in-force.js'

const category = 'Rules'
const isVersion = cascade(isNumber(), [isInteger(), isAtLeast(0)])

/** `briarsaddle rules check FILE` */
export class RulesCheckCommand extends BriarsaddleCommand {
  static override readonly paths = [['rules', 'check']]
  static override readonly usage = Command.Usage({ category, description: 'Check a rule file', details: 'Reports every error with its line, and rules that an earlier rule makes unreachable.' })
  readonly file = Option.String()

  protected async run (): Promise<ExitCode> {
    const text = await readInput(this.file)
    try {
      const { rules, warnings } = parsePublishable(text, this.file)
      const lines = warnings.map(warning => `warning: ${formatFinding(this.file, warning)}`)
      this.write({ valid: true, rules: rules.length, findings: [], warnings }, [...lines, `${this.file} is valid: ${rules.length} rules`].join('\n'))
      return exitCodes.success
    } catch (error) {
      if (!(error instanceof RuleFileError)) throw error
      this.write({ valid: false, rules: 0, findings: error.findings, warnings: [] }, '')
      this.writeToStderr(error.message)
      return exitCodes.badInput
    }
  }
}

/** `briarsaddle rules publish FILE --author NAME --log-url URL [--base VERSION]` */
export class RulesPublishCommand extends BriarsaddleCommand {
  static override readonly paths = [['rules', 'publish']]
  static override readonly usage = Command.Usage({
    category,
    description: 'Publish a rule file',
    details: 'Without --base, only the first file is published: a file that replaces another must name the version from which it was made, as "rules show" and "rules diff" print it, so that nobody\'s change is overwritten unseen.',
    examples: [['Replace version 42', '$0 rules publish rules.txt --author leila --log-url http://127.0.0.1:7000 --base 42']]
  })

  readonly file = Option.String()
  readonly author = Option.String('--author', { required: true, description: 'Who publishes the file' })
  readonly logUrl = Option.String('--log-url', { required: true, description: 'Address of the log service' })
  readonly base = Option.String('--base', { description: 'Version from which the file was made', validator: isVersion })
  readonly stream = Option.String('--stream', 'control', { description: 'Control stream of the log' })

  protected async run (): Promise<ExitCode> {
    const text = await readInput(this.file)
    const { warnings } = parsePublishable(text, this.file)
    for (const warning of warnings) this.writeToStderr(`warning: ${formatFinding(this.file, warning)}`)
    const base = this.base ?? noVersion
    const { client, close } = this.context.openLog(parseOrigin(this.logUrl, '--log-url'), this.stream)
    try {
      return this.#report(await publishRules(client, { text, author: this.author, base }))
    } finally {
      await close()
    }
  }

  #report (result: PublishResult): ExitCode {
    const { version, difference } = result
    if ('author' in result) {
      this.write(result, difference.text)
      this.writeToStderr(this.#notPublishedMessage(result))
      return exitCodes.refused
    }
    const message = result.outcome === 'published' ? `version ${version} is in force` : `nothing to publish: the file equals version ${version}, which is in force`
    this.write(result, [difference.text, message].filter(Boolean).join('\n'))
    return exitCodes.success
  }

  #notPublishedMessage (result: Extract<PublishResult, { readonly author: string }>): string {
    const { outcome, version, author } = result
    if (version === noVersion) return 'not published: no version is in force; leave out --base'
    const versionInForce = `version ${version} by ${author}`
    const reason = outcome === 'lost'
      ? `${versionInForce} was published at the same moment and is in force`
      : `${versionInForce} is in force${this.base === undefined ? '; name it with --base' : `, not version ${this.base}`}`
    return `not published: ${reason}; merge the difference shown into ${this.file} if needed and publish with --base ${version}`
  }
}

/** `briarsaddle rules show` */
export class RulesShowCommand extends RulesInForceCommand {
  static override readonly paths = [['rules', 'show']]
  static override readonly usage = Command.Usage({ category, description: 'Show the rule file in force', details: 'The text goes to stdout, so that it can be redirected to a file; version and author go to stderr.' })

  protected async run (): Promise<ExitCode> {
    const { version, text, author } = await this.rulesInForce()
    if (version === noVersion) {
      this.write({ version: null, text: '', author: '' }, '')
      this.writeToStderr('no rule file was published yet')
      return exitCodes.refused
    }
    this.write({ version, author, text }, text)
    if (!this.json) this.context.stderr.write(`version ${version}, published by ${author}\n`)
    return exitCodes.success
  }
}

/** `briarsaddle rules diff FILE` */
export class RulesDiffCommand extends RulesInForceCommand {
  static override readonly paths = [['rules', 'diff']]
  static override readonly usage = Command.Usage({ category, description: 'Compare a file with the rule file in force', details: 'Lines with "-" are in force, lines with "+" are in the file. The exit code is 0 whether there are differences or not.' })
  readonly file = Option.String()

  protected async run (): Promise<ExitCode> {
    const text = await readInput(this.file)
    const inForce = await this.rulesInForce()
    const difference = diffRules(inForce.text, text)
    const version = inForce.version === noVersion ? null : inForce.version
    const heading = version === null ? 'no rule file was published yet' : `compared with version ${version}, published by ${inForce.author}`
    this.write({ version, author: inForce.author, changes: difference.changes }, [heading, difference.text || 'no differences'].join('\n'))
    return exitCodes.success
  }
}
