/**
 * Decides at submission whether a job can ever run: whether the cloud's machine types, with as many machines of each as
 * it takes, could run it within its team's limit. Tasks of an array may run one after the other, so one of them has to
 * find a place; all tasks of a gang have to find one at the same time.
 */
import { fits, type Resources, ZoneConstraint, type ZoneConstrainedJob } from '#pricing';
import type { Settings } from '#settings';
import { type JobSpec, type MachineType, submissionFieldName } from '#wire';

type Team = Settings['teams'][number];

/** Maximum number of characters of a field's value in the error text; a list of machine types may be long. */
const MAX_VALUE_LENGTH = 200;

/** What the feasibility of a job is checked against: the limits of the teams, and the machine types of the cloud. */
export interface FeasibilityLimits {
  readonly teams: readonly Team[];
  readonly machineTypes: Iterable<MachineType>;
}

/** Tasks of a job on machines of one type in one zone. */
export interface PlacedTasks {
  readonly machineType: string;
  readonly zone: string;
  readonly count: number;
}

/** The constraint of a job that no machines can satisfy. */
export interface Infeasibility {
  /** The field of the submission that states the constraint. */
  readonly field: keyof JobSpec;
  readonly reason: string;
}

/** Result of {@link placeOnUnlimitedMachines}: where the tasks that must run at the same time could run, or why not. */
export type UnlimitedPlacement = { readonly tasks: readonly PlacedTasks[] } | Infeasibility;

/** Finds a placement for a job on machines of any offered type, as if the cloud had any number of them. */
export function placeOnUnlimitedMachines(
  job: JobSpec,
  { teams, machineTypes }: FeasibilityLimits,
): UnlimitedPlacement {
  const team = teams.find(({ name }) => name === job.team);
  if (!team) return { field: 'team', reason: 'unknown team' };
  const offered = typesForTask(job, machineTypes);
  if ('field' in offered) return offered;
  return teamLimitInfeasibility(job, team) ?? placeInZones(job, offered.types);
}

/** Returns why the job can never run, with the field of the submission and its value; null if it can run. */
export function infeasibleReason(job: JobSpec, limits: FeasibilityLimits): string | null {
  const placement = placeOnUnlimitedMachines(job, limits);
  if (!('field' in placement)) return null;
  const { field, reason } = placement;
  const value = JSON.stringify(job[field]).slice(0, MAX_VALUE_LENGTH);
  return `${submissionFieldName(field)} ${value}: ${reason}`;
}

/** Returns the number of tasks that have to run at the same time. */
function simultaneousTaskCount({ shape, taskCount }: JobSpec): number {
  return shape === 'gang' ? taskCount : 1;
}

/** A constraint of one task on the machine type. */
interface TypeConstraint extends Infeasibility {
  readonly allows: (type: MachineType) => boolean;
}

/** Returns the constraints of one task on the machine type, in the order in which they are checked. */
function typeConstraints(job: JobSpec): TypeConstraint[] {
  const { machineTypes, cpus, gpus, memGb, zone } = job;
  const hasRoomFor =
    (demand: Partial<Resources>) =>
    (type: MachineType): boolean =>
      fits({ cpus: 0, gpus: 0, memGb: 0, ...demand }, type);
  const isTooLarge = 'a task needs more than any allowed machine type has';
  return [
    {
      field: 'machineTypes',
      reason: 'no such machine type is offered',
      allows: ({ name, zones }) => zones.length > 0 && (machineTypes?.includes(name) ?? true),
    },
    { field: 'cpus', reason: isTooLarge, allows: hasRoomFor({ cpus }) },
    { field: 'gpus', reason: isTooLarge, allows: hasRoomFor({ gpus }) },
    { field: 'memGb', reason: isTooLarge, allows: hasRoomFor({ memGb }) },
    {
      field: 'zone',
      reason: 'no machine type that a task fits is offered in this zone',
      allows: ({ zones }) => zone === null || zones.includes(zone),
    },
  ];
}

/** Returns the machine types that could run a task; the first constraint that leaves none if there are none. */
function typesForTask(
  job: JobSpec,
  machineTypes: Iterable<MachineType>,
): { readonly types: readonly MachineType[] } | Infeasibility {
  let types = [...machineTypes];
  for (const { field, reason, allows } of typeConstraints(job)) {
    types = types.filter(allows);
    if (types.length === 0) return { field, reason };
  }
  return { types };
}

/** Returns the resource of which the tasks need more than the team's limit, which covers CPUs and GPUs; null if none. */
function teamLimitInfeasibility(job: JobSpec, team: Team): Infeasibility | null {
  const count = simultaneousTaskCount(job);
  const tasks = count === 1 ? 'a task needs' : 'all tasks together need';
  const reason = `${tasks} more than the limit of team ${job.team}`;
  const limit = { cpus: team.cpusMax, gpus: team.gpusMax, memGb: 0 };
  if (!fits({ cpus: job.cpus * count, gpus: 0, memGb: 0 }, limit)) return { field: 'cpus', reason };
  if (!fits({ cpus: 0, gpus: job.gpus * count, memGb: 0 }, limit)) return { field: 'gpus', reason };
  return null;
}

/** Distributes the tasks that must run at the same time over the zones in which the machine types are offered. */
function placeInZones(job: JobSpec, types: readonly MachineType[]): UnlimitedPlacement {
  const unplacedJob: ZoneConstrainedJob = { ...job, placedByZone: new Map() };
  const constraint = new ZoneConstraint(unplacedJob);
  const tasks: PlacedTasks[] = [];
  let remaining = simultaneousTaskCount(job);
  const offers = types.flatMap(({ name, zones }) => zones.map((zone) => ({ machineType: name, zone })));
  for (const { machineType, zone } of offers) {
    const count = Math.min(remaining, constraint.remainingIn(zone));
    if (count === 0) continue;
    tasks.push({ machineType, zone, count });
    constraint.onTasksPlaced(zone, count);
    remaining -= count;
  }
  return remaining === 0 ? { tasks } : zoneInfeasibility(job, offers);
}

/** Returns why the tasks of a gang, each of which some zone could run, can't run in the allowed zones at the same time. */
function zoneInfeasibility(job: JobSpec, offers: readonly Pick<PlacedTasks, 'zone'>[]): Infeasibility {
  const zones = [...new Set(offers.map(({ zone }) => zone))].join(', ');
  const reason =
    job.singleZone || job.zone !== null
      ? 'all tasks can not be in one zone and spread over zones at the same time'
      : `at most half of the tasks may be in one zone, and machine types that a task fits are offered in ${zones} only`;
  return { field: 'spreadZones', reason };
}
