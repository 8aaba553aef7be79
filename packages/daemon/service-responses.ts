/** Responses that several handlers of a node give. */
import type { ServiceResponse } from '#api';

/** Delay before a client should retry a request that this node can't serve now. */
const RETRY_AFTER_S = 1;

/**
 * The response while the state service can't be reached. Another node may reach it: closing the connection lets the
 * load balancer choose again.
 */
export const STORE_UNREACHABLE: ServiceResponse = {
  status: 503,
  body: { error: 'state not reachable' },
  retryAfterS: RETRY_AFTER_S,
  closesConnection: true,
};

/** A 503 response with this error text, to be retried on the same connection. */
export function unavailable(error: string): ServiceResponse {
  return { status: 503, body: { error }, retryAfterS: RETRY_AFTER_S };
}
