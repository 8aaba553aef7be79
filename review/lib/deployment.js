// A small deployment on loopback: controllers as processes, by the commands of the deploy file, and stand-ins.
import { spawn } from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  openSync,
  closeSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.js';
import { createClient, freePort, sleep } from './http.js';
import { Proxy } from './proxy.js';
import { StateService } from './state.js';
import { Worker } from './worker.js';

export const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** Returns the program and arguments of `run` in the deploy file; the settings file follows them. */
function runCommand() {
  const text = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(/\s+/);
}

export class Deployment {
  nodes = [];
  workers = new Map();
  jobs = new Map();
  ended = [];
  #client = createClient();
  #startedAt = Date.now();

  /** `site`: the deployment; `folder`: where record.txt is written. */
  constructor(site, folder) {
    this.site = site;
    this.log = createWriteStream(join(folder, 'record.txt'));
    this.temp = mkdtempSync(join(tmpdir(), 'review-'));
    this.events = [];
  }

  get t() {
    return (Date.now() - this.#startedAt) / 1000;
  }

  record = (event, fields = {}) => {
    const entry = { t: Math.round(this.t * 1000) / 1000, event, ...fields };
    this.events.push(entry);
    this.log.write(`${JSON.stringify(entry)}\n`);
    return entry;
  };

  async start() {
    const { site } = this;
    this.state = new StateService(site.state);
    // What the controllers write to their logs is noted too, so that a record explains itself.
    this.state.onCommit = (writes) => {
      for (const { Set: key, V } of writes) {
        if (key?.startsWith('mw/now/log/')) this.record('log', { key: key.slice(11), ...withoutPrices(V) });
        else if (key === 'mw/now/token') this.record('token', V);
      }
    };
    this.cloud = new Cloud({
      types: site.types,
      capacity: site.capacity,
      rps: site.cloud.rps,
      listLagMs: site.cloud.listLagS * 1000,
      bootMs: site.bootMs,
      record: this.record,
      onUp: (host) => this.#up(host),
      onGone: (host) => {
        this.workers.get(host.name)?.destroy();
        this.workers.delete(host.name);
      },
    });
    const cloudAddress = await this.cloud.listen();
    for (const [i, domain] of site.nodeZones.entries()) {
      this.nodes.push({
        member: `hive-${i}`,
        domain,
        bind: `127.0.0.1:${await freePort()}`,
        peerAddress: `127.0.0.1:${await freePort()}`,
        state: await this.state.listen(`hive-${i}`),
        proxies: new Map(),
      });
    }
    for (const from of this.nodes) {
      for (const to of this.nodes) {
        if (from === to) continue;
        const proxy = new Proxy(to.peerAddress);
        from.proxies.set(to.member, { proxy, address: await proxy.listen() });
      }
    }
    for (const node of this.nodes) {
      node.config = join(this.temp, `${node.member}.toml`);
      writeFileSync(node.config, this.#settings(node, cloudAddress));
      this.startNode(node);
    }
  }

  #up(host) {
    const type = this.site.types.find(({ Sku }) => Sku === host.type);
    const worker = new Worker({
      host,
      type,
      nodes: this.nodes.map(({ member, bind }) => ({ member, address: bind })),
      findJob: (id) => this.jobs.get(id),
      limits: { reportMs: this.site.workers.reportS * 1000, leaseMs: this.site.workers.leaseS * 1000 },
      reaches: (member) => this.reaches?.(host, member) ?? true,
      fetchMs: this.site.fetchMs,
      firstNode: this.workers.size,
      record: this.record,
    });
    this.workers.set(host.name, worker);
    this.onWorker?.(worker);
  }

  startNode(node) {
    const [program, ...args] = runCommand();
    const stderr = openSync(join(this.temp, `${node.member}.log`), 'a');
    const env = { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' };
    const child = spawn(program, [...args, node.config], {
      cwd: ROOT,
      env,
      stdio: ['ignore', 'ignore', stderr],
    });
    closeSync(stderr);
    node.child = child;
    node.isExpectedToEnd = false;
    this.record('node started', { member: node.member });
    child.once('exit', (code, signal) => {
      const byItself = !node.isExpectedToEnd;
      this.record('node ended', { member: node.member, code, signal, byItself });
      if (!byItself) return;
      this.ended.push({ member: node.member, code, signal, t: this.t });
      // The platform starts a process that ended again, after the time that the brief names.
      if (!this.isClosing)
        setTimeout(() => this.isClosing || this.startNode(node), this.site.backAfterS * 1000);
    });
  }

  killNode(node) {
    node.isExpectedToEnd = true;
    return new Promise((resolve) => {
      node.child.once('exit', resolve);
      node.child.kill('SIGKILL');
    });
  }

  #settings(node, cloudAddress) {
    const { site } = this;
    const peers = this.nodes.filter((other) => other !== node);
    const text = (value) => JSON.stringify(value);
    const decimal = (value) => (Number.isInteger(value) ? `${value}.0` : String(value));
    const table = (fields) => Object.entries(fields).map(([key, value]) => `${key} = ${value}`);
    return [
      `member = ${text(node.member)}`,
      `domain = ${text(node.domain)}`,
      `bind = ${text(node.bind)}`,
      `cluster_listen = ${text(node.peerAddress)}`,
      ...peers.flatMap(({ member, domain }) => [
        '[[peers]]',
        `member = ${text(member)}`,
        `domain = ${text(domain)}`,
        `endpoint = ${text(node.proxies.get(member).address)}`,
      ]),
      '[endpoints]',
      `cloud = ${text(cloudAddress)}`,
      `state = ${text(node.state)}`,
      '[facts]',
      `initial_size = ${this.nodes.length}`,
      `zones = ${text(site.zones)}`,
      'time_bound_ms = 25.0',
      ...site.teams.flatMap(({ name, cpus, cpusMax }) => [
        '[[facts.teams]]',
        ...table({
          name: text(name),
          cpus: decimal(cpus),
          cpus_max: decimal(cpusMax),
          gpus: '0.0',
          gpus_max: '0.0',
        }),
      ]),
      ...(site.objectives ?? []).flatMap((objective) => ['[[facts.objectives]]', ...table(objective)]),
      '[facts.workers]',
      ...table({
        report_s: decimal(site.workers.reportS),
        lease_s: decimal(site.workers.leaseS),
        gang_wait_s: '50.0',
        gang_peer_s: '5.0',
        cancel_s: decimal(site.workers.cancelS),
      }),
      '[facts.state]',
      ...table({
        rps: decimal(site.state.rps),
        write_rps: decimal(site.state.writeRps),
        value_kb: decimal(site.state.valueKb),
        txn_ops: site.state.txnOps,
      }),
      '[facts.cloud]',
      ...table({ rps: decimal(site.cloud.rps), list_lag_s: decimal(site.cloud.listLagS) }),
      '[facts.machine_limits]',
      ...table({ cpu: site.machine.cpu, mem_mb: decimal(site.machine.memMb), sockets: site.machine.sockets }),
      '',
    ].join('\n');
  }

  /** The node that leads according to the state service. */
  get leader() {
    const member = this.state.rows.get('mw/now/lead')?.value.Member;
    return this.nodes.find((node) => node.member === member);
  }

  /** Waits until the condition holds; resolves with its value, or with null after the time. */
  async until(condition, seconds) {
    for (const end = Date.now() + seconds * 1000; Date.now() < end; await sleep(50)) {
      const value = await condition();
      if (value) return value;
    }
    return null;
  }

  /** Sends one request of a user to a node and records it. */
  async ask(node, method, path, body, timeoutMs = 2000) {
    const sentAt = this.t;
    const { status, body: answer } = await this.#client(node.bind, method, path, body, timeoutMs);
    this.record('asked', {
      node: node.member,
      request: `${method} ${path}`,
      sent: Math.round(sentAt * 1000) / 1000,
      status,
      answer: answer.Status,
      done: answer.done,
    });
    return { status, answer };
  }

  /** A user submits a job: tries node after node until it is accepted, for up to 60 s, as the page says. */
  async submit(spec) {
    this.jobs.set(spec.Uid, spec);
    const body = Object.fromEntries(Object.entries(spec).filter(([key]) => /^[A-Z]/.test(key)));
    for (let i = 0, end = Date.now() + 60_000; Date.now() < end; i++) {
      const node = this.nodes[i % this.nodes.length];
      const { status, answer } = await this.ask(node, 'POST', '/submissions', body, 5000);
      if ([200, 201].includes(status)) return true;
      if ([400, 422].includes(status)) throw new Error(`refused: ${status} ${JSON.stringify(answer)}`);
      await sleep(1000);
    }
    return false;
  }

  async withdraw(id) {
    for (let i = 0, end = Date.now() + 60_000; Date.now() < end; i++) {
      const { status, answer } = await this.ask(
        this.nodes[i % this.nodes.length],
        'POST',
        `/submissions/${id}/withdraw`,
        undefined,
        5000,
      );
      if (status === 200) return answer.Status;
      await sleep(1000);
    }
    return null;
  }

  nodeLog(node) {
    return readFileSync(join(this.temp, `${node.member}.log`), 'utf8');
  }

  /** Ends all processes and stand-ins of the deployment. */
  async close() {
    this.isClosing = true;
    for (const node of this.nodes) {
      if (!node.child || node.child.exitCode !== null || node.child.signalCode !== null) continue;
      await this.killNode(node);
    }
    for (const worker of this.workers.values()) worker.destroy();
    for (const node of this.nodes) for (const { proxy } of node.proxies.values()) proxy.close();
    this.state.close();
    this.cloud.close();
    this.#client.close();
    if (process.env.KEEP_LOGS) process.stderr.write(`logs in ${this.temp}\n`);
    else rmSync(this.temp, { recursive: true, force: true });
    await new Promise((resolve) => this.log.end(resolve));
  }
}

function withoutPrices({ prices, unmet, ...rest }) {
  return { ...rest, ...(prices ? { prices: '...' } : {}), ...(unmet ? { unmet } : {}) };
}

/** A job of the protocol's form with plain values, changed by `fields`. */
export function job(Uid, fields) {
  return {
    Uid,
    Lane: 'work',
    Crew: 'pricing',
    Shape: 'array',
    Rank: 'normal',
    Pieces: 1,
    Cpus: 2,
    Gpus: 0,
    MemGb: 7.1,
    Bundle: 'img-1',
    SizeGb: 1,
    Builds: null,
    Hall: null,
    SamePlace: false,
    Scatter: false,
    Loaners: true,
    ExpectS: 30,
    BookmarkS: 0,
    StashS: 0,
    DueS: null,
    runMs: () => 30_000,
    ...fields,
  };
}
