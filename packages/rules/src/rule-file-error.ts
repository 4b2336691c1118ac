import { BriarsaddleError } from '@briarsaddle/common'
import type { RuleFinding } from './rule.js'

class FileError extends BriarsaddleError {
  readonly fileName: string
  readonly findings: readonly RuleFinding[]

  constructor (fileName: string, findings: readonly RuleFinding[]) {
    const lines = findings.map(finding => formatFinding(fileName, finding))
    super(lines.join('\n'), { code: 'rules_invalid', step: 'parse rules', path: `${fileName}:${findings[0]?.line ?? 1}` })
    this.fileName = fileName
    this.findings = findings
  }
}

// modern-errors refuses plain subclasses, and BriarsaddleError's type omits its `subclass` method.
type Subclass = (name: string, options: { readonly custom: typeof FileError }) => typeof FileError
const { subclass } = BriarsaddleError as unknown as { readonly subclass: Subclass }

/** Thrown for an invalid rule file; code `rules_invalid`. Holds all findings, ordered by line. */
export const RuleFileError = subclass.call(BriarsaddleError, 'RuleFileError', { custom: FileError })

/** Thrown for an invalid rule file; code `rules_invalid`. Holds all findings, ordered by line. */
export type RuleFileError = FileError

/** Formats a finding as `file:line: message (code)`. */
export function formatFinding (fileName: string, finding: RuleFinding): string {
  return `${fileName}:${finding.line}: ${finding.message} (${finding.code})`
}
