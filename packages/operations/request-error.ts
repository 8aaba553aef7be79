/** The error for rejected requests of operators. */

/** Rejects a request. The message is sent to the operator and says what to correct. */
export class OperatorRequestError extends Error {
  override readonly name = 'OperatorRequestError';

  constructor(
    /** Status of the HTTP response. */
    readonly status: number,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
