/** The error of a request to the key-value store. */

/**
 * A failed request to the store. The request exceeds the store's limits, the store has an outage or has lost state, or
 * there was no answer. In the last case the status is 0 and `cause` is the error of the connection.
 */
export class StoreError extends Error {
  constructor(
    /** The HTTP status of the answer, or 0 if there was no answer. */
    readonly status: number,
    options?: ErrorOptions,
  ) {
    super(status === 0 ? 'state service: no response' : `state service: ${status}`, options);
  }
}
