/** The error of a request to the key-value store. */

/** A request that failed: it exceeds the limits, the store has an outage, or no answer came (status 0, with its cause). */
export class StoreError extends Error {
  constructor(
    /** HTTP status of the answer; 0 if there was none. */
    readonly status: number,
    options?: ErrorOptions,
  ) {
    super(status === 0 ? 'state service: no response' : `state service: ${status}`, options);
  }
}
