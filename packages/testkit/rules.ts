import type { JobStatus, Micros, Submission, Rank } from '#wire';

/** A broken rule of the protocol, by its name there. */
export class BrokenRule extends Error {
  constructor(
    readonly rule: string,
    detail: string,
  ) {
    super(`${rule}: ${detail}`);
  }
}

export interface MachineFacts {
  host: string;
  build: string;
  hall: string;
  loaners: boolean;
}

interface Running {
  piece: string;
  job: string;
  machine: MachineFacts;
}

interface JobFacts {
  spec: Submission;
  accepted: boolean;
  done: Set<number>;
  told: JobStatus | null;
  cancelAsked: boolean;
  /** When its user was first told that it is cancelled. */
  cancelledAt: Micros | null;
}

/**
 * Sees what really happens on the simulated machines and what users are told, and throws as soon as a rule
 * of the protocol is broken. It knows nothing of the service.
 */
export class RuleChecker {
  private readonly jobs = new Map<string, JobFacts>();
  private readonly running = new Map<string, Running>();
  private readonly used = new Map<string, { cpus: number; gpus: number }>();
  starts = 0;

  constructor(
    private readonly limits: ReadonlyMap<string, { cpus: number; gpus: number }>,
    private readonly cancel: Micros,
  ) {}

  submitted(spec: Submission): void {
    if (this.jobs.has(spec.Uid)) return;
    this.jobs.set(spec.Uid, {
      spec,
      accepted: false,
      done: new Set(),
      told: null,
      cancelAsked: false,
      cancelledAt: null,
    });
  }

  cancelAsked(id: string): void {
    const job = this.jobs.get(id);
    if (job) job.cancelAsked = true;
  }

  /** A user got this answer about this job. `sentAt` orders answers: an older request proves nothing newer. */
  told(id: string, status: number, state: JobStatus | null, now: Micros): void {
    const job = this.jobs.get(id);
    if (status === 200 || status === 201) {
      if (!job) throw new BrokenRule('invented', `${id} is answered ${status}`);
      job.accepted = true;
      this.toldState(id, job, state, now);
    } else if (job?.accepted && (status === 404 || status === 400 || status === 422)) {
      throw new BrokenRule('forgotten', `${id} is answered ${status}`);
    }
  }

  /** A task is on its machine: it has its image. */
  began(piece: string, machine: MachineFacts, now: Micros): void {
    const cut = piece.lastIndexOf('/');
    const id = piece.slice(0, cut);
    const job = this.jobs.get(id);
    if (!job) throw new BrokenRule('invented', `${piece} starts but nobody submitted it`);
    const other = this.running.get(piece);
    if (other) throw new BrokenRule('ran_twice', `${piece} on ${other.machine.host} and ${machine.host}`);
    if (job.cancelledAt !== null && now > job.cancelledAt + this.cancel) {
      throw new BrokenRule('ran_cancelled', `${piece} starts`);
    }
    this.checkPlace(job.spec, piece, machine);
    this.running.set(piece, { piece, job: id, machine });
    this.charge(job.spec, 1);
    this.starts++;
  }

  ended(piece: string, done: boolean): void {
    const was = this.running.get(piece);
    const cut = piece.lastIndexOf('/');
    const job = this.jobs.get(piece.slice(0, cut));
    if (was && job) {
      this.running.delete(piece);
      this.charge(job.spec, -1);
    }
    if (done) job?.done.add(Number(piece.slice(cut + 1)));
  }

  isDone(piece: string): boolean {
    const cut = piece.lastIndexOf('/');
    return this.jobs.get(piece.slice(0, cut))?.done.has(Number(piece.slice(cut + 1))) ?? false;
  }

  /** What must hold at every moment. */
  check(now: Micros): void {
    for (const task of this.running.values()) {
      const at = this.jobs.get(task.job)?.cancelledAt ?? null;
      if (at !== null && now > at + this.cancel) {
        throw new BrokenRule('ran_cancelled', `${task.piece} is still on ${task.machine.host}`);
      }
    }
  }

  /** At the end of a run without further trouble every accepted job should have been told final. */
  unfinished(): string[] {
    return [...this.jobs].filter(([, j]) => j.accepted && !isFinal(j.told)).map(([id]) => id);
  }

  private toldState(id: string, job: JobFacts, state: JobStatus | null, now: Micros): void {
    if (state === 'done' && job.done.size < job.spec.Pieces) {
      throw new BrokenRule('not_done', `${id} with ${job.done.size} of ${job.spec.Pieces} tasks done`);
    }
    if (state === 'withdrawn' && !job.cancelAsked)
      throw new BrokenRule('went_back', `${id} was never cancelled`);
    if (isFinal(job.told) && state !== job.told)
      throw new BrokenRule('went_back', `${id}: ${job.told}, ${state}`);
    job.told = state;
    if (state === 'withdrawn') job.cancelledAt ??= now;
  }

  private checkPlace(spec: Submission, piece: string, machine: MachineFacts): void {
    const bad = (why: string): never => {
      throw new BrokenRule('wrong_place', `${piece} on ${machine.host}: ${why}`);
    };
    if (spec.Builds && !spec.Builds.includes(machine.build)) bad('type');
    if (spec.Hall !== null && spec.Hall !== machine.hall) bad('zone');
    if (!spec.Loaners && machine.loaners) bad('spot');
    const others = [...this.running.values()].filter((r) => r.job === spec.Uid).map((r) => r.machine.hall);
    if (spec.SamePlace && others.some((hall) => hall !== machine.hall))
      bad('not the zone of its other tasks');
    const here = others.filter((hall) => hall === machine.hall).length + 1;
    if (spec.Scatter && here > Math.ceil(spec.Pieces / 2)) bad('too many in one zone');
  }

  private pieces(crew: string): string {
    const ours = [...this.running.values()].filter((r) => this.jobs.get(r.job)?.spec.Crew === crew);
    return ours.map((r) => `${r.piece} on ${r.machine.host}`).join(', ');
  }

  private charge(spec: Submission, sign: 1 | -1): void {
    const used = this.used.get(spec.Crew) ?? { cpus: 0, gpus: 0 };
    used.cpus += sign * spec.Cpus;
    used.gpus += sign * spec.Gpus;
    this.used.set(spec.Crew, used);
    const limit = this.limits.get(spec.Crew);
    if (limit && (used.cpus > limit.cpus + 1e-6 || used.gpus > limit.gpus + 1e-6)) {
      throw new BrokenRule(
        'quota',
        `${spec.Crew} uses ${used.cpus} CPUs and ${used.gpus} GPUs with ${this.pieces(spec.Crew)}`,
      );
    }
  }
}

function isFinal(state: JobStatus | null): boolean {
  return state === 'done' || state === 'withdrawn';
}

/** A job as users might submit it, for tests to vary. */
export function sampleJob(id: string, change: Partial<Submission> = {}): Submission {
  const rank: Rank = 'normal';
  return {
    ...{ Uid: id, Lane: 'batch', Crew: 'blue', Shape: 'array', Rank: rank, Pieces: 3 },
    ...{ Cpus: 2, Gpus: 0, MemGb: 4, Bundle: 'img-1', SizeGb: 1, Builds: null, Hall: null },
    ...{ SamePlace: false, Scatter: false, Loaners: true, ExpectS: 10, BookmarkS: 0, StashS: 0, DueS: null },
    ...change,
  };
}
