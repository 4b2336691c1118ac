import { createHash, timingSafeEqual } from 'node:crypto'

const bearerPattern = /^Bearer +(\S+) *$/i

/** Checks bearer tokens in constant time. */
export class TokenCheck {
  readonly #digest: Buffer

  constructor (token: string) {
    this.#digest = digest(token)
  }

  /** Returns true when the `Authorization` header has the token. */
  allows (authorization: string | undefined): boolean {
    const token = bearerPattern.exec(authorization ?? '')?.[1]
    // The comparison requires equal lengths. Digests have the same length and so hide the length of the token.
    return token !== undefined && timingSafeEqual(digest(token), this.#digest)
  }
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
