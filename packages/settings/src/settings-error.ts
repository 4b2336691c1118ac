import { BriarsaddleError } from '@briarsaddle/common'

/** An error in the settings file. */
export interface SettingsFinding {
  /** Key path such as `limits.maximumBodyBytes`; empty for a file that cannot be read or is not valid TOML. */
  readonly path: string
  readonly code: string
  readonly reason: string
}

class FileError extends BriarsaddleError {
  readonly fileName: string
  readonly findings: readonly SettingsFinding[]

  constructor (fileName: string, findings: readonly SettingsFinding[], code: 'settings_invalid' | 'settings_unreadable' = 'settings_invalid') {
    const lines = findings.map(({ path, reason }) => path === '' ? `${fileName}: ${reason}` : `${fileName}: ${path}: ${reason}`)
    super(lines.join('\n'), { code, step: 'read settings', path: [fileName, findings[0]?.path].filter(Boolean).join(':') })
    this.fileName = fileName
    this.findings = findings
  }
}

// modern-errors refuses plain subclasses, and BriarsaddleError's type omits its `subclass` method.
type Subclass = (name: string, options: { readonly custom: typeof FileError }) => typeof FileError
const { subclass } = BriarsaddleError as unknown as { readonly subclass: Subclass }

/** Thrown for invalid settings (code `settings_invalid`) or an unreadable file (`settings_unreadable`). Holds all findings. */
export const SettingsError = subclass.call(BriarsaddleError, 'SettingsError', { custom: FileError })

/** Thrown for invalid settings (code `settings_invalid`) or an unreadable file (`settings_unreadable`). Holds all findings. */
export type SettingsError = FileError
