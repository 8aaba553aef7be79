/** A node as a real process on loopback, which trials start, suspend, resume, kill and start again. */
import { type ChildProcess, spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { freePort } from './loopback-server.js';

const MAIN = fileURLToPath(new URL('../daemon/main.js', import.meta.url));
const ZONES = ['east', 'west'];

/** Name, zone and addresses of a node. */
export interface NodeAddresses {
  member: string;
  zone: string;
  users: string;
  peers: string;
  operators: string;
}

/** Chooses free ports for the node with this index. */
export async function chooseAddresses(index: number): Promise<NodeAddresses> {
  const address = async (): Promise<string> => `127.0.0.1:${await freePort()}`;
  return {
    member: `node-${index}`,
    zone: ZONES[index % ZONES.length] ?? '',
    users: await address(),
    peers: await address(),
    operators: await address(),
  };
}

/** Returns the platform settings of one node as TOML. Heartbeat intervals and leases are shorter than any real ones. */
function platformSettings(
  self: NodeAddresses,
  all: readonly NodeAddresses[],
  services: ServiceAddresses,
): string {
  const peers = all
    .filter((other) => other !== self)
    .flatMap((peer) => [
      '[[peers]]',
      `member = "${peer.member}"`,
      `domain = "${peer.zone}"`,
      `endpoint = "${peer.peers}"`,
    ]);
  const teams = ['blue', 'green', 'red'].flatMap((team) => [
    '[[facts.teams]]',
    `name = "${team}"`,
    'cpus = 8.0',
    'cpus_max = 24.0',
    'gpus = 0.0',
    'gpus_max = 0.0',
  ]);
  return [
    `member = "${self.member}"`,
    `domain = "${self.zone}"`,
    `bind = "${self.users}"`,
    `cluster_listen = "${self.peers}"`,
    ...peers,
    '[endpoints]',
    `cloud = "${services.cloud}"`,
    `state = "${services.state}"`,
    '[facts]',
    `initial_size = ${all.length}`,
    `zones = ["${ZONES.join('", "')}"]`,
    ...teams,
    '[facts.workers]',
    'report_s = 1.0',
    'lease_s = 6.0',
    'cancel_s = 20.0',
    '[facts.state]',
    'rps = 200.0',
    'write_rps = 80.0',
    'value_kb = 4.0',
    'txn_ops = 8',
    '[facts.cloud]',
    'rps = 20.0',
    'list_lag_s = 1.0',
    '[facts.machine_limits]',
    'cpu = 1.0',
    'mem_mb = 300.0',
    'sockets = 500',
    '',
  ].join('\n');
}

/** Addresses of the simulated services. */
export interface ServiceAddresses {
  state: string;
  cloud: string;
}

/** A node's process on loopback. */
export class LoopbackNode {
  /** True while the process is suspended. */
  isSuspended = false;
  private child: ChildProcess | null = null;
  private readonly args: string[];

  constructor(
    readonly addresses: NodeAddresses,
    all: readonly NodeAddresses[],
    services: ServiceAddresses,
    folder: string,
  ) {
    const config = join(folder, `${addresses.member}.toml`);
    const operator = join(folder, `${addresses.member}.xml`);
    writeFileSync(config, platformSettings(addresses, all, services));
    const listen = `<listen>${addresses.operators}</listen>`;
    const handOverOnStop = '<handOverOnStop>true</handOverOnStop>';
    const recovery = '<recovery><noticeLoss>true</noticeLoss></recovery>';
    const operations = `<operations>${listen}${handOverOnStop}</operations>`;
    writeFileSync(operator, `<micaworks>${operations}${recovery}</micaworks>`);
    this.args = [MAIN, '--config', config, '--operator', operator];
  }

  /** True if the process runs or is suspended. */
  get isUp(): boolean {
    return this.child !== null;
  }

  get processId(): number | undefined {
    return this.child?.pid;
  }

  /** Starts the process unless it is up. */
  start(): void {
    if (this.child) return;
    const env = { ...process.env, LOG_LEVEL: 'error' };
    const child = spawn(process.execPath, this.args, { env, stdio: ['ignore', 'ignore', 'inherit'] });
    this.child = child;
    child.once('exit', () => {
      if (this.child === child) this.child = null;
    });
  }

  /** Suspends the process with SIGSTOP. */
  suspend(): void {
    this.isSuspended = this.child?.kill('SIGSTOP') ?? false;
  }

  /** Resumes the suspended process. */
  resume(): void {
    this.child?.kill('SIGCONT');
    this.isSuspended = false;
  }

  /** Ends the process with SIGTERM, as a planned stop does; resolves with its exit code. */
  stopGracefully(): Promise<number | null> {
    const { child } = this;
    this.child = null;
    return new Promise((resolve) => {
      child?.once('exit', resolve);
      child?.kill('SIGTERM');
    });
  }

  /** Ends the process with SIGKILL, whether it runs or is suspended. */
  kill(): void {
    const { child } = this;
    this.child = null;
    this.isSuspended = false;
    child?.kill('SIGKILL');
  }
}
