import {
  type Caller,
  type HostRow,
  isFields,
  type MachineType,
  type Micros,
  type Rental,
  SECOND,
} from '#wire';

/** What became of a rental request. `unknown`: it may have been carried out, or may yet be. */
export type RentResult =
  { kind: 'rented'; hosts: string[] } | { kind: 'no_capacity' } | { kind: 'failed' } | { kind: 'unknown' };

const TIMEOUT: Micros = 4 * SECOND;
export const MAX_DELETE = 100;
export const MAX_RENT = 50;

export class CloudClient {
  constructor(
    private readonly endpoint: string,
    private readonly call: Caller,
  ) {}

  async machineTypes(): Promise<MachineType[] | null> {
    const reply = await this.call(this.endpoint, 'GET', '/machine_types', undefined, TIMEOUT).catch(
      () => null,
    );
    if (reply?.status !== 200 || !Array.isArray(reply.body['Builds'])) return null;
    return reply.body['Builds'].filter(isFields).map((b) => ({
      Sku: String(b['Sku']),
      Cpus: Number(b['Cpus']),
      Gpus: Number(b['Gpus']),
      MemGb: Number(b['MemGb']),
      CacheGb: Number(b['CacheGb']),
      FetchGbPerS: Number(b['FetchGbPerS']),
      Price: Number(b['Price']),
      LowPrice: Number(b['LowPrice']),
      BootS: Number(b['BootS']),
      Halls: Array.isArray(b['Halls']) ? b['Halls'].map(String) : [],
    }));
  }

  async rent(rental: Rental): Promise<RentResult> {
    const reply = await this.call(this.endpoint, 'POST', '/rentals', rental, TIMEOUT).catch(() => null);
    if (!reply) return { kind: 'unknown' };
    if (reply.status === 200 && Array.isArray(reply.body['Hosts'])) {
      return { kind: 'rented', hosts: reply.body['Hosts'].map(String) };
    }
    if (reply.status === 503 && reply.body['error'] === 'no capacity') return { kind: 'no_capacity' };
    return { kind: 'failed' };
  }

  /** True: the machines and everything on them are gone. */
  async delete(hosts: string[]): Promise<boolean> {
    const body = { Hosts: hosts };
    const reply = await this.call(this.endpoint, 'POST', '/rentals/delete', body, TIMEOUT).catch(() => null);
    return reply?.status === 200;
  }

  /** Every machine the cloud lists at the moment, or null if the list could not be read whole. */
  async machines(): Promise<HostRow[] | null> {
    const rows: HostRow[] = [];
    for (let after = ''; ;) {
      const path = `/rentals?${after === '' ? '' : `After=${after}&`}Limit=500`;
      const reply = await this.call(this.endpoint, 'GET', path, undefined, TIMEOUT).catch(() => null);
      if (reply?.status !== 200 || !Array.isArray(reply.body['Hosts'])) return null;
      for (const h of reply.body['Hosts'].filter(isFields)) {
        rows.push({
          Uid: String(h['Uid']),
          Endpoint: String(h['Endpoint']),
          Build: String(h['Build']),
          Hall: String(h['Hall']),
          Loaners: h['Loaners'] === true,
          Status: h['Status'] as HostRow['Status'],
          AgeS: Number(h['AgeS']),
        });
      }
      const last = rows.at(-1);
      if (reply.body['More'] !== true || !last) return rows;
      after = last.Uid;
    }
  }
}
