/** Faults of rented machines and their workers. */
import { SECOND } from '#wire';
import type { FaultTarget } from './fault-target.js';
import type { SimWorker } from './sim-worker.js';

/** Time that the cloud gives a spot machine between the notice and its end. */
const RECLAIM_NOTICE_S = 4;

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

/** Many machines fail at once: some die, some hang for less or more than a lease. */
export function failManyMachines(target: FaultTarget): void {
  const { cloud, workers, random } = target.cluster;
  for (const worker of workers.values()) {
    const host = cloud.hosts.get(worker.machine.host);
    const draw = random();
    if (draw < 0.25 && host) cloud.crash(host);
    else if (draw < 0.6) hang(target, worker);
  }
}

/** One machine dies. */
export function killMachine({ cluster, host }: FaultTarget): void {
  if (host) cluster.cloud.crash(host);
}

/** The cloud reclaims one machine after a notice. */
export function reclaimMachine({ cluster, host, worker }: FaultTarget): void {
  if (!host || !worker) return;
  worker.reclaimInS = RECLAIM_NOTICE_S;
  cluster.clock.at(RECLAIM_NOTICE_S * SECOND, () => {
    if (cluster.cloud.hosts.get(host.host) === host) cluster.cloud.reclaim(host);
  });
}

/** One worker executes nothing for a while. */
export function hangWorker(target: FaultTarget): void {
  if (target.worker) hang(target, target.worker);
}
