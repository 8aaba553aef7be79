/** Preemption: which running tasks to stop so that more urgent ones find capacity. */
import { fits, subtractResources } from './resources.js';
import type { Resources, PendingJob } from './types.js';

/** A running task as one that may be preempted. */
export interface Victim extends Resources {
  taskName: string;
  host: string;
  /** Of its job; the higher, the more urgent. */
  rank: number;
  /** Its team runs more than its guarantee. */
  isAboveGuarantee: boolean;
  /** Its progress can be saved. */
  canCheckpoint: boolean;
}

/** Tasks of one job that found no capacity and may preempt others. */
export interface PreemptionRequest {
  job: PendingJob;
  /** Tasks, each of which takes a machine of its own. */
  count: number;
  /** Compared with the rank of victims. */
  rank: number;
  /** It lies within its team's guarantee. */
  guaranteed: boolean;
}

/** A machine on which tasks may be stopped. */
export interface PreemptibleMachine {
  readonly host: string;
  /** Its free capacity, once all that is being stopped already has ended. */
  readonly freeResources: Resources;
  /** Whether the job's constraints admit the machine. */
  readonly isAllowed: (job: PendingJob) => boolean;
}

/** What {@link planPreemptions} decides on. */
export interface PreemptionInput {
  /** Tasks that found no capacity and have waited long enough to preempt others, most urgent first. */
  requests: readonly PreemptionRequest[];
  machines: readonly PreemptibleMachine[];
  /** Tasks that may be stopped at all. */
  victims: readonly Victim[];
  /** Tasks that may be stopped, at most. */
  maxPreemptions: number;
}

/**
 * Which tasks to stop: those of lower rank for one of higher rank, and what a team runs beyond its guarantee
 * for one within its own. Only work that can be saved gives way, and as little of it as will do.
 */
export function planPreemptions({ requests, machines, victims, maxPreemptions }: PreemptionInput): Victim[] {
  const plan = new PreemptionPlan(candidatesOf(machines, victims), maxPreemptions);
  for (const request of requests) plan.serve(request);
  return plan.preempted;
}

/** A machine with the tasks on it that could be stopped, those of lowest rank first. */
interface Candidate extends PreemptibleMachine {
  readonly victims: readonly Victim[];
}

/** Machines that have victims. Found by host once: machines times tasks would be looked at for every request else. */
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

/** A machine that is to take one task, and what has to be stopped on it. */
interface Choice {
  readonly host: string;
  readonly victims: readonly Victim[];
}

/** The preemptions decided on so far. A machine is freed for one task only. */
class PreemptionPlan {
  readonly preempted: Victim[] = [];
  private readonly usedHosts = new Set<string>();

  constructor(
    private readonly candidates: readonly Candidate[],
    private readonly maxPreemptions: number,
  ) {}

  /** Adds victims for as many of the request's tasks as possible; for a gang for all of them or none. */
  serve(request: PreemptionRequest): void {
    const choices: Choice[] = [];
    while (choices.length < request.count) {
      const choice = this.fewestVictims(request);
      if (!choice || this.preempted.length + choice.victims.length > this.maxPreemptions) break;
      this.add(choice);
      choices.push(choice);
    }
    // Capacity for a part of a gang is of no use to it.
    if (request.job.isGang && choices.length < request.count) this.revert(choices);
  }

  private add({ host, victims }: Choice): void {
    this.usedHosts.add(host);
    this.preempted.push(...victims);
  }

  /** Reverts what was added last. */
  private revert(choices: readonly Choice[]): void {
    for (const { host, victims } of choices) {
      this.usedHosts.delete(host);
      this.preempted.length -= victims.length;
    }
  }

  /** The first of the machines on which the fewest tasks have to be stopped for one of the request's. */
  private fewestVictims(request: PreemptionRequest): Choice | null {
    let best: Choice | null = null;
    for (const candidate of this.candidates) {
      if (this.usedHosts.has(candidate.host) || !candidate.isAllowed(request.job)) continue;
      const victims = victimsOn(candidate, request);
      if (victims && (!best || victims.length < best.victims.length))
        best = { host: candidate.host, victims };
    }
    return best;
  }
}

/** What to stop on the machine for one task of the request; null if all that may be stopped is not enough. */
function victimsOn(candidate: Candidate, { job, rank, guaranteed }: PreemptionRequest): Victim[] | null {
  const capacity = { ...candidate.freeResources };
  const chosen: Victim[] = [];
  for (const victim of candidate.victims) {
    if (fits(job.need, capacity)) break;
    if (victim.rank >= rank && !(guaranteed && victim.isAboveGuarantee)) continue;
    subtractResources(capacity, victim, -1);
    chosen.push(victim);
  }
  return fits(job.need, capacity) ? chosen : null;
}
