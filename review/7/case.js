/**
 * One machine fails the first tasks that it gets and is sound from then on. The case fails if then, for 90 s, no further
 * task of the job is started, although tasks of it wait and one and the same sound machine, which has never failed a task,
 * has room for them.
 */
import { pause } from '../stand-ins-2/http.js';
import { panierBreizh, runCase, submission } from '../stand-ins-2/deployment.js';

const BOUND_S = 90;
/** How long the faulty machine fails its tasks after it is up, and after which run time. */
const FAULT_S = 12;
const FAILS_AFTER_S = 3;
const QUICK_SPOT_MACHINES = 3;

let spotMachines = 0;
let hasFailed = false;

const options = (hasTrouble) =>
  panierBreizh({
    teams: [
      { name: 'dispatch', cpus: 16, cpus_max: 56, gpus: 0, gpus_max: 0 },
      { name: 'cooperative-lab', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
    ],
    types: [
      {
        Sku: 'menhir-8',
        Cpus: 8,
        Gpus: 0,
        MemGb: 64,
        CacheGb: 60,
        FetchGbPerS: 0.3,
        Price: 0.57,
        LowPrice: 0.17,
        BootS: 25,
        Halls: ['brest', 'rennes'],
      },
    ],
    // The first spot machines and all ordinary ones are up within two seconds, the others after 0.6 times `BootS`.
    bootS: (_type, _zone, isSpot) => (isSpot && spotMachines++ >= QUICK_SPOT_MACHINES ? 15 : 1.5),
    fetchS: () => 1.5,
    runS: (_job, _index, worker) => (worker.isFaulty?.() ? FAILS_AFTER_S : 300),
    fails: (_task, worker) => {
      const isFaulty = worker.isFaulty?.() ?? false;
      hasFailed ||= isFaulty;
      return isFaulty;
    },
    onWorker: (worker, deployment) => {
      if (!hasTrouble || deployment.workers.size > 1) return;
      const upAt = performance.now();
      worker.isFaulty = () => performance.now() < upAt + FAULT_S * 1000;
      deployment.record(worker.host.Uid, `fails its tasks for ${FAULT_S} s`);
    },
  });

await runCase(new URL('.', import.meta.url), options, async (deployment) => {
  const { rules, workers } = deployment;
  const job = submission('j-1', {
    Lane: 'idle-basket-study',
    Crew: 'cooperative-lab',
    Rank: 'best_effort',
    Pieces: 48,
    Cpus: 1,
    MemGb: 3.6,
    SizeGb: 0.5,
    ExpectS: 300,
    BookmarkS: 30,
    StashS: 3,
  });
  if (!(await deployment.submit(job))) throw new Error('the job was not accepted');
  // A job of another team follows once the machine has failed. Its machine keeps 2 CPUs free.
  await deployment.until(() => hasFailed || deployment.seconds > 10, 12_000);
  const other = submission('j-2', { Pieces: 1, Cpus: 6, MemGb: 15, Loaners: false, ExpectS: 300 });
  if (!(await deployment.submit(other))) throw new Error('j-2 was not accepted');
  deployment.fleet.onReport = (worker, _node, _body, reply) => {
    worker.isServed = reply.status === 200;
  };
  const waiting = () =>
    [...Array(job.Pieces).keys()].filter((i) => {
      const piece = `${job.Uid}/${i}`;
      return !rules.done.has(piece) && !rules.onMachine.has(piece);
    }).length;
  /** Keyed by host: since when the machine has room for a waiting task while no task of the job starts. */
  const roomSince = new Map();
  let starts = 0;
  let lastPoll = performance.now();
  let longest = 0;
  while (longest < BOUND_S) {
    await pause(100);
    const now = performance.now();
    if (waiting() === 0) return { broken: null };
    const started = rules.starts.filter(({ id }) => id === job.Uid).length;
    if (started > starts) roomSince.clear();
    starts = started;
    for (const [host, worker] of workers) {
      const hasRoom = worker.isServed && worker.isFaulty === undefined && worker.hasRoom(job);
      if (!hasRoom) roomSince.delete(host);
      else if (!roomSince.has(host)) roomSince.set(host, now);
    }
    for (const host of roomSince.keys()) if (!workers.has(host)) roomSince.delete(host);
    longest = Math.max(0, ...[...roomSince.values()].map((since) => (now - since) / 1000));
    if (now - lastPoll > 5000) {
      lastPoll = now;
      await deployment.poll(job);
    }
    if (deployment.seconds > 115 && longest < BOUND_S)
      throw new Error(
        `no machine had room for ${BOUND_S} s in the time of the case; the longest had it ${longest} s`,
      );
  }
  const hosts = [...roomSince].filter(([, since]) => (performance.now() - since) / 1000 >= BOUND_S - 1);
  const text = `${waiting()} of ${job.Pieces} tasks of ${job.Uid} waited for ${BOUND_S} s while ${hosts.map(([host]) => host).join(', ')} had room`;
  return { broken: text };
});
