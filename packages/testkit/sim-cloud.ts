/** A simulated cloud that creates, lists, reclaims and deletes machines. */
import { type WireFields, isWireFields, type MachineType, type Micros, SECOND } from '#wire';
import type { Sender } from './role-history.js';
import type { MachineFacts } from './invariants.js';
import type { MachineCapacity } from './sim-cluster-options.js';
import type { SimulationClock } from './sim-clock.js';
import type { Handler, SimResponse } from './sim-net.js';

/** A machine of the simulated cloud. A died machine is listed as running until the cloud notices that it failed. */
export interface CloudHost extends MachineFacts {
  state: 'starting' | 'running' | 'died' | 'failed';
  createdAt: Micros;
}

/** The machine list at one moment; list requests are answered from an older one. */
interface ListSnapshot {
  at: Micros;
  rows: WireFields[];
}

/** Returns the sender of a request, which the simulated cluster adds to the fields of the protocol. */
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

/** Capacity and timing of the simulated cloud, and its callbacks. */
export interface SimCloudOptions {
  readonly clock: SimulationClock;
  readonly random: () => number;
  readonly types: readonly MachineType[];
  readonly capacity: MachineCapacity;
  /** Age of the machine list in a response. */
  readonly listLag: Micros;
  /** Called when a machine has booted, to start its worker. */
  readonly boot: (host: CloudHost) => void;
  /** Called when a machine has stopped or is deleted, to end its worker. */
  readonly destroy: (host: CloudHost) => void;
}

/** The simulated cloud. */
export class SimCloud {
  /** All machines that are not deleted or reclaimed. Keyed by host. */
  readonly hosts = new Map<string, CloudHost>();
  /** True while every request is answered with 503. */
  isUnavailable = false;
  /** Share of scale-out and deletion requests that get no response and are executed after a random delay. */
  lateRequestRate = 0;
  /** Longest delay of such a request. */
  maxRequestDelay: Micros = 60 * SECOND;
  /** Share of machines that take 6 times as long to boot. */
  slowBootRate = 0;
  /** Called when a scale-out request first creates machines; repeating it with the same request id is idempotent. */
  onScaleOut: (requestId: string, sender: Sender) => void = () => undefined;
  /** Called for each machine that is deleted by request. */
  onDeletion: (host: CloudHost, sender: Sender) => void = () => undefined;
  /** Hosts that each scale-out request created. Keyed by request id. */
  private readonly hostsByRequest = new Map<string, string[]>();
  private snapshots: ListSnapshot[] = [];
  private createdCount = 0;

  constructor(private readonly options: SimCloudOptions) {
    this.takeSnapshot();
  }

  /** Number of machines rented so far, including those that are gone. */
  get rentedCount(): number {
    return this.createdCount;
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

  /** Stops a machine and all tasks on it. The machine list shows it as running for another 30 s or more. */
  crash(host: CloudHost): void {
    this.options.destroy(host);
    host.state = 'died';
    this.options.clock.at(30 * SECOND, () => {
      if (this.hosts.has(host.host)) host.state = 'failed';
    });
  }

  /** Reclaims a machine: it stops with all tasks on it and is deleted. */
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
    const existingCount = [...this.hosts.values()].filter(
      (h) => h.machineType === facts.machineType && h.zone === facts.zone && h.spot === facts.spot,
    ).length;
    const newHostCount = Math.min(Number(body['Number']), this.options.capacity(facts) - existingCount);
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
