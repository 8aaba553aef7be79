/** The error of operators' requests that are rejected. */

/** Rejects a request with this status; the message says what to do about it. */
export class OperatorRequestError extends Error {
  override readonly name = 'OperatorRequestError';

  constructor(
    /** The status of the HTTP response. */
    readonly status: number,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
