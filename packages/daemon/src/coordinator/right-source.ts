/** Tells until when this VM may act as coordinator of an endpoint. */
export abstract class RightSource {
  /** End of the right in milliseconds of the monotonic clock; a time in the past when there is none. */
  abstract rightUntil (endpoint: string): number
}
