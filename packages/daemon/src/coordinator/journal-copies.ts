import { type Clock } from '@briarsaddle/common'
import { JournalStage, type BucketImport, type FetchJournalResponse, type Journal, type JournalAcknowledgement, type JournalEntry } from '@briarsaddle/protocol'
import { journalRetentionMilliseconds, unknownJournal } from './journal.js'

/** Time for which a copy is kept after this VM stopped being the standby. A successor may ask for it shortly after a record has named another standby. */
const unneededMilliseconds = 30_000

/** Copy of the journal of one endpoint, as written under one coordinator token. */
interface JournalCopy {
  readonly token: number
  nextSequence: number
  /** Local time since which the copy has every key; undefined until a full copy has arrived. */
  knownSince: number | undefined
  readonly entries: Map<string, { readonly entry: JournalEntry, readonly receivedAt: number }>
  imports: { readonly buckets: readonly BucketImport[], readonly receivedAt: number }
}

/** Copies of the journals for which this VM is the standby. */
export class JournalCopies {
  readonly #clock: Clock
  readonly #copies = new Map<string, JournalCopy>()
  /** Highest token, by endpoint, whose journal a successor has fetched. */
  readonly #ended = new Map<string, number>()
  readonly #unneededSince = new Map<string, number>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Applies a change. After a gap in the sequence, the acknowledgement makes the coordinator send a full copy again. */
  receive (journal: Journal): JournalAcknowledgement {
    const { id, endpoint, token, sequence, entry, knownMilliseconds, imports } = journal
    const existing = this.#copies.get(endpoint)
    // The successor would not know a key that is added after it fetched the copy, and could run the key's request a second time.
    if (token <= (this.#ended.get(endpoint) ?? -1) || (existing !== undefined && existing.token > token)) return { id, complete: false }
    let copy = existing
    if (sequence === 1) {
      copy = { token, nextSequence: 1, knownSince: undefined, entries: new Map(), imports: { buckets: [], receivedAt: 0 } }
      this.#copies.set(endpoint, copy)
    }
    if (copy === undefined || copy.token !== token || copy.nextSequence !== sequence) {
      if (copy !== undefined && copy.token === token) this.#copies.delete(endpoint)
      return { id, complete: false }
    }
    copy.nextSequence += 1
    if (entry !== undefined) this.#apply(copy, entry)
    if (imports.length > 0) copy.imports = { buckets: imports, receivedAt: this.#clock.now() }
    if (knownMilliseconds > 0) copy.knownSince ??= this.#clock.now() - knownMilliseconds
    return { id, complete: true }
  }

  /** Returns the copy that the coordinator with this token wrote, and refuses further changes under the token. */
  end (endpoint: string, token: number): FetchJournalResponse {
    this.#ended.set(endpoint, Math.max(token, this.#ended.get(endpoint) ?? -1))
    const copy = this.#copies.get(endpoint)
    if (copy === undefined || copy.token !== token) return unknownJournal
    const now = this.#clock.now()
    const entries = [...copy.entries.values()].map(({ entry, receivedAt }) => ({ ...entry, ageMilliseconds: entry.ageMilliseconds + now - receivedAt }))
    const imports = copy.imports.buckets.map(bucket => ({ ...bucket, knownMilliseconds: bucket.knownMilliseconds + now - copy.imports.receivedAt }))
    return { knownMilliseconds: copy.knownSince === undefined ? 0 : now - copy.knownSince, entries, imports, notReady: false }
  }

  /** Drops copies for other endpoints than these, once they have not been needed for some time. */
  keepOnly (endpoints: ReadonlySet<string>): void {
    const now = this.#clock.now()
    for (const endpoint of this.#copies.keys()) {
      if (endpoints.has(endpoint)) {
        this.#unneededSince.delete(endpoint)
        continue
      }
      const since = this.#unneededSince.get(endpoint) ?? now
      this.#unneededSince.set(endpoint, since)
      if (now - since < unneededMilliseconds) continue
      this.#copies.delete(endpoint)
      this.#unneededSince.delete(endpoint)
    }
  }

  #apply (copy: JournalCopy, entry: JournalEntry): void {
    if (entry.stage === JournalStage.JOURNAL_STAGE_REMOVED) copy.entries.delete(entry.idempotencyKey)
    else copy.entries.set(entry.idempotencyKey, { entry, receivedAt: this.#clock.now() })
    const oldest = this.#clock.now() - journalRetentionMilliseconds
    for (const [key, kept] of copy.entries) {
      if (kept.receivedAt - kept.entry.ageMilliseconds > oldest) break
      copy.entries.delete(key)
    }
  }
}
