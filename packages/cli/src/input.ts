import { readFile } from 'node:fs/promises'
import { BriarsaddleError, describeError } from '@briarsaddle/common'
import { RuleFileError, parseRules, type RuleFile } from '@briarsaddle/rules'

/** Reads a text file. Throws `bad_input` when it cannot be read. */
export async function readInput (path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8')
  } catch (error) {
    throw new BriarsaddleError(`${path} cannot be read: ${describeError(error)}`, { code: 'bad_input', step: 'read file', path, cause: error })
  }
}

/** Parses a rule file that is to be published. Throws `RuleFileError` when it is invalid or has no rules. */
export function parsePublishable (text: string, path: string): RuleFile {
  const file = parseRules(text, path)
  // The file is probably truncated, and publishing it would make the router refuse every request.
  if (file.rules.length === 0) throw new RuleFileError(path, file.warnings)
  return file
}

/** Returns the origin of a service URL. Throws `bad_input` when the text is not an HTTP URL; `option` names it in the message. */
export function parseOrigin (text: string, option: string): string {
  if (URL.canParse(text) && /^https?:$/.test(new URL(text).protocol)) return new URL(text).origin
  throw new BriarsaddleError(`${option} "${text}" must be a URL such as http://127.0.0.1:7080`, { code: 'bad_input', step: 'read arguments' })
}
