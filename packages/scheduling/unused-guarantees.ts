/** The guarantees that teams do not use, allocated to their pending tasks. */
import type { Ledger } from '#cluster';
import { countFitting, type PendingJob, type Resources, subtractResources } from '#pricing';
import type { Settings } from '#settings';

/** Allocates what the teams leave unused of their guarantees to pending tasks, in the order of the calls. */
export class UnusedGuarantees {
  /** Guaranteed resources that are neither used nor allocated yet. Guarantees do not cover memory. Keyed by team. */
  private readonly unused: ReadonlyMap<string, Resources>;

  constructor(teams: Settings['teams'], ledger: Pick<Ledger, 'teamUsage'>) {
    this.unused = new Map(
      teams.map(({ name, cpus, gpus }) => {
        const used = ledger.teamUsage(name);
        return [name, { cpus: cpus - used.cpus, gpus: gpus - used.gpus, memGb: Infinity }];
      }),
    );
  }

  /** Returns how many of the tasks lie within their team's guarantee, and allocates it to them. A gang gets all or none. */
  allocate(job: PendingJob, count: number): number {
    const unused = this.unused.get(job.team);
    if (!unused) return 0;
    const fittingCount = Math.min(count, countFitting(job.taskResources, unused));
    const guaranteedCount = job.isGang && fittingCount < count ? 0 : fittingCount;
    subtractResources(unused, job.taskResources, guaranteedCount);
    return guaranteedCount;
  }
}
