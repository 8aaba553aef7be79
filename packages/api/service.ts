/** What the HTTP interface needs of a node. */

/** The answer to a user or a worker, before it is encoded. */
export interface ServiceResponse {
  /** HTTP status. */
  readonly status: number;
  readonly body: object;
  /** Seconds after which the client should try again. */
  readonly retryAfterS?: number;
  /** The client should use a new connection for its next request. */
  readonly closesConnection?: boolean;
}

/** The operations that the protocol offers. Bodies are decoded maps whose fields have not been checked. */
export interface NodeService {
  submitJob(body: unknown): Promise<ServiceResponse>;
  getJob(id: string): Promise<ServiceResponse>;
  cancelJob(id: string): Promise<ServiceResponse>;
  heartbeat(body: unknown): Promise<ServiceResponse>;
  health(): ServiceResponse;
}
