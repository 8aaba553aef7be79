/** The interface between the HTTP layer and a node. */

/** The response to a user or a worker, before it is encoded. */
export interface ServiceResponse {
  /** HTTP status. */
  readonly status: number;
  readonly body: object;
  /** Value of the `Retry-After` header, in seconds; no header if undefined. */
  readonly retryAfterS?: number;
  /** True if the response closes the connection, so that the client opens another for its next request. */
  readonly closesConnection?: boolean;
}

/** The operations of the protocol. Bodies are decoded MessagePack maps whose fields have not been validated. */
export interface NodeService {
  submitJob(body: unknown): Promise<ServiceResponse>;
  getJob(id: string): Promise<ServiceResponse>;
  cancelJob(id: string): Promise<ServiceResponse>;
  heartbeat(body: unknown): Promise<ServiceResponse>;
  health(): ServiceResponse;
}
