import { errorCode } from '@briarsaddle/common'

/** Exit codes of every command. */
export const exitCodes = {
  success: 0,
  /** The service refused the command, or an object that the command names does not exist. */
  refused: 1,
  /** Wrong arguments, or an input file that is unreadable or invalid. */
  badInput: 2,
  /** The log or the administration did not answer; nothing was changed. */
  unavailable: 3,
  /** The change may or may not have been made. */
  unknown: 4
} as const

/** One of `exitCodes`. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes]

const exitCodeByErrorCode: Readonly<Record<string, ExitCode>> = {
  refused: exitCodes.refused,
  not_found: exitCodes.refused,
  bad_input: exitCodes.badInput,
  rules_invalid: exitCodes.badInput,
  settings_invalid: exitCodes.badInput,
  settings_unreadable: exitCodes.badInput,
  log_unavailable: exitCodes.unavailable,
  control_state_unavailable: exitCodes.unavailable,
  administration_unavailable: exitCodes.unavailable,
  log_unknown: exitCodes.unknown,
  outcome_unknown: exitCodes.unknown
}

/** Returns the exit code for an error. An error without a known code gives `unknown`, because it may have occurred after a change. */
export function exitCodeOf (error: unknown): ExitCode {
  return exitCodeByErrorCode[errorCode(error)] ?? exitCodes.unknown
}
