import { createHash, timingSafeEqual } from 'node:crypto'

const bearerPattern = /^Bearer +(\S+) *$/i

/** Checks bearer tokens in a time that does not depend on the token that was sent. */
export class TokenCheck {
  readonly #digest: Buffer

  constructor (token: string) {
    this.#digest = digest(token)
  }

  /** Returns true when the `Authorization` header carries the token. */
  allows (authorization: string | undefined): boolean {
    const token = bearerPattern.exec(authorization ?? '')?.[1]
    // Digests have the same length, which the comparison needs and which hides the length of the token.
    return token !== undefined && timingSafeEqual(digest(token), this.#digest)
  }
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
