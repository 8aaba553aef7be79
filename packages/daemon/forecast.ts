/** What the leader foresees of the owners' next rounds, from the log alone. */
import type { Replica } from '#cluster';
import type { Coming, NeedRow } from '#fleet';
import { type Amounts, take } from '#pricing';
import type { Objective, Settings } from '#settings';
import { fromSeconds, type JobSpec, type Micros, SECOND } from '#wire';
import type { RoundInput } from './round-input.js';
import type { RunTimes } from './run-times.js';
import type { Scheduler } from './scheduler.js';

/** A machine whose room comes free within this time counts as on its way. */
const SOON: Micros = 10 * SECOND;

/** What the leader foresees of one owner's next round. */
export interface OwnerForecast {
  member: string;
  shares: number[];
  /** What will find no room, most urgent first. */
  needs: NeedRow[];
  /** Room that the round will leave on each of its machines. */
  left: Map<string, Amounts>;
  /** Machines that it keeps for tasks which need more room than they have yet. */
  kept: ReadonlySet<string>;
  /** Room that its running tasks are about to leave. */
  soon: Coming[];
  price: number;
  /** CPUs that its teams lack of their guarantees, less those that are about to come free or on their way. */
  owed: number;
  /** CPUs that its teams use beyond their guarantees. */
  borrowed: number;
}

export class Forecaster {
  /** By class: its aims that name a time. */
  private readonly objectives = new Map<string, Objective[]>();

  constructor(
    private readonly settings: Settings,
    private readonly replica: Replica,
    private readonly input: RoundInput,
    private readonly runTimes: RunTimes,
    private readonly scheduler: Scheduler,
  ) {
    for (const o of settings.objectives) {
      if (o.jobClass === null || o.within === null) continue;
      this.objectives.set(o.jobClass, [...(this.objectives.get(o.jobClass) ?? []), o]);
    }
  }

  /** Every owner's next round. */
  forecast(owners: ReadonlyMap<number, { member: string }>): OwnerForecast[] {
    const members = [...new Set([...owners.values()].map((o) => o.member))].sort();
    return members.map((member) => {
      const shares = [...owners].filter(([, o]) => o.member === member).map(([share]) => share);
      const mine = new Set(shares);
      const machines = this.input.booked(mine);
      const { needs, left, prices, kept } = this.scheduler.play(mine, machines, new Set());
      const price = Math.max(0, ...[...prices.values()].map((p) => p.cpu));
      const soon = this.soon(mine);
      return { member, shares, needs, left, kept, soon, price, ...this.balance(mine, needs, soon) };
    });
  }

  /** Within what time the tasks of a class should have started; Infinity if its users say nothing of it. */
  startAim(jobClass: string): Micros {
    return this.input.startAim(jobClass);
  }

  /**
   * How many machines' worth of a need is worth renting: where its users leave time, one slot serves several
   * short tasks in turn.
   */
  worthRenting(need: NeedRow): NeedRow {
    const { job, count } = need;
    const spec = this.replica.jobs.get(job.id)?.spec;
    // A gang's tasks run at the same time: none of them takes its turn after another.
    if (!spec || job.gang) return need;
    const run = this.runTimes.expected(spec);
    const patience = Math.max(run, this.patience(spec, run));
    return { job, count: Math.ceil((count * run) / Math.max(patience, 1)) };
  }

  /** Half of the time that a job's users leave for waiting; 0 if they tell of none. */
  private patience(spec: JobSpec, run: Micros): Micros {
    const aims = (this.objectives.get(spec.jobClass) ?? []).map((o) =>
      o.kind === 'wait' ? (o.within ?? 0) : (o.within ?? 0) - run,
    );
    if (spec.deadlineS !== null) aims.push(fromSeconds(spec.deadlineS) - run);
    return aims.length === 0 ? 0 : Math.min(...aims) / 2;
  }

  /** How an owner's teams stand to their guarantees. */
  private balance(shares: ReadonlySet<number>, needs: readonly NeedRow[], soon: readonly Coming[]) {
    const { ledger, types } = this.replica;
    const waiting = new Map<string, number>();
    for (const { job, count } of needs) {
      waiting.set(job.team, (waiting.get(job.team) ?? 0) + count * job.need.cpus);
    }
    let owed = 0;
    let borrowed = 0;
    for (const { name, cpus } of this.settings.teams) {
      if (!shares.has(this.scheduler.shareOf(name))) continue;
      const used = ledger.used(name).cpus;
      owed += Math.min(waiting.get(name) ?? 0, Math.max(0, cpus - used));
      borrowed += Math.max(0, used - cpus);
    }
    if (owed === 0) return { owed, borrowed };
    for (const { room } of soon) owed -= room.cpus;
    for (const { destination, share, machineType } of ledger.hosts.values()) {
      if (typeof destination === 'number' && destination !== share && shares.has(destination))
        owed -= types.get(machineType)?.cpus ?? 0;
    }
    return { owed: Math.max(0, owed), borrowed };
  }

  /** Room that running tasks are about to leave on the machines of some shares. */
  private soon(shares: ReadonlySet<number>): Coming[] {
    const { ledger } = this.replica;
    const out: Coming[] = [];
    for (const { host, machineType, zone, spot, share, status } of ledger.hosts.values()) {
      if (share === null || !shares.has(share) || status !== 'up') continue;
      const room: Amounts = { cpus: 0, gpus: 0, memGb: 0 };
      for (const p of ledger.placementsOn(host)) if (this.runTimes.remaining(p) < SOON) take(room, p, -1);
      if (room.memGb > 0 || room.cpus > 0) out.push({ machineType, zone, spot, room });
    }
    return out;
  }
}
