import { type LiveJob, type Logger, type Placement, type Replica, type StartGroup } from '#cluster';
import { amountsOf, type Coming, type NeedRow } from '#fleet';
import {
  type Amounts,
  fits,
  playRound,
  type RoomyMachine,
  type RoundOptions,
  take,
  type WaitingJob,
} from '#pricing';
import type { Settings } from '#settings';
import { type Clock, fromSeconds, type Micros, MS, parsePiece, type Rank, sameCount, SECOND } from '#wire';
import { attemptKey, type Ending, type Roster, type Session } from '#workers';

export interface RoundPlan {
  starts: StartGroup[];
  prices: Record<string, [number, number, number]>;
  unmet: Record<string, number>;
  /** What found no room, most urgent first. */
  needs: NeedRow[];
  /** Room that running tasks are about to leave. */
  soon: Coming[];
}

const RANK_PRIORITY: Record<Rank, number> = { best_effort: 1, normal: 2, urgent: 4, prod: 8 };
/** Waiting this long doubles a job's priority. */
const WAIT_DOUBLES: Micros = 60 * SECOND;
/** A machine whose room comes free within this time counts as on its way. */
const SOON: Micros = 10 * SECOND;
const SHUN: Micros = 20 * SECOND;

const OPTIONS: RoundOptions = {
  passes: 30,
  step: 0.1,
  gpuShapeCost: 0.5,
  gpuTaskWeight: 0.5,
  guaranteeWeight: 0.5,
  mostStarts: 300,
  choices: 6,
};

interface Trouble {
  hosts: Set<string>;
  until: Micros;
}

/** Turns the ledger, the reports and the live jobs into a round's input, and its result into a record. */
export class Scheduler {
  /** Jobs whose tasks failed, on which machines, and until when they wait. */
  private troubles = new Map<string, Trouble>();
  /** By class: how long its tasks really run against the owners' estimates. */
  private ratios = new Map<string, number>();

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly replica: Replica,
    private readonly roster: Roster,
    private readonly log: Logger,
  ) {}

  reset(): void {
    this.troubles.clear();
  }

  /** The newest report of this worker shows the end of a task that the log doesn't know of yet. */
  hasNews(host: string): boolean {
    const session = this.roster.sessions.get(host);
    if (!session) return false;
    const { ledger } = this.replica;
    return session.report.Pieces.some((p) => {
      if (p.Status !== 'exited') return false;
      const at = parsePiece(p.Piece);
      const placement = at ? ledger.placement(at.job, at.index) : undefined;
      return placement?.host === host && sameCount(placement.try, p.Try);
    });
  }

  learn({ placement, outcome }: Ending): void {
    const now = this.clock.now();
    const session = this.roster.sessions.get(placement.host);
    const job = this.replica.jobs.get(placement.job);
    const began = session?.runningSince.get(attemptKey(placement.piece, placement.try));
    session?.runningSince.delete(attemptKey(placement.piece, placement.try));
    if (outcome === 'done') {
      if (session) session.errors = 0;
      this.troubles.delete(placement.job);
      if (!job || began === undefined || job.spec.ExpectS <= 0) return;
      const ratio = (now - began) / fromSeconds(job.spec.ExpectS);
      const old = this.ratios.get(job.spec.Lane) ?? 1;
      this.ratios.set(job.spec.Lane, old + 0.1 * (Math.min(5, ratio) - old));
    } else if (outcome === 'error') {
      this.blame(placement, session, now);
    } else if (outcome === 'refused' && session) {
      session.shunnedUntil = Math.max(session.shunnedUntil, now + 5 * SECOND);
    }
  }

  plan(endings: readonly Ending[], leaving: ReadonlySet<string>): RoundPlan {
    const { ledger, jobs } = this.replica;
    const ending = new Set(endings.map((e) => e.placement));
    const machines = this.machines(ending, leaving);
    const waiting = this.waiting(ending);
    const used = new Map(this.settings.teams.map((t) => [t.name, { ...ledger.used(t.name) }]));
    for (const p of ending) {
      const u = used.get(p.crew);
      if (u) take(u, p, 1);
    }
    const result = playRound({
      jobs: waiting,
      machines,
      teams: this.settings.teams.map((t) => ({
        name: t.name,
        used: used.get(t.name) as Amounts,
        guaranteed: { cpus: t.cpus, gpus: t.gpus },
        most: { cpus: t.cpusMax, gpus: t.gpusMax },
      })),
      prices: ledger.prices,
      options: OPTIONS,
      random: this.random,
    });
    const needs = waiting
      .filter((j) => (result.unmet.get(j.id) ?? 0) > 0)
      .sort((a, b) => b.priority - a.priority || a.order - b.order)
      .map((job) => ({ job, count: result.unmet.get(job.id) ?? 0 }));
    const unmet: Record<string, number> = {};
    for (const { job, count } of needs) unmet[job.crew] = (unmet[job.crew] ?? 0) + count * job.need.cpus;
    const prices: RoundPlan['prices'] = {};
    for (const [shape, p] of result.prices) prices[shape] = [digits(p.cpu), digits(p.gpu), digits(p.mem)];
    if (result.starts.length > 0 || needs.length > 0) {
      this.log.debug({ starts: result.starts.length, unmet, prices, machines: machines.length }, 'round');
    }
    return {
      starts: this.group(result.starts, jobs),
      prices,
      unmet,
      needs,
      soon: this.soon(ending),
    };
  }

  /** Expected time a running task still takes; 0 if it should be over. */
  remaining(placement: Placement): Micros {
    const job = this.replica.jobs.get(placement.job);
    if (!job) return 0;
    const session = this.roster.sessions.get(placement.host);
    const began = session?.runningSince.get(attemptKey(placement.piece, placement.try));
    const whole = fromSeconds(job.spec.ExpectS) * (this.ratios.get(job.spec.Lane) ?? 1);
    return began === undefined ? whole : Math.max(0, began + whole - this.clock.now());
  }

  private blame(placement: Placement, session: Session | undefined, now: Micros): void {
    let trouble = this.troubles.get(placement.job);
    if (!trouble) this.troubles.set(placement.job, (trouble = { hosts: new Set(), until: 0 }));
    trouble.hosts.add(placement.host);
    // Failing on machine after machine, a job is itself at fault: it tries again ever more rarely and the
    // machines are not blamed. Failing on one, the machine is.
    if (trouble.hosts.size >= 3) {
      trouble.until = now + Math.min(120, 2 ** trouble.hosts.size) * SECOND;
    } else if (session) {
      session.errors++;
      session.shunnedUntil = now + SHUN * 2 ** Math.min(4, session.errors - 1);
    }
  }

  private machines(ending: ReadonlySet<Placement>, leaving: ReadonlySet<string>): RoomyMachine[] {
    const { ledger, types } = this.replica;
    const now = this.clock.now();
    const machines: RoomyMachine[] = [];
    for (const [host, session] of this.roster.sessions) {
      const type = types.get(session.report.Build);
      if (!type || session.state !== 'reporting' || leaving.has(host) || !ledger.hosts.has(host)) continue;
      if (session.shunnedUntil > now) continue;
      const room = amountsOf(type);
      for (const p of ledger.placementsOn(host)) if (!ending.has(p)) take(room, p, 1);
      // Something on it that the books don't have is being stopped; until it is gone the room is unknown.
      const strange = session.report.Pieces.some((p) => {
        if (p.Status === 'exited') return false;
        const at = parsePiece(p.Piece);
        const known = at ? ledger.placement(at.job, at.index) : undefined;
        return known?.host !== host || !sameCount(known.try, p.Try);
      });
      if (strange) continue;
      const { Build: build, Hall: hall, Loaners: loaners } = session.report;
      machines.push({ host, build, hall, loaners, total: amountsOf(type), room, warm: session.images });
    }
    return machines;
  }

  private waiting(ending: ReadonlySet<Placement>): WaitingJob[] {
    const { ledger, jobs } = this.replica;
    const now = this.clock.now();
    const wall = this.clock.wall();
    const out: WaitingJob[] = [];
    for (const [id, job] of jobs) {
      const { spec } = job;
      const book = ledger.books.get(id);
      const count = spec.Pieces - (book?.done.count ?? 0) - (book?.placed.size ?? 0);
      if (count <= 0 || (this.troubles.get(id)?.until ?? 0) > now) continue;
      const placedByHall = new Map<string, number>();
      for (const p of book?.placed.values() ?? []) {
        if (ending.has(p)) continue;
        const hall = this.hallOf(p.host);
        placedByHall.set(hall, (placedByHall.get(hall) ?? 0) + 1);
      }
      const waited = Math.max(0, wall - job.at * MS);
      out.push({
        id,
        crew: spec.Crew,
        need: { cpus: spec.Cpus, gpus: spec.Gpus, memGb: spec.MemGb },
        priority: RANK_PRIORITY[spec.Rank] * (1 + waited / WAIT_DOUBLES),
        order: job.stamp,
        waiting: count,
        pieces: spec.Pieces,
        builds: spec.Builds,
        hall: spec.Hall,
        samePlace: spec.SamePlace,
        scatter: spec.Scatter,
        loaners: spec.Loaners,
        bundle: spec.Bundle,
        placedByHall,
      });
    }
    return out;
  }

  private hallOf(host: string): string {
    return this.replica.ledger.hosts.get(host)?.hall ?? this.roster.sessions.get(host)?.report.Hall ?? '?';
  }

  private group(
    starts: readonly { job: string; host: string }[],
    jobs: ReadonlyMap<string, LiveJob>,
  ): StartGroup[] {
    const groups = new Map<string, StartGroup>();
    const open = new Map<string, Iterator<number>>();
    for (const { job, host } of starts) {
      const spec = jobs.get(job)?.spec;
      const session = this.roster.sessions.get(host);
      if (!spec || !session) continue;
      let indices = open.get(job);
      if (!indices) open.set(job, (indices = this.openIndices(job, spec.Pieces)));
      const index = indices.next();
      if (index.done === true) continue;
      let group = groups.get(job);
      if (!group) {
        group = { Job: job, Crew: spec.Crew, Need: [spec.Cpus, spec.Gpus, spec.MemGb], On: [] };
        groups.set(job, group);
      }
      group.On.push([index.value, host, session.report.Shift]);
    }
    return [...groups.values()];
  }

  private *openIndices(job: string, pieces: number): Generator<number> {
    const book = this.replica.ledger.books.get(job);
    for (let i = book?.done.firstOpen ?? 0; i < pieces; i++) {
      if (!book?.done.has(i) && !book?.placed.has(i)) yield i;
    }
  }

  private soon(ending: ReadonlySet<Placement>): Coming[] {
    const { ledger } = this.replica;
    const out: Coming[] = [];
    for (const [host, session] of this.roster.sessions) {
      if (session.state !== 'reporting') continue;
      const room: Amounts = { cpus: 0, gpus: 0, memGb: 0 };
      for (const p of ledger.placementsOn(host)) {
        if (!ending.has(p) && this.remaining(p) < SOON) take(room, p, -1);
      }
      const { Build: build, Hall: hall, Loaners: loaners } = session.report;
      if (fits({ cpus: 0.01, gpus: 0, memGb: 0.01 }, room)) out.push({ build, hall, loaners, room });
    }
    return out;
  }
}

function digits(price: number): number {
  return Math.round(price * 1e4) / 1e4;
}
