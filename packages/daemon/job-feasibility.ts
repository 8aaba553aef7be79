/** Checks at submission that the tasks of a job can run on the machine types of the cloud, within the team's limit. */
import { fits } from '#pricing';
import type { Settings } from '#settings';
import type { JobSpec, MachineType } from '#wire';

type Team = Settings['teams'][number];

/** What the feasibility of a job is checked against: the limits of the teams, and the machine types of the cloud. */
export interface FeasibilityLimits {
  readonly teams: readonly Team[];
  readonly machineTypes: Iterable<MachineType>;
}

/** Returns why the job can never run, as the error text of the response to the user; null if it can run. */
export function infeasibleReason(job: JobSpec, { teams, machineTypes }: FeasibilityLimits): string | null {
  const team = teams.find(({ name }) => name === job.team);
  if (!team) return `unknown team ${job.team}`;
  if (![...machineTypes].some((type) => canRunTask(type, job))) return 'a task fits no allowed machine type';
  if (!isWithinTeamLimit(team, job, 1)) return `a task needs more than the limit of team ${job.team}`;
  return job.shape === 'gang' ? infeasibleGangReason(job, team) : null;
}

/** Returns why the tasks of a gang can never run at the same time; null if they can. */
function infeasibleGangReason(job: JobSpec, team: Team): string | null {
  if (!isWithinTeamLimit(team, job, job.taskCount))
    return `all tasks together need more than the limit of team ${job.team}`;
  const requiresOneZone = job.singleZone || job.zone !== null;
  if (job.spreadZones && job.taskCount > 1 && requiresOneZone)
    return 'all tasks can not be in one zone and spread over zones at the same time';
  return null;
}

/** True if the job allows the machine type, and one task fits an empty machine of that type in an allowed zone. */
function canRunTask(type: MachineType, job: JobSpec): boolean {
  return (
    (job.machineTypes === null || job.machineTypes.includes(type.name)) &&
    (job.zone === null || type.zones.includes(job.zone)) &&
    fits(
      { cpus: job.cpus, gpus: job.gpus, memGb: job.memGb },
      { cpus: type.cpus, gpus: type.gpus, memGb: type.memGb },
    )
  );
}

/** True if `taskCount` tasks of the job fit the team's limit, which covers CPUs and GPUs but not memory. */
function isWithinTeamLimit(team: Team, job: JobSpec, taskCount: number): boolean {
  const demand = { cpus: job.cpus * taskCount, gpus: job.gpus * taskCount, memGb: 0 };
  return fits(demand, { cpus: team.cpusMax, gpus: team.gpusMax, memGb: Infinity });
}
