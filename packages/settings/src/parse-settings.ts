import { readFile } from 'node:fs/promises'
import { readFileSync } from 'node:fs'
import { describeError, errorCode } from '@briarsaddle/common'
import { parse, TomlError } from 'smol-toml'
import type { z } from 'zod'
import { minimumTokenLength, settingsSchema, type Settings } from './schema.js'
import { SettingsError, type SettingsFinding } from './settings-error.js'

type Issue = z.core.$ZodIssue

function keyPath (parts: readonly PropertyKey[]): string {
  return parts.map(String).join('.')
}

function findingsOf (issue: Issue): SettingsFinding[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({ path: keyPath([...issue.path, key]), code: 'unknown_key', reason: 'unknown key' }))
  }
  return [{ path: keyPath(issue.path), code: issue.code, reason: issue.message }]
}

function parseToml (text: string, fileName: string): unknown {
  try {
    return parse(text)
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    // Only the first line of the message is used; smol-toml appends an excerpt of the file.
    const reason = `line ${error.line}, column ${error.column}: ${error.message.split('\n')[0] ?? ''}`
    throw new SettingsError(fileName, [{ path: '', code: 'bad_toml', reason }])
  }
}

/** Parses and validates the text of a settings file. Throws `SettingsError` with all findings. */
export function parseSettings (text: string, fileName: string): Settings {
  return parseWith(settingsSchema, text, fileName)
}

function parseWith<Schema extends z.ZodType> (schema: Schema, text: string, fileName: string): z.infer<Schema> {
  if (text.trim() === '') throw new SettingsError(fileName, [{ path: '', code: 'empty', reason: 'the file is empty' }])
  const result = schema.safeParse(parseToml(text, fileName))
  if (result.success) return result.data
  throw new SettingsError(fileName, result.error.issues.flatMap(findingsOf))
}

const readReasons: ReadonlyMap<string, string> = new Map([
  ['ENOENT', 'the file does not exist'],
  ['EISDIR', 'is a folder, not a file'],
  ['EACCES', 'the file may not be read by this user']
])

function unreadable (path: string, error: unknown): SettingsError {
  return new SettingsError(path, [{ path: '', code: 'unreadable', reason: readReasons.get(errorCode(error)) ?? describeError(error) }], 'settings_unreadable')
}

/** Reads, parses and validates a TOML file of any schema. Throws `SettingsError` with all findings, also when the file cannot be read. */
export function loadFile<Schema extends z.ZodType> (schema: Schema, path: string): z.infer<Schema> {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    throw unreadable(path, error)
  }
  return parseWith(schema, text, path)
}

/** Reads, parses and validates a settings file. Throws `SettingsError`, also when the file cannot be read. */
export async function loadSettings (path: string): Promise<Settings> {
  let text: string
  try {
    text = await readFile(path, 'utf8')
  } catch (error) {
    throw unreadable(path, error)
  }
  return parseSettings(text, path)
}

/**
 * Returns the administration token from the settings or from the environment variable that they name.
 * Throws `SettingsError` when it is missing or too short.
 */
export function administrationToken (settings: Settings, environment: Readonly<Record<string, string | undefined>> = process.env): string {
  const { token, tokenEnvironment = '' } = settings.administration
  const value = token ?? environment[tokenEnvironment] ?? ''
  if (value.length >= minimumTokenLength) return value
  const reason = `environment variable ${tokenEnvironment} must hold at least ${minimumTokenLength} characters`
  throw new SettingsError('settings', [{ path: 'administration.tokenEnvironment', code: 'bad_token', reason }])
}
