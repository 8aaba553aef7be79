/** A simulated cloud that creates, lists, reclaims and deletes machines. */
import { type WireFields, isWireFields, type MachineType, type Micros, SECOND } from '#wire';
import type { Sender } from './role-history.js';
import type { MachineFacts } from './invariants.js';
import type { SimulationClock } from './sim-clock.js';
import type { Handler, SimResponse } from './sim-net.js';

/** A machine of the simulated cloud. */
export interface CloudHost extends MachineFacts {
  state: 'starting' | 'running' | 'died' | 'failed';
  createdAt: Micros;
}

interface ListSnapshot {
  at: Micros;
  rows: WireFields[];
}

/** Who sent a request, as the simulated cluster notes it beside the protocol's own fields. */
function senderOf(body: WireFields): Sender {
  const term = body['SenderTerm'];
  return {
    term: typeof term === 'number' ? term : null,
    runsProductionVersion: body['SenderIsOld'] === true,
  };
}

function encodeMachineType(type: MachineType): WireFields {
  return {
    Sku: type.name,
    Cpus: type.cpus,
    Gpus: type.gpus,
    MemGb: type.memGb,
    CacheGb: type.cacheGb,
    FetchGbPerS: type.fetchGbPerS,
    Price: type.price,
    LowPrice: type.spotPrice,
    BootS: type.bootS,
    Halls: type.zones,
  };
}

/** Stock and behaviour of the simulated cloud. */
export interface SimCloudOptions {
  readonly clock: SimulationClock;
  readonly random: () => number;
  readonly types: readonly MachineType[];
  /** How many machines there are of each machine type, zone and kind. */
  readonly capacity: number;
  /** Age of the machine list that requests are answered with. */
  readonly listLag: Micros;
  /** Starts the worker of a machine that has booted. */
  readonly boot: (host: CloudHost) => void;
  /** Ends the worker of a machine that is gone. */
  readonly destroy: (host: CloudHost) => void;
}

/** The simulated cloud. */
export class SimCloud {
  readonly hosts = new Map<string, CloudHost>();
  isUnavailable = false;
  /** Share of rental and deletion requests that get no answer and are carried out up to `lateBy` later. */
  lateRequestRate = 0;
  maxRequestDelay: Micros = 60 * SECOND;
  /** Share of machines that take several times as long to boot. */
  slowBootRate = 0;
  /** Called when machines are rented under a name for the first time, and for each machine that is deleted. */
  onScaleOut: (requestId: string, sender: Sender) => void = () => undefined;
  onDeletion: (host: CloudHost, sender: Sender) => void = () => undefined;
  private readonly hostsByRequest = new Map<string, string[]>();
  private snapshots: ListSnapshot[] = [];
  private createdCount = 0;

  constructor(private readonly options: SimCloudOptions) {
    this.takeSnapshot();
  }

  readonly handler: Handler = (_from, method, path, body) => {
    if (this.isUnavailable) return { status: 503, body: { error: 'trouble' } };
    const url = new URL(path, 'http://cloud');
    const fields = isWireFields(body) ? body : {};
    if (url.pathname === '/machine_types')
      return { status: 200, body: { Builds: this.options.types.map(encodeMachineType) } };
    if (method !== 'POST') return this.list(url.searchParams);
    const execute = (): SimResponse =>
      url.pathname === '/rentals'
        ? this.createMachines(fields)
        : this.deleteMachines(fields['Hosts'] as string[], fields);
    if (this.lateRequestRate === 0 || this.options.random() >= this.lateRequestRate) return execute();
    this.options.clock.at(this.options.random() * this.maxRequestDelay, execute);
    return new Promise(() => undefined);
  };

  /** The machine stops with all that is on it; the list shows it only later. */
  crash(host: CloudHost): void {
    this.options.destroy(host);
    host.state = 'died';
    this.options.clock.at(30 * SECOND, () => {
      if (this.hosts.has(host.host)) host.state = 'failed';
    });
  }

  /** Taken back by the cloud, with all that is on it. */
  reclaim(host: CloudHost): void {
    this.options.destroy(host);
    this.hosts.delete(host.host);
  }

  private createMachines(body: WireFields): SimResponse {
    const requestId = String(body['Hire']);
    const previousHosts = this.hostsByRequest.get(requestId);
    if (previousHosts) return { status: 200, body: { Hosts: previousHosts } };
    const facts = {
      machineType: String(body['Build']),
      zone: String(body['Hall']),
      spot: body['Loaners'] === true,
    };
    const rentedCount = [...this.hosts.values()].filter(
      (h) => h.machineType === facts.machineType && h.zone === facts.zone && h.spot === facts.spot,
    ).length;
    const newHostCount = Math.min(Number(body['Number']), this.options.capacity - rentedCount);
    if (newHostCount <= 0) return { status: 503, body: { error: 'no capacity' } };
    this.onScaleOut(requestId, senderOf(body));
    const Hosts: string[] = [];
    for (let i = 0; i < newHostCount; i++) {
      const name = `n-${String(this.createdCount++).padStart(6, '0')}`;
      const host: CloudHost = { host: name, ...facts, state: 'starting', createdAt: this.options.clock.time };
      this.hosts.set(name, host);
      Hosts.push(name);
      const failsToBoot = this.options.random() < 0.05;
      const bootTime = (this.options.types.find((t) => t.name === facts.machineType)?.bootS ?? 10) * SECOND;
      if (failsToBoot) continue;
      const slowdownFactor = this.slowBootRate > 0 && this.options.random() < this.slowBootRate ? 6 : 1;
      this.options.clock.at(slowdownFactor * bootTime * (0.6 + this.options.random() * 0.9), () => {
        if (this.hosts.get(name) !== host) return;
        host.state = 'running';
        this.options.boot(host);
      });
    }
    this.hostsByRequest.set(requestId, Hosts);
    return { status: 200, body: { Hosts } };
  }

  private deleteMachines(names: string[], body: WireFields): SimResponse {
    for (const name of names) {
      const host = this.hosts.get(name);
      if (!host) continue;
      this.onDeletion(host, senderOf(body));
      this.options.destroy(host);
      this.hosts.delete(name);
    }
    return { status: 200, body: {} };
  }

  private list(query: URLSearchParams): SimResponse {
    const lag = this.options.listLag * (1 + (this.options.random() < 0.1 ? 1 : 0));
    const snapshot = this.snapshots.filter((s) => s.at <= this.options.clock.time - lag).at(-1);
    const after = query.get('After') ?? '';
    const rows = (snapshot?.rows ?? []).filter((r) => String(r['Uid']) > after);
    const limit = Number(query.get('Limit') ?? 500);
    return { status: 200, body: { Hosts: rows.slice(0, limit), More: rows.length > limit } };
  }

  private takeSnapshot(): void {
    const rows = [...this.hosts.values()].map((h) => ({
      Uid: h.host,
      Endpoint: '',
      Build: h.machineType,
      Hall: h.zone,
      Loaners: h.spot,
      Status: h.state === 'died' ? 'running' : h.state,
      AgeS: (this.options.clock.time - h.createdAt) / SECOND,
    }));
    this.snapshots.push({ at: this.options.clock.time, rows });
    this.snapshots = this.snapshots.filter(
      (s) => s.at > this.options.clock.time - 4 * this.options.listLag - 5 * SECOND,
    );
    this.options.clock.at(SECOND, () => {
      this.takeSnapshot();
    });
  }
}
