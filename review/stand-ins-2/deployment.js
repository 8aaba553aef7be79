/**
 * A small deployment on loopback: three controllers, started with the `run` command of the deploy file, and stand-ins
 * for the state service, the cloud, the workers and the users.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.js';
import { client, pause } from './http.js';
import { Store } from './store.js';
import { Worker } from './worker.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

async function freeAddress() {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}

/** The words of `run` in the deploy file. */
function runCommand() {
  const line = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8'));
  const [program, ...args] = line[1].split(' ');
  return { program: program === 'node' ? process.execPath : program, args };
}

/** A submission with the fields of the page; `change` overrides some. */
export function submission(Uid, change = {}) {
  return {
    Uid,
    Lane: 'slot-plan',
    Crew: 'dispatch',
    Shape: 'array',
    Rank: 'normal',
    Pieces: 1,
    Cpus: 4,
    Gpus: 0,
    MemGb: 15,
    Bundle: 'img-01',
    SizeGb: 2,
    Builds: null,
    Hall: null,
    SamePlace: false,
    Scatter: false,
    Loaners: true,
    ExpectS: 40,
    BookmarkS: 0,
    StashS: 0,
    DueS: null,
    ...change,
  };
}

/** The settings of the small deployment Panier Breizh in BRIEF-micaworks.md; `change` overrides some. */
export function panierBreizh(change = {}) {
  return {
    members: [
      { member: 'hive-0', domain: 'brest' },
      { member: 'hive-1', domain: 'rennes' },
      { member: 'hive-2', domain: 'brest' },
    ],
    zones: ['brest', 'rennes'],
    teams: [{ name: 'dispatch', cpus: 16, cpus_max: 56, gpus: 0, gpus_max: 0 }],
    reportS: 1.5,
    leaseS: 10,
    cancelS: 35,
    gangWaitS: 45,
    state: { rps: 100, write_rps: 30, value_kb: 16, txn_ops: 24 },
    cloud: { rps: 3, listLagS: 10 },
    sockets: 900,
    types: [
      {
        Sku: 'menhir-4',
        Cpus: 4,
        Gpus: 0,
        MemGb: 16,
        CacheGb: 80,
        FetchGbPerS: 0.25,
        Price: 0.23,
        LowPrice: 0.06,
        BootS: 30,
        Halls: ['brest', 'rennes'],
      },
    ],
    capacity: () => 24,
    bootS: () => 2,
    fetchS: () => 1,
    runS: () => 5,
    ...change,
  };
}

function settingsFile(self, all, state, cloud, options) {
  const lines = [
    `member = "${self.member}"`,
    `domain = "${self.domain}"`,
    `bind = "${self.bind}"`,
    `cluster_listen = "${self.peer}"`,
  ];
  for (const other of all) {
    if (other === self) continue;
    const endpoint = self.linksTo?.[other.member] ?? other.peer;
    lines.push(
      '[[peers]]',
      `member = "${other.member}"`,
      `domain = "${other.domain}"`,
      `endpoint = "${endpoint}"`,
    );
  }
  lines.push('[endpoints]', `cloud = "${cloud}"`, `state = "${state}"`);
  lines.push(
    '[facts]',
    `initial_size = ${all.length}`,
    `zones = ${JSON.stringify(options.zones)}`,
    'time_bound_ms = 25.0',
  );
  for (const team of options.teams) {
    lines.push('[[facts.teams]]', `name = "${team.name}"`);
    for (const field of ['cpus', 'cpus_max', 'gpus', 'gpus_max'])
      lines.push(`${field} = ${team[field].toFixed(1)}`);
  }
  for (const objective of options.objectives ?? []) {
    lines.push('[[facts.objectives]]');
    for (const [field, value] of Object.entries(objective)) lines.push(`${field} = ${JSON.stringify(value)}`);
  }
  lines.push(
    '[facts.workers]',
    `report_s = ${options.reportS}`,
    `lease_s = ${options.leaseS}`,
    `gang_wait_s = ${options.gangWaitS}`,
    'gang_peer_s = 5.0',
    `cancel_s = ${options.cancelS}`,
    '[facts.state]',
    `rps = ${options.state.rps}`,
    `write_rps = ${options.state.write_rps}`,
    `value_kb = ${options.state.value_kb}`,
    `txn_ops = ${options.state.txn_ops}`,
    '[facts.cloud]',
    `rps = ${options.cloud.rps}`,
    `list_lag_s = ${options.cloud.listLagS}`,
    '[facts.machine_limits]',
    'cpu = 0.204',
    'mem_mb = 146.0',
    `sockets = ${options.sockets}`,
    '',
  );
  return lines.join('\n');
}

/** Follows what the workers do, and what the users are told, and collects broken rules. */
class Rules {
  onMachine = new Map();
  done = new Set();
  told = new Map();
  broken = [];
  starts = [];
  ends = [];

  constructor(deployment) {
    this.deployment = deployment;
  }

  isDone(piece) {
    return this.done.has(piece);
  }

  break(rule, text) {
    this.broken.push({ rule, text });
    this.deployment.record('RULE', `${rule}: ${text}`);
  }

  started(task, worker) {
    const { Piece, job } = task;
    const host = worker.host.Uid;
    this.starts.push({ Piece, id: job.Uid, host, at: performance.now() });
    this.deployment.record(host, `${Piece} try ${task.Try} starts`);
    const other = this.onMachine.get(Piece);
    if (other && other.worker !== worker)
      this.break('ran_twice', `${Piece} starts on ${host} while on ${other.worker.host.Uid}`);
    this.onMachine.set(Piece, { worker, job });
    const { Build, Hall, Loaners } = worker.host;
    if (
      (job.Builds && !job.Builds.includes(Build)) ||
      (job.Hall && job.Hall !== Hall) ||
      (Loaners && !job.Loaners)
    )
      this.break('wrong_place', `${Piece} starts on ${Build} in ${Hall}, spot: ${Loaners}`);
    const halls = [...this.onMachine].filter(([, on]) => on.job === job).map(([, on]) => on.worker.host.Hall);
    if (job.SamePlace && new Set(halls).size > 1) this.break('wrong_place', `${job.Uid} in several zones`);
    if (job.Scatter && halls.filter((hall) => hall === Hall).length > Math.ceil(job.Pieces / 2))
      this.break('wrong_place', `${job.Uid} has too many tasks in ${Hall}`);
    const team = this.deployment.options.teams.find(({ name }) => name === job.Crew);
    const used = this.teamUse(job.Crew);
    if (team.cpus_max > 0 && used > team.cpus_max + 1e-6)
      this.break('quota', `${job.Crew} uses ${used} CPUs`);
    if (this.isLate(job.Uid)) this.break('ran_cancelled', `${Piece} starts after cancel_s`);
  }

  teamUse(crew) {
    let used = 0;
    for (const { job } of this.onMachine.values()) if (job.Crew === crew) used += job.Cpus;
    return used;
  }

  ended(task, worker, why) {
    this.deployment.record(worker.host.Uid, `${task.Piece} try ${task.Try} ends: ${why}`);
    this.ends.push({ Piece: task.Piece, id: task.job.Uid, attempt: task.Try, why });
    if (this.onMachine.get(task.Piece)?.worker === worker) this.onMachine.delete(task.Piece);
    if (why === 'done') this.done.add(task.Piece);
  }

  isLate(id) {
    const told = this.told.get(id);
    return (
      told?.status === 'withdrawn' && performance.now() > told.at + this.deployment.options.cancelS * 1000
    );
  }

  check() {
    for (const [piece, { job, worker }] of this.onMachine) {
      if (!this.isLate(job.Uid) || this.reported?.has(piece)) continue;
      (this.reported ??= new Set()).add(piece);
      this.break(
        'ran_cancelled',
        `${piece} is on ${worker.host.Uid} more than cancel_s after the confirmation`,
      );
    }
  }

  /** A user was told the status of a job by an answer to a request that was sent at `sentAt`. */
  answered(job, reply, sentAt, isAccepted) {
    const id = job.Uid;
    const earlier = this.told.get(id);
    const status = reply.status === 200 || reply.status === 201 ? reply.body.Status : undefined;
    if (isAccepted && [400, 404, 422].includes(reply.status))
      this.break('forgotten', `${id} is answered ${reply.status}`);
    if (status === undefined) return;
    if (earlier && sentAt > earlier.at && status !== earlier.status)
      this.break('went_back', `${id} was ${earlier.status} and is ${status}`);
    if (status === 'done') {
      for (let i = 0; i < job.Pieces; i++)
        if (!this.done.has(`${id}/${i}`)) this.break('not_done', `${id} is called done before task ${i}`);
    }
    if ((status === 'done' || status === 'withdrawn') && !earlier)
      this.told.set(id, { status, at: performance.now() });
  }
}

export class Deployment {
  jobs = new Map();
  workers = new Map();
  nodes = [];
  startedAt = performance.now();
  isOver = false;

  constructor(recordFile, options) {
    this.recordFile = recordFile;
    this.options = options;
    writeFileSync(recordFile, '');
    this.rules = new Rules(this);
    this.folder = mkdtempSync(join(tmpdir(), 'micaworks-case-'));
  }

  /** Seconds since the start. */
  get seconds() {
    return (performance.now() - this.startedAt) / 1000;
  }

  record = (who, what) => {
    appendFileSync(this.recordFile, `${this.seconds.toFixed(3).padStart(8)} ${who.padEnd(9)} ${what}\n`);
  };

  async open() {
    const { options, record } = this;
    this.store = new Store({ limits: { ...options.state }, record });
    this.cloud = new Cloud({
      types: options.types,
      capacity: options.capacity,
      rps: options.cloud.rps,
      listLagS: options.cloud.listLagS,
      bootS: options.bootS,
      record,
    });
    await this.store.open(options.members.map(({ member }) => member));
    await this.cloud.open();
    for (const { member, domain } of options.members)
      this.nodes.push({ member, domain, bind: await freeAddress(), peer: await freeAddress(), child: null });
    await options.prepare?.(this);
    for (const node of this.nodes) {
      node.file = join(this.folder, `${node.member}.toml`);
      writeFileSync(
        node.file,
        settingsFile(
          node,
          this.nodes,
          node.stateAt ?? this.store.address(node.member),
          node.cloudAt ?? this.cloud.address,
          options,
        ),
      );
    }
    this.fleet = {
      nodes: this.nodes.map(({ member, bind, workersAt }) => ({ member, bind: workersAt ?? bind })),
      reportS: options.reportS,
      leaseS: options.leaseS,
      jobs: this.jobs,
      events: this.rules,
      record,
      runS: options.runS,
      fetchS: options.fetchS,
      fails: options.fails,
      gangWaitS: options.gangWaitS,
      gangPeerS: 5,
    };
    this.cloud.onUp = (host) => void this.addWorker(host);
    this.cloud.onGone = (host) => {
      this.workers.get(host.Uid)?.destroy();
      this.workers.delete(host.Uid);
    };
    this.checks = setInterval(() => this.rules.check(), 100);
    for (const node of this.nodes) this.start(node);
  }

  async addWorker(host) {
    const worker = new Worker(
      host,
      this.options.types.find(({ Sku }) => Sku === host.Build),
      this.fleet,
    );
    this.workers.set(host.Uid, worker);
    this.options.onWorker?.(worker, this);
    await worker.open();
  }

  start(node) {
    const { program, args } = runCommand();
    node.crashes ??= 0;
    const child = spawn(program, [...args, node.file], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'error' },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    node.child = child;
    node.errors ??= [];
    child.stderr.on('data', (bytes) => {
      for (const line of String(bytes).split('\n'))
        if (line) this.record(node.member, `log: ${line.slice(0, 600)}`);
    });
    child.once('exit', (code, signal) => {
      if (node.child !== child) return;
      node.child = null;
      if (this.isOver) return;
      this.record(node.member, `ended by itself: code ${code}, signal ${signal}`);
      node.crashes++;
    });
    this.record(node.member, `started, process ${child.pid}`);
  }

  kill(node) {
    const { child } = node;
    node.child = null;
    this.record(node.member, 'killed');
    child?.kill('SIGCONT');
    child?.kill('SIGKILL');
  }

  stop(node) {
    this.record(node.member, 'stopped (SIGSTOP)');
    node.child?.kill('SIGSTOP');
  }

  continue(node) {
    this.record(node.member, 'continued (SIGCONT)');
    node.child?.kill('SIGCONT');
  }

  /** The controller that a key of the state service names. */
  holder(key) {
    const member = this.store.rows.get(key)?.V?.Member;
    return this.nodes.find((node) => node.member === member);
  }

  /** One request of a user over a new connection, as the load balancer passes it on. */
  async request(method, path, body, node) {
    const order = node ? [node] : [...this.nodes].sort(() => Math.random() - 0.5);
    for (const target of order) {
      const send = client();
      const reply = await send(target.bind, method, path, body, method === 'GET' ? 2000 : 5000);
      send.close();
      if (reply.why === 'ECONNREFUSED') continue;
      this.record(
        'user',
        `${method} ${path} at ${target.member}: ${reply.status} ${JSON.stringify(reply.body)}`,
      );
      return reply;
    }
    return { status: 0, body: {}, headers: {} };
  }

  /** Submits a job as a user does, for up to 60 s. Returns whether it was accepted. */
  async submit(job) {
    this.jobs.set(job.Uid, job);
    for (const end = performance.now() + 60_000; performance.now() < end && !this.isOver; await pause(1000)) {
      const sentAt = performance.now();
      const reply = await this.request('POST', '/submissions', job);
      if ([400, 422].includes(reply.status)) return false;
      this.rules.answered(job, reply, sentAt, false);
      if (reply.status === 200 || reply.status === 201) {
        job.acceptedAt ??= performance.now();
        return true;
      }
    }
    return false;
  }

  async poll(job, node) {
    const sentAt = performance.now();
    const reply = await this.request('GET', `/submissions/${job.Uid}`, undefined, node);
    this.rules.answered(job, reply, sentAt, job.acceptedAt !== undefined && sentAt > job.acceptedAt);
    return reply;
  }

  /** Cancels a job as a user does: repeated until it is answered. Returns the status, or undefined. */
  async withdraw(job, forMs = 60_000) {
    for (const end = performance.now() + forMs; performance.now() < end && !this.isOver; await pause(1000)) {
      const sentAt = performance.now();
      const reply = await this.request('POST', `/submissions/${job.Uid}/withdraw`);
      this.rules.answered(job, reply, sentAt, true);
      if (reply.status === 200) return reply.body.Status;
    }
    return undefined;
  }

  /** Waits until a controller answers users. */
  async ready(forMs = 30_000) {
    for (const end = performance.now() + forMs; performance.now() < end; await pause(200)) {
      for (const node of this.nodes) {
        const send = client();
        const reply = await send(node.bind, 'GET', '/healthz', undefined, 1000);
        send.close();
        if (reply.status === 200) return true;
      }
    }
    return false;
  }

  async until(condition, forMs) {
    for (const end = performance.now() + forMs; performance.now() < end; await pause(50))
      if (condition()) return true;
    return condition();
  }

  close() {
    if (this.isOver) return;
    this.isOver = true;
    clearInterval(this.checks);
    for (const node of this.nodes) {
      node.child?.kill('SIGCONT');
      node.child?.kill('SIGKILL');
    }
    for (const worker of this.workers.values()) worker.destroy();
    this.store.close();
    this.cloud.close();
    this.options.onClose?.();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case: `play(deployment, hasTrouble)` resolves to `{broken: text or null}`, or throws if the case couldn't run.
 * Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
 */
export async function runCase(caseFolder, options, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const deployment = new Deployment(join(fileURLToPath(caseFolder), 'record.txt'), options(hasTrouble));
  const end = (code, text) => {
    deployment.record('case', text);
    process.stdout.write(`${text}\n`);
    deployment.close();
    process.exit(code);
  };
  process.once('SIGTERM', () => end(2, 'could not run: ended'));
  process.once('SIGINT', () => end(2, 'could not run: ended'));
  setTimeout(() => end(2, 'could not run: more than 118 s'), 118_000);
  try {
    deployment.record('case', hasTrouble ? 'with the disruption' : 'without the disruption');
    await deployment.open();
    if (!(await deployment.ready())) end(2, 'could not run: no controller is healthy');
    const { broken } = await play(deployment, hasTrouble);
    if (broken) end(1, `broken: ${broken}`);
    else end(0, 'the rule held');
  } catch (cause) {
    end(2, `could not run: ${cause.stack}`);
  }
}
