import { readFile } from 'node:fs/promises'
import { BriarsaddleError, describeError } from '@briarsaddle/common'
import { RuleFileError, parseRules, type RuleFile } from '@briarsaddle/rules'

/** Reads a text file. Throws `bad_input`. */
export async function readInput (path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8')
  } catch (error) {
    throw new BriarsaddleError(`${path} cannot be read: ${describeError(error)}`, { code: 'bad_input', step: 'read file', path, cause: error })
  }
}

/** Parses a rule file that is meant to be published. Throws `RuleFileError`, also for a file without rules. */
export function parsePublishable (text: string, path: string): RuleFile {
  const file = parseRules(text, path)
  // The likely cause is a truncated file, and publishing it would refuse every request.
  if (file.rules.length === 0) throw new RuleFileError(path, file.warnings)
  return file
}

/** Reduces a URL of a service to its origin. Throws `bad_input`. */
export function parseOrigin (text: string, option: string): string {
  if (URL.canParse(text) && /^https?:$/.test(new URL(text).protocol)) return new URL(text).origin
  throw new BriarsaddleError(`${option} "${text}" must be a URL such as http://127.0.0.1:7080`, { code: 'bad_input', step: 'read arguments' })
}
