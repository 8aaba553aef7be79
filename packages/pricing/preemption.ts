/** Preemption: selects the running tasks to stop so that more urgent tasks get capacity. */
import { fits, subtractResources } from './resources.js';
import type { Resources, PendingJob } from './types.js';
import type { ZoneConstraint } from './zone-constraint.js';

/** A running task that may be preempted, with the resources that its preemption frees. */
export interface Victim extends Resources {
  taskName: string;
  host: string;
  /** Index of the job's rank; a higher one is more urgent. */
  rank: number;
  /** True if the usage of the task's team exceeds the team's guarantee. */
  isAboveGuarantee: boolean;
  /** True if the task can write a checkpoint. Tasks that can't are never preempted. */
  canCheckpoint: boolean;
}

/** Tasks of one job that found no capacity and may preempt other tasks. */
export interface PreemptionRequest {
  job: PendingJob;
  /** What each zone may still take of the job's tasks. The tasks that machines are freed for are counted in it. */
  zones: ZoneConstraint;
  /** Number of tasks. A separate machine is freed for each of them. */
  count: number;
  /** Index of the job's rank. Only victims of lower rank are preempted, unless `isWithinGuarantee` applies. */
  rank: number;
  /** True if the tasks lie within their team's guarantee: they may preempt tasks above another team's guarantee. */
  isWithinGuarantee: boolean;
}

/** A machine on which tasks may be preempted. */
export interface PreemptibleMachine {
  readonly host: string;
  readonly zone: string;
  /** Free capacity of the machine once all tasks that are already being stopped have ended. */
  readonly freeResources: Resources;
  /** True if the job's constraints allow the machine. */
  readonly isAllowed: (job: PendingJob) => boolean;
}

/** Input of {@link planPreemptions}. */
export interface PreemptionInput {
  /** Tasks that found no capacity and have waited long enough to preempt other tasks, most urgent first. */
  requests: readonly PreemptionRequest[];
  machines: readonly PreemptibleMachine[];
  /** Tasks that are eligible for preemption. */
  victims: readonly Victim[];
  /** Maximum number of tasks to preempt. */
  maxPreemptions: number;
}

/**
 * Selects the tasks to preempt. A task may be preempted for a task of higher rank. A task above its team's guarantee
 * may also be preempted for a task within another team's guarantee. Only tasks that can write a checkpoint are
 * preempted, and as few of them as possible.
 */
export function planPreemptions({ requests, machines, victims, maxPreemptions }: PreemptionInput): Victim[] {
  const plan = new PreemptionPlan(candidatesOf(machines, victims), maxPreemptions);
  for (const request of requests) plan.planRequest(request);
  return plan.preempted;
}

/** A machine with its tasks that may be preempted, lowest rank first. */
interface Candidate extends PreemptibleMachine {
  readonly victims: readonly Victim[];
}

/** Returns the machines that have victims. Groups victims by host once, so that a request need not scan all tasks. */
function candidatesOf(machines: readonly PreemptibleMachine[], victims: readonly Victim[]): Candidate[] {
  const byHost = new Map<string, Victim[]>();
  for (const victim of victims) {
    if (!victim.canCheckpoint) continue;
    const onHost = byHost.get(victim.host);
    if (onHost) onHost.push(victim);
    else byHost.set(victim.host, [victim]);
  }
  for (const onHost of byHost.values()) onHost.sort((a, b) => a.rank - b.rank);
  return machines.flatMap((machine) => {
    const onHost = byHost.get(machine.host);
    return onHost ? [{ ...machine, victims: onHost }] : [];
  });
}

/** A machine chosen for one task of a request, and the tasks to preempt on it. */
interface MachineChoice {
  readonly host: string;
  readonly zone: string;
  readonly victims: readonly Victim[];
}

/** Accumulates the preemptions of a round. Each machine is freed for one task only. */
class PreemptionPlan {
  readonly preempted: Victim[] = [];
  private readonly usedHosts = new Set<string>();

  constructor(
    private readonly candidates: readonly Candidate[],
    private readonly maxPreemptions: number,
  ) {}

  /** Adds victims for as many of the request's tasks as possible; for a gang, for all of its tasks or none. */
  planRequest(request: PreemptionRequest): void {
    const chosen: MachineChoice[] = [];
    for (const choice of this.choicesFor(request)) {
      if (chosen.length >= request.count) break;
      if (this.preempted.length + choice.victims.length > this.maxPreemptions) break;
      if (!request.zones.allows(choice.zone)) continue;
      this.addChoice(choice, request.zones);
      chosen.push(choice);
    }
    // A gang cannot start with capacity for only a part of its tasks.
    if (request.job.isGang && chosen.length < request.count) this.revert(chosen, request.zones);
  }

  private addChoice({ host, zone, victims }: MachineChoice, zones: ZoneConstraint): void {
    this.usedHosts.add(host);
    zones.onTasksPlaced(zone, 1);
    this.preempted.push(...victims);
  }

  /** Reverts the choices, which must be the ones added last. */
  private revert(choices: readonly MachineChoice[], zones: ZoneConstraint): void {
    for (const { host, zone, victims } of choices) {
      this.usedHosts.delete(host);
      zones.onTasksPlaced(zone, -1);
      this.preempted.length -= victims.length;
    }
  }

  /**
   * Returns the machines that can be freed for one task of the request, those with the fewest victims first. Each machine
   * is looked at once, however many tasks the request has.
   */
  private choicesFor(request: PreemptionRequest): MachineChoice[] {
    const choices: MachineChoice[] = [];
    for (const candidate of this.candidates) {
      if (this.usedHosts.has(candidate.host) || !candidate.isAllowed(request.job)) continue;
      const victims = victimsOn(candidate, request);
      if (victims) choices.push({ host: candidate.host, zone: candidate.zone, victims });
    }
    return choices.sort((a, b) => a.victims.length - b.victims.length);
  }
}

/** Returns the victims on the machine for one task of the request; null if all eligible tasks together are too few. */
function victimsOn(
  candidate: Candidate,
  { job, rank, isWithinGuarantee }: PreemptionRequest,
): Victim[] | null {
  const capacity = { ...candidate.freeResources };
  const chosen: Victim[] = [];
  for (const victim of candidate.victims) {
    if (fits(job.taskResources, capacity)) break;
    if (victim.rank >= rank && !(isWithinGuarantee && victim.isAboveGuarantee)) continue;
    subtractResources(capacity, victim, -1);
    chosen.push(victim);
  }
  return fits(job.taskResources, capacity) ? chosen : null;
}
