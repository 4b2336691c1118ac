import { randomUUID } from 'node:crypto'
import { BriarsaddleError, describeError } from '@briarsaddle/common'
import { noVersion, type ControlState, type RecordOfKind, type RulesState, type VoidReason } from '@briarsaddle/ownership'
import { appendSettled, type LogClient } from '@briarsaddle/platform'
import { diffRules, type RuleDifference } from '@briarsaddle/rules'
import { ControlLog } from './control-log.js'

/** A rule file to publish. */
export interface Publication {
  /** Text of a valid rule file. */
  readonly text: string
  readonly author: string
  /** Version on which the file is based; `noVersion` for the first publication. */
  readonly base: number
}

/**
 * Result of a publication. `published`: the file is in force. `unchanged`: a version with the same text is already in force.
 * `stale_base`: the version in force is not the base, and nothing was appended. `lost`: another record was appended first.
 * The last two give the version in force, its author and the difference from it to the file.
 */
export type PublishResult =
  | { readonly outcome: 'published' | 'unchanged', readonly version: number, readonly difference: RuleDifference }
  | { readonly outcome: 'stale_base' | 'lost', readonly version: number, readonly author: string, readonly difference: RuleDifference }

/** Options of a publication. */
export interface PublishOptions {
  /** Limit of the time to read the result from the log after the append, in milliseconds. Default 10000. */
  readonly confirmTimeoutMilliseconds?: number
}

// Long enough for a short outage of the log between the append and the read of its result.
const defaultConfirmTimeoutMilliseconds = 10_000

/**
 * Publishes a rule file through the log and waits until the log shows whether the file is in force.
 * Throws `log_unavailable` or `control_state_unavailable` when nothing was published, and `log_unknown` or `outcome_unknown`
 * when the file may have been published.
 */
export async function publishRules (client: LogClient, publication: Publication, options: PublishOptions = {}): Promise<PublishResult> {
  const log = new ControlLog(client)
  const before = (await log.readToEnd()).rules
  if (isInForce(before, publication)) return { outcome: 'unchanged', version: before.version, difference: diffRules('', '') }
  if (before.version !== publication.base) return notPublished('stale_base', before, publication)
  const record: RecordOfKind<'rules'> = { id: randomUUID(), kind: 'rules', ...publication }
  const offset = await appendSettled(client, { body: JSON.stringify(record), id: record.id, from: log.nextOffset })
  const { first, state } = await confirm(log, record.id, offset, options.confirmTimeoutMilliseconds ?? defaultConfirmTimeoutMilliseconds)
  if (first === undefined) throw outcomeUnknown(record.id, 'the log discarded it before it could be read', undefined)
  if (first.voidReason === undefined) return { outcome: 'published', version: first.offset, difference: diffRules(before.text, publication.text) }
  // The record that came first may have the same text, for example from an earlier attempt of the same operator.
  if (isInForce(state.rules, publication)) return { outcome: 'unchanged', version: state.rules.version, difference: diffRules('', '') }
  return notPublished('lost', state.rules, publication)
}

interface Confirmation {
  readonly state: ControlState
  /** First copy of the record. A proxy may have appended it twice, and only the first copy can take effect. */
  readonly first: { readonly offset: number, readonly voidReason: VoidReason | undefined } | undefined
}

/** Reads the log past the appended record. Throws `outcome_unknown` when that is not possible in time. */
async function confirm (log: ControlLog, id: string, offset: number, timeoutMilliseconds: number): Promise<Confirmation> {
  let first: Confirmation['first']
  try {
    const state = await log.readPast(offset, timeoutMilliseconds, ({ offset, record, voidReason }) => {
      if (record.id === id) first ??= { offset, voidReason }
    })
    return { state, first }
  } catch (error) {
    throw outcomeUnknown(id, describeError(error), error)
  }
}

function outcomeUnknown (id: string, reason: string, cause: unknown): BriarsaddleError {
  const message = `record ${id} was written, but it is not known whether it is in force: ${reason}; check with "briarsaddle rules show"`
  return new BriarsaddleError(message, { code: 'outcome_unknown', step: 'confirm publication', cause })
}

function isInForce (rules: RulesState, publication: Publication): boolean {
  return rules.version !== noVersion && rules.text === publication.text
}

/** Result for a file that was not published because another version is in force. */
function notPublished (outcome: 'stale_base' | 'lost', rules: RulesState, publication: Publication): PublishResult {
  return { outcome, version: rules.version, author: rules.author, difference: diffRules(rules.text, publication.text) }
}
