import type { Answer } from '#api';
import { endWrite, type Final, jobKey, overKey, type Replica } from '#cluster';
import { fits } from '#pricing';
import type { Settings } from '#settings';
import type { StoreClient } from '#store';
import {
  type Clock,
  isFields,
  isJobId,
  type JobAnswer,
  MS,
  parseSubmission,
  sleep,
  type Submission,
} from '#wire';

/** Another node may be able to: a new connection lets the load balancer choose again. */
const AWAY: Answer = { status: 503, body: { error: 'state not reachable' }, retryAfterS: 1, close: true };
const TRIES = 3;

export function unavailable(error: string): Answer {
  return { status: 503, body: { error }, retryAfterS: 1 };
}

/** What users ask for. Any node answers, and none before it has caught up with what any other may have said. */
export class UserDesk {
  constructor(
    private readonly settings: Settings,
    private readonly store: StoreClient,
    private readonly replica: Replica,
    private readonly clock: Clock,
  ) {}

  async submit(body: unknown): Promise<Answer> {
    const parsed = parseSubmission(body);
    if ('invalid' in parsed) {
      const malformed: Answer = { status: 400, body: { error: `invalid: ${parsed.invalid}` } };
      // The job that was accepted under an id stays the one it names, whatever else is sent under it later.
      const id = isFields(body) ? body['Uid'] : null;
      return isJobId(id) ? this.known(id, malformed) : malformed;
    }
    const { job } = parsed;
    if (this.replica.types.size === 0) return unavailable('machine types not known yet');
    const never = this.neverRuns(job);
    if (never !== null) return this.known(job.Uid, { status: 422, body: { error: never } });
    const value = { At: Math.floor(this.clock.wall() / MS), Job: job };
    for (let i = 0; i < TRIES; i++) {
      if (i > 0) await sleep(this.clock, 150 * MS);
      // Both keys must be absent: a repeat that comes after the job's end must not start it again.
      const result = await this.store.commit(
        [
          { path: jobKey(job.Uid), stamp: 0 },
          { path: overKey(job.Uid), stamp: 0 },
        ],
        [{ set: jobKey(job.Uid), value }],
      );
      if (result.kind === 'applied') return { status: 201, body: { Uid: job.Uid, Status: 'pending' } };
      if (result.kind === 'refused') return this.known(job.Uid, AWAY);
      if (result.kind === 'not_executed' && result.status !== 429) return AWAY;
    }
    return AWAY;
  }

  async show(id: string): Promise<Answer> {
    if (!isJobId(id)) return { status: 404, body: { error: 'no such job' } };
    return this.known(id, { status: 404, body: { error: 'no such job' } });
  }

  async withdraw(id: string): Promise<Answer> {
    const missing: Answer = { status: 404, body: { error: 'no such job' } };
    if (!isJobId(id)) return missing;
    for (let i = 0; i < TRIES; i++) {
      if (i > 0) await sleep(this.clock, 100 * MS);
      if (!(await this.replica.barrier())) return AWAY;
      const live = this.replica.jobs.get(id);
      if (!live) return this.known(id, missing);
      const result = await this.store.commit(
        [
          { path: jobKey(id), stamp: live.stamp },
          { path: overKey(id), stamp: 0 },
        ],
        [endWrite(id, 'withdrawn')],
      );
      if (result.kind === 'applied') return { status: 200, body: { Uid: id, Status: 'withdrawn' } };
      if (result.kind === 'not_executed' && result.status !== 429) return AWAY;
    }
    return AWAY;
  }

  /** The job's present state, or `otherwise` if there is no such job. */
  private async known(id: string, otherwise: Answer): Promise<Answer> {
    const settled = this.replica.knownFinal(id);
    if (settled) return over(id, settled);
    if (!(await this.replica.barrier())) return AWAY;
    const live = this.replica.jobs.get(id);
    if (live) return { status: 200, body: this.describe(id) };
    try {
      const final = await this.replica.final(id);
      return final ? over(id, final) : otherwise;
    } catch {
      return AWAY;
    }
  }

  private describe(id: string): JobAnswer {
    const book = this.replica.ledger.books.get(id);
    const running = book?.placed.size ?? 0;
    return { Uid: id, Status: running > 0 ? 'running' : 'pending', done: book?.done.count ?? 0, running };
  }

  private neverRuns(job: Submission): string | null {
    const team = this.settings.teams.find((t) => t.name === job.Crew);
    if (!team) return `unknown team ${job.Crew}`;
    const need = { cpus: job.Cpus, gpus: job.Gpus, memGb: job.MemGb };
    const open = [...this.replica.types.values()].some(
      (t) =>
        (job.Builds === null || job.Builds.includes(t.Sku)) &&
        (job.Hall === null || t.Halls.includes(job.Hall)) &&
        fits(need, { cpus: t.Cpus, gpus: t.Gpus, memGb: t.MemGb }),
    );
    if (!open) return 'a task fits no allowed machine type';
    if (!fits(need, { cpus: team.cpusMax, gpus: team.gpusMax, memGb: Infinity })) {
      return `a task needs more than the limit of team ${job.Crew}`;
    }
    return null;
  }
}

function over(id: string, final: Final): Answer {
  return { status: 200, body: { Uid: id, Status: final } };
}
