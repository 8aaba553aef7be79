/** Faults of cloud machines and their workers. */
import { SECOND } from '#wire';
import type { FaultTarget } from './fault-target.js';
import type { SimWorker } from './sim-worker.js';

/** Seconds between the cloud's reclaim notice for a spot machine and the reclaim itself. */
const RECLAIM_NOTICE_S = 4;

/** Makes the worker hang for 2 s to 22 s. */
function hang(target: FaultTarget, worker: SimWorker): void {
  target.during(
    target.randomSeconds(2, 20),
    () => {
      worker.isHanging = true;
    },
    () => {
      worker.isHanging = false;
    },
  );
}

/** Makes many machines fail at once: some die, others hang for shorter or longer than a worker's lease. */
export function failManyMachines(target: FaultTarget): void {
  const { cloud, workers, random } = target.cluster;
  for (const worker of workers.values()) {
    const host = cloud.hosts.get(worker.machine.host);
    const draw = random();
    if (draw < 0.25 && host) cloud.crash(host);
    else if (draw < 0.6) hang(target, worker);
  }
}

/** Kills one machine. */
export function killMachine({ cluster, host }: FaultTarget): void {
  if (host) cluster.cloud.crash(host);
}

/** Makes the cloud reclaim one machine after a notice. */
export function reclaimMachine({ cluster, host, worker }: FaultTarget): void {
  if (!host || !worker) return;
  worker.reclaimInS = RECLAIM_NOTICE_S;
  cluster.clock.at(RECLAIM_NOTICE_S * SECOND, () => {
    if (cluster.cloud.hosts.get(host.host) === host) cluster.cloud.reclaim(host);
  });
}

/** Makes one worker hang: it executes nothing until the fault ends. */
export function hangWorker(target: FaultTarget): void {
  if (target.worker) hang(target, target.worker);
}
