/** Which running tasks are stopped to make room for work that ranks higher, or that its team is guaranteed. */
import type { Placement, Replica } from '#cluster';
import { resourcesOf, type PendingCapacity, type UnmetDemand, allocatePending, isFeasible } from '#fleet';
import {
  type Resources,
  fits,
  planPreemptions,
  type PreemptionRequest,
  type CandidateMachine,
  countFitting,
  subtractResources,
  type Victim,
  type PendingJob,
} from '#pricing';
import type { Settings } from '#settings';
import { type Clock, type Micros, MS, RANKS, SECOND } from '#wire';
import type { WorkerRegistry } from '#workers';
import type { RunTimeEstimator } from './run-time-estimator.js';

/** A task that waits this long may have others stopped. */
const PREEMPTION_MIN_WAIT: Micros = 4 * SECOND;
/** A task is stopped only after it has been on its machine for so long, and not when it is almost done. */
const VICTIM_MIN_RUN_TIME: Micros = 45 * SECOND;
const VICTIM_MIN_REMAINING: Micros = 12 * SECOND;
const MAX_PREEMPTIONS = 6;

/** A running task that is to make room, and the time it gets to save its progress. */
export interface PreemptedTask {
  placement: Placement;
  graceS: number;
}

export class Preemption {
  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly replica: Replica,
    private readonly workers: WorkerRegistry,
    private readonly runTimes: RunTimeEstimator,
  ) {}

  /** Tasks that have to make room, once what waits has done so for long enough to be worth it. */
  planPreemptions(
    needs: readonly UnmetDemand[],
    machines: readonly CandidateMachine[],
    left: ReadonlyMap<string, Resources>,
    changes: ReadonlyMap<string, number>,
  ): PreemptedTask[] {
    const { ledger, jobs } = this.replica;
    const wall = this.clock.wall();
    const guarantee = new Map(this.settings.teams.map((t) => [t.name, t.cpus]));
    const requests: PreemptionRequest[] = [];
    const freeing = this.capacityBeingFreed();
    // What this round's starts, and the team's more urgent needs once their room is free, take of its guarantee:
    // otherwise what was stopped for them claims that part again, and further tasks are stopped for it.
    const promised = new Map(changes);
    for (const { job, count: wanted } of needs) {
      const { team, need } = job;
      const used = ledger.teamUsage(team).cpus + (promised.get(team) ?? 0);
      promised.set(team, (promised.get(team) ?? 0) + wanted * need.cpus);
      const spec = jobs.get(job.id)?.spec;
      if (!spec || wall - (jobs.get(job.id)?.acceptedAtMs ?? 0) * MS < PREEMPTION_MIN_WAIT) continue;
      // What was stopped before is still saving: more must not be stopped for the same claim meanwhile.
      const count = wanted - allocatePending(freeing, job, wanted);
      const within = countFitting({ ...need, gpus: 0, memGb: 0 }, amounts((guarantee.get(team) ?? 0) - used));
      const safe = Math.min(count, within);
      const rank = RANKS.indexOf(spec.rank);
      if (safe > 0) requests.push({ job, count: safe, rank, guaranteed: true });
      if (count > safe && rank > RANKS.indexOf('normal')) {
        requests.push({ job, count: count - safe, rank, guaranteed: false });
      }
    }
    if (requests.length === 0) return [];
    const victims = new Map<string, Victim & PreemptedTask>();
    for (const { host } of machines) {
      for (const p of ledger.placementsOn(host)) {
        const spec = jobs.get(p.job)?.spec;
        // A start that is stopped too soon was no start to its user.
        // A gang falls as a whole for the room of one task.
        if (!spec || p.gangSize !== null) continue;
        if (spec.checkpointS <= 0 || wall - p.startedAtMs * MS < VICTIM_MIN_RUN_TIME) continue;
        if (this.runTimes.remaining(p) < VICTIM_MIN_REMAINING) continue;
        const { cpus, gpus, memGb, taskName } = p;
        const isAboveGuarantee = ledger.teamUsage(p.team).cpus > (guarantee.get(p.team) ?? 0);
        const row = { cpus, gpus, memGb, taskName, host, rank: RANKS.indexOf(spec.rank), isAboveGuarantee };
        const graceS = Math.ceil(spec.saveS) + 1;
        victims.set(taskName, { ...row, canCheckpoint: true, placement: p, graceS });
      }
    }
    const rows = machines.map((m) => ({
      host: m.host,
      left: left.get(m.host) ?? m.free,
      allowed: (job: PendingJob) => isFeasible(job, m) && fits(job.need, m.total),
    }));
    const chosen = planPreemptions({
      requests,
      machines: rows,
      victims: [...victims.values()],
      maxPreemptions: MAX_PREEMPTIONS,
    });
    return chosen.flatMap((v) => victims.get(v.taskName) ?? []);
  }

  /** Machines of this node on which tasks are being stopped, with the room that this will leave. */
  private capacityBeingFreed(): PendingCapacity[] {
    const { ledger } = this.replica;
    const out: PendingCapacity[] = [];
    for (const host of this.workers.trackedWorkers.keys()) {
      const entry = ledger.machines.get(host);
      const type = entry && this.replica.machineTypes.get(entry.machineType);
      if (!type || !this.workers.isPreempting(host, ledger)) continue;
      const room = resourcesOf(type);
      for (const p of ledger.placementsOn(host))
        if (!this.workers.isStopping(p)) subtractResources(room, p, 1);
      out.push({ machineType: entry.machineType, zone: entry.zone, spot: entry.spot, free: room });
    }
    return out;
  }
}

function amounts(cpus: number): Resources {
  return { cpus, gpus: 0, memGb: 0 };
}
