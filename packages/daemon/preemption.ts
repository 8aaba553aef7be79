/** Which running tasks are stopped to make room for work that ranks higher, or that its team is guaranteed. */
import type { Placement, Replica } from '#cluster';
import { amountsOf, type Coming, type NeedRow, serve, suits } from '#fleet';
import {
  type Amounts,
  fits,
  planStops,
  type PreemptionRequest,
  type RoomyMachine,
  slots,
  take,
  type Victim,
  type WaitingJob,
} from '#pricing';
import type { Settings } from '#settings';
import { type Clock, type Micros, MS, RANKS, SECOND } from '#wire';
import type { WorkerRegistry } from '#workers';
import type { RunTimes } from './run-times.js';

/** A task that waits this long may have others stopped. */
const PREEMPT_AFTER: Micros = 4 * SECOND;
/** A task is stopped only after it has been on its machine for so long, and not when it is almost done. */
const SETTLED: Micros = 45 * SECOND;
const ALMOST_DONE: Micros = 12 * SECOND;
const MOST_STOPS = 6;

/** A running task that is to make room, and the time it gets to save its progress. */
export interface Stop {
  placement: Placement;
  graceS: number;
}

export class Preemption {
  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly replica: Replica,
    private readonly workers: WorkerRegistry,
    private readonly runTimes: RunTimes,
  ) {}

  /** Tasks that have to make room, once what waits has done so for long enough to be worth it. */
  stops(
    needs: readonly NeedRow[],
    machines: readonly RoomyMachine[],
    left: ReadonlyMap<string, Amounts>,
    changes: ReadonlyMap<string, number>,
  ): Stop[] {
    const { ledger, jobs } = this.replica;
    const wall = this.clock.wall();
    const guarantee = new Map(this.settings.teams.map((t) => [t.name, t.cpus]));
    const requests: PreemptionRequest[] = [];
    const freeing = this.freeing();
    // What this round's starts, and the team's more urgent needs once their room is free, take of its guarantee:
    // otherwise what was stopped for them claims that part again, and further tasks are stopped for it.
    const promised = new Map(changes);
    for (const { job, count: wanted } of needs) {
      const { team, need } = job;
      const used = ledger.used(team).cpus + (promised.get(team) ?? 0);
      promised.set(team, (promised.get(team) ?? 0) + wanted * need.cpus);
      const spec = jobs.get(job.id)?.spec;
      if (!spec || wall - (jobs.get(job.id)?.at ?? 0) * MS < PREEMPT_AFTER) continue;
      // What was stopped before is still saving: more must not be stopped for the same claim meanwhile.
      const count = wanted - serve(freeing, job, wanted);
      const within = slots({ ...need, gpus: 0, memGb: 0 }, amounts((guarantee.get(team) ?? 0) - used));
      const safe = Math.min(count, within);
      const rank = RANKS.indexOf(spec.rank);
      if (safe > 0) requests.push({ job, count: safe, rank, guaranteed: true });
      if (count > safe && rank > RANKS.indexOf('normal')) {
        requests.push({ job, count: count - safe, rank, guaranteed: false });
      }
    }
    if (requests.length === 0) return [];
    const victims = new Map<string, Victim & Stop>();
    for (const { host } of machines) {
      for (const p of ledger.placementsOn(host)) {
        const spec = jobs.get(p.job)?.spec;
        // A start that is stopped too soon was no start to its user.
        // A gang falls as a whole for the room of one task.
        if (!spec || p.gangSize !== null) continue;
        if (spec.checkpointS <= 0 || wall - p.at * MS < SETTLED) continue;
        if (this.runTimes.remaining(p) < ALMOST_DONE) continue;
        const { cpus, gpus, memGb, taskName } = p;
        const beyond = ledger.used(p.team).cpus > (guarantee.get(p.team) ?? 0);
        const row = { cpus, gpus, memGb, taskName, host, rank: RANKS.indexOf(spec.rank), beyond };
        const graceS = Math.ceil(spec.saveS) + 1;
        victims.set(taskName, { ...row, saves: true, placement: p, graceS });
      }
    }
    const rows = machines.map((m) => ({
      host: m.host,
      left: left.get(m.host) ?? m.room,
      allowed: (job: WaitingJob) => suits(job, m) && fits(job.need, m.total),
    }));
    const chosen = planStops({ requests, machines: rows, victims: [...victims.values()], most: MOST_STOPS });
    return chosen.flatMap((v) => victims.get(v.taskName) ?? []);
  }

  /** Machines of this node on which tasks are being stopped, with the room that this will leave. */
  private freeing(): Coming[] {
    const { ledger } = this.replica;
    const out: Coming[] = [];
    for (const host of this.workers.sessions.keys()) {
      const entry = ledger.hosts.get(host);
      const type = entry && this.replica.types.get(entry.machineType);
      if (!type || !this.workers.isMakingRoom(host, ledger)) continue;
      const room = amountsOf(type);
      for (const p of ledger.placementsOn(host)) if (!this.workers.isStopping(p)) take(room, p, 1);
      out.push({ machineType: entry.machineType, zone: entry.zone, spot: entry.spot, room });
    }
    return out;
  }
}

function amounts(cpus: number): Amounts {
  return { cpus, gpus: 0, memGb: 0 };
}
