/** The error of a request to the key-value store. */

/** An answer that isn't the one asked for: over the limits, an outage, or none at all (status 0). */
export class StoreError extends Error {
  constructor(
    /** HTTP status of the answer; 0 if there was none. */
    readonly status: number,
    options?: ErrorOptions,
  ) {
    super(status === 0 ? 'state service: no response' : `state service: ${status}`, options);
  }
}
