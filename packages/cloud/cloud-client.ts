/** The client of the cloud provider. */
import {
  type HttpClient,
  type ListedMachine,
  type MachineType,
  type HttpMethod,
  type Micros,
  type ScaleOutRequest,
  type HttpReply,
  SECOND,
} from '#wire';
import {
  decodeMachines,
  decodeMachineTypes,
  decodeNewHosts,
  encodeDeleteRequest,
  encodeScaleOutRequest,
} from './wire-format.js';

/**
 * The result of a scale-out request. `rented`: the hosts are starting. `no_capacity`: the cloud currently has no such
 * machines. `failed`: the cloud rejected the request for another reason. `unknown`: there is no response, so the
 * request may have been executed or may still be.
 */
export type ScaleOutResult =
  | { readonly kind: 'rented'; readonly hosts: readonly string[] }
  | { readonly kind: 'no_capacity' }
  | { readonly kind: 'failed' }
  | { readonly kind: 'unknown' };

const REQUEST_TIMEOUT: Micros = 4 * SECOND;
const MAX_MACHINES_PER_PAGE = 500;
/** The maximum number of machines that one request may delete. */
export const MAX_MACHINES_PER_DELETE = 100;
/** The maximum number of machines in one scale-out request. */
export const MAX_MACHINES_PER_REQUEST = 50;

/** The client of the cloud. Its methods never reject: the results show missing and unexpected responses. */
export class CloudClient {
  constructor(
    private readonly endpoint: string,
    private readonly httpClient: HttpClient,
  ) {}

  /** Returns all machine types that the cloud offers, or null if they could not be read. */
  async listMachineTypes(): Promise<MachineType[] | null> {
    const reply = await this.send('GET', '/machine_types');
    return reply?.status === 200 ? decodeMachineTypes(reply.body) : null;
  }

  /** Requests machines. The request is idempotent: the cloud recognizes a repeated request by its id. */
  async requestMachines(request: ScaleOutRequest): Promise<ScaleOutResult> {
    const reply = await this.send('POST', '/rentals', encodeScaleOutRequest(request));
    if (!reply) return { kind: 'unknown' };
    const hosts = reply.status === 200 ? decodeNewHosts(reply.body) : null;
    if (hosts) return { kind: 'rented', hosts };
    if (reply.status === 503 && reply.body['error'] === 'no capacity') return { kind: 'no_capacity' };
    return { kind: 'failed' };
  }

  /** Deletes machines. Returns true if the cloud confirms that the machines and all tasks on them are gone. */
  async deleteMachines(hosts: readonly string[]): Promise<boolean> {
    const reply = await this.send('POST', '/rentals/delete', encodeDeleteRequest(hosts));
    return reply?.status === 200;
  }

  /** Returns all machines that the cloud lists, or null if the list could not be read completely. */
  async listMachines(): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    for (let after = ''; ;) {
      const reply = await this.send(
        'GET',
        `/rentals?${after === '' ? '' : `After=${after}&`}Limit=${MAX_MACHINES_PER_PAGE}`,
      );
      const page = reply?.status === 200 ? decodeMachines(reply.body) : null;
      if (!reply || !page) return null;
      machines.push(...page);
      const last = machines.at(-1);
      if (reply.body['More'] !== true || !last) return machines;
      after = last.host;
    }
  }

  /** Sends a request. Returns its response, or null if there was none in time. */
  private async send(method: HttpMethod, path: string, body?: unknown): Promise<HttpReply | null> {
    try {
      return await this.httpClient(this.endpoint, method, path, body, REQUEST_TIMEOUT);
    } catch {
      return null;
    }
  }
}
