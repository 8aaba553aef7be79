import {
  type Caller,
  type ListedMachine,
  isFields,
  type MachineType,
  type Micros,
  type RentalRequest,
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
      name: String(b['Sku']),
      cpus: Number(b['Cpus']),
      gpus: Number(b['Gpus']),
      memGb: Number(b['MemGb']),
      cacheGb: Number(b['CacheGb']),
      fetchGbPerS: Number(b['FetchGbPerS']),
      price: Number(b['Price']),
      spotPrice: Number(b['LowPrice']),
      bootS: Number(b['BootS']),
      zones: Array.isArray(b['Halls']) ? b['Halls'].map(String) : [],
    }));
  }

  async rent({ id, machineType, zone, spot, count }: RentalRequest): Promise<RentResult> {
    const body = { Hire: id, Build: machineType, Hall: zone, Loaners: spot, Number: count };
    const reply = await this.call(this.endpoint, 'POST', '/rentals', body, TIMEOUT).catch(() => null);
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
  async machines(): Promise<ListedMachine[] | null> {
    const rows: ListedMachine[] = [];
    for (let after = ''; ;) {
      const path = `/rentals?${after === '' ? '' : `After=${after}&`}Limit=500`;
      const reply = await this.call(this.endpoint, 'GET', path, undefined, TIMEOUT).catch(() => null);
      if (reply?.status !== 200 || !Array.isArray(reply.body['Hosts'])) return null;
      for (const h of reply.body['Hosts'].filter(isFields)) {
        rows.push({
          host: String(h['Uid']),
          address: String(h['Endpoint']),
          machineType: String(h['Build']),
          zone: String(h['Hall']),
          spot: h['Loaners'] === true,
          state: h['Status'] as ListedMachine['state'],
          ageS: Number(h['AgeS']),
        });
      }
      const last = rows.at(-1);
      if (reply.body['More'] !== true || !last) return rows;
      after = last.host;
    }
  }
}
