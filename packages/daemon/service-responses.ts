/** Responses shared by several request handlers of a node. */
import type { ServiceResponse } from '#api';

/** Seconds after which a client should retry a request that this node can't serve now. */
const RETRY_AFTER_S = 1;

/**
 * The response while this node can't reach the state service. Another node may reach it, so the connection is closed:
 * the load balancer then chooses a node again.
 */
export const STORE_UNREACHABLE: ServiceResponse = {
  status: 503,
  body: { error: 'state not reachable' },
  retryAfterS: RETRY_AFTER_S,
  closesConnection: true,
};

/** Returns a 503 response with this error text. The client may retry on the same connection. */
export function unavailable(error: string): ServiceResponse {
  return { status: 503, body: { error }, retryAfterS: RETRY_AFTER_S };
}
