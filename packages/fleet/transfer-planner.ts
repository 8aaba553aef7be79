/**
 * Plans which machines the leader transfers between shard owners, in three passes: first machines with unused capacity,
 * then machines of the owner with the lowest price, then machines for unmet guarantees. Pure: no clock, no I/O.
 */
import {
  type PendingJob,
  type Resources,
  fits,
  countFitting,
  hasZoneConstraint,
  subtractResources,
  ZoneConstraint,
} from '#pricing';
import type { Micros } from '#wire';
import { type UnmetDemand, type Offer, isFeasible } from './offers.js';
import type { CapacityDemand } from './pending-capacity.js';

/** A machine that may be transferred, with its owner and the capacity that the owner's next round will leave free. */
export interface TransferCandidate extends Offer {
  host: string;
  owner: string;
  free: Resources;
  total: Resources;
  /**
   * True if the machine must stay with its owner for now: it is reserved for a task, runs a task of a gang, or was
   * transferred recently. Another transfer so soon would only keep it from running tasks.
   */
  isPinned: boolean;
  /** Returns the expected time until all tasks on the machine have ended. */
  busyFor: () => Micros;
}

/** Unmet demand and usage of a shard owner. */
export interface OwnerDemand {
  owner: string;
  unmetDemand: readonly UnmetDemand[];
  /** Highest price of a CPU in the owner's forecast round, in units of priority. */
  price: number;
  /** Guaranteed CPUs for which the owner's teams have unmet demand, less pending capacity. */
  guaranteeDeficit: number;
  /** CPUs that the owner's teams use above their guarantees. */
  usageAboveGuarantee: number;
}

/** Input of {@link planTransfers}. */
export interface TransferInput {
  owners: readonly OwnerDemand[];
  machines: readonly TransferCandidate[];
  /** True if the owner's node can reach workers in the zone. */
  canReach: (owner: string, zone: string) => boolean;
  /** Minimum difference between receiver's and donor's price for the transfer of a machine without unused capacity. */
  minPriceGap: number;
  /** Maximum number of machines that one owner transfers to another in a round to reduce its guarantee deficit. */
  maxDeficitTransfers: number;
}

/** A machine and the owner that receives it. */
export interface MachineTransfer {
  host: string;
  owner: string;
}

/** The transfers of a round. */
export interface TransferPlan {
  /** Transfers in the order in which they were planned. */
  transfers: MachineTransfer[];
  /**
   * Demand that unused capacity does not cover, keyed by owner. Transfers of the later passes do not reduce it, since
   * they provide no free capacity at once.
   */
  unmetDemand: Map<string, UnmetDemand[]>;
}

/** Plans the transfers of a round. Each machine is transferred at most once. */
export function planTransfers(input: TransferInput): TransferPlan {
  const planner = new TransferPlanner(input);
  // Owners that lack guaranteed CPUs choose first: one owner's large demand would take all unused capacity.
  const byDeficit = [...input.owners].sort((a, b) => b.guaranteeDeficit - a.guaranteeDeficit);
  for (const owner of byDeficit) planner.transferUnusedCapacity(owner);
  const byPrice = [...input.owners].sort((a, b) => b.price - a.price);
  for (const receiver of byPrice) planner.transferByPrice(receiver, byPrice);
  for (const receiver of byPrice) planner.transferForGuarantee(receiver);
  return planner.result();
}

/** Lower bound of a divisor, so that the unused fraction of a machine without CPUs is finite. */
const MIN_CPUS = 1e-6;

/** Runs the passes, and accumulates the planned transfers. */
class TransferPlanner {
  private readonly transfers: MachineTransfer[] = [];
  private readonly transferredHosts = new Set<string>();
  private readonly unmetDemand = new Map<string, UnmetDemand[]>();
  /** Unallocated capacity of each machine, which shrinks as demand is covered. Keyed by host. */
  private readonly free: ReadonlyMap<string, Resources>;
  /** Machines with unused capacity: few on a full fleet, so that a demand need not scan all machines. */
  private readonly machinesWithCapacity: readonly TransferCandidate[];

  constructor(private readonly input: TransferInput) {
    this.free = new Map(input.machines.map((machine) => [machine.host, { ...machine.free }]));
    this.machinesWithCapacity = input.machines.filter(({ free }) => free.cpus > 0 && free.memGb > 0);
  }

  result(): TransferPlan {
    return { transfers: this.transfers, unmetDemand: this.unmetDemand };
  }

  /** Runs the first pass for an owner: transfers machines with enough unused capacity for its tasks. */
  transferUnusedCapacity({ owner, unmetDemand }: OwnerDemand): void {
    const unserved: UnmetDemand[] = [];
    // Capacity that is left on a machine transferred for one demand is used for the next demands.
    const incoming: TransferCandidate[] = [];
    for (const demand of unmetDemand) {
      const rest = this.serveFromUnused(owner, demand, incoming);
      if (rest.count > 0) unserved.push(rest);
    }
    this.unmetDemand.set(owner, unserved);
  }

  /** Runs the second pass for an owner: transfers a machine from the owner of the lowest price if the gap suffices. */
  transferByPrice({ owner, price }: OwnerDemand, byPrice: readonly OwnerDemand[]): void {
    const demand = this.unmetDemand.get(owner)?.[0];
    const donor = [...byPrice].reverse().find((other) => other.owner !== owner);
    if (!demand || !donor || price - donor.price < this.input.minPriceGap) return;
    const [machine] = this.feasibleMachinesOf(donor, owner, demand).sort((a, b) => this.compareUnused(a, b));
    if (machine) this.transfer(machine, owner);
  }

  /**
   * Runs the third pass for an owner. A team below its guarantee should not wait for one machine a round while other
   * teams run above theirs. Transfers the machines that become free soonest, from the owner whose teams exceed their
   * guarantees most.
   */
  transferForGuarantee({ owner, guaranteeDeficit }: OwnerDemand): void {
    const demand = this.unmetDemand.get(owner)?.[0];
    const [donor] = [...this.input.owners].sort((a, b) => b.usageAboveGuarantee - a.usageAboveGuarantee);
    if (!demand || !donor || donor.owner === owner) return;
    let missingCpus = Math.min(guaranteeDeficit, donor.usageAboveGuarantee);
    if (missingCpus <= 0) return;
    const soonestFree = this.feasibleMachinesOf(donor, owner, demand)
      .map((machine) => ({ machine, busyFor: machine.busyFor() }))
      .sort((a, b) => a.busyFor - b.busyFor);
    for (const { machine } of soonestFree.slice(0, this.input.maxDeficitTransfers)) {
      if (missingCpus <= 0) break;
      missingCpus -= machine.total.cpus;
      this.transfer(machine, owner);
    }
  }

  /** Transfers machines with unused capacity for the demand. Returns the demand that is still not covered. */
  private serveFromUnused(owner: string, demand: UnmetDemand, incoming: TransferCandidate[]): UnmetDemand {
    const { job } = demand;
    const zones = this.zoneConstraintOf(job, owner, incoming);
    let remaining = demand.count;
    for (const machine of incoming) remaining -= this.allocate(machine, job, { count: remaining, zones });
    if (remaining === 0) return { ...demand, count: 0 };
    for (const machine of this.candidatesFor(job, owner)) {
      if (remaining === 0) break;
      if (!zones.allows(machine.zone)) continue;
      this.transfer(machine, owner);
      incoming.push(machine);
      remaining -= this.allocate(machine, job, { count: remaining, zones });
    }
    if (!hasZoneConstraint(job)) return { ...demand, count: remaining };
    return { ...demand, job: { ...job, placedByZone: zones.tasksByZone }, count: remaining };
  }

  /** Returns the transferable machines with unused capacity for a task of the job, most unused ones first. */
  private candidatesFor(job: PendingJob, owner: string): TransferCandidate[] {
    return this.machinesWithCapacity
      .filter((machine) => this.isTransferable(machine, owner) && this.hasCapacityFor(job, machine))
      .sort((a, b) => this.compareUnused(a, b));
  }

  /** Returns the zone constraint of the job. A single-zone job starts where most of its tasks have unused capacity. */
  private zoneConstraintOf(
    job: PendingJob,
    owner: string,
    incoming: readonly TransferCandidate[],
  ): ZoneConstraint {
    if (!job.singleZone) return new ZoneConstraint(job);
    const machines = [...incoming, ...this.candidatesFor(job, owner)];
    return ZoneConstraint.onMachines(
      job,
      machines.map((machine) => ({ ...machine, free: this.free.get(machine.host) ?? machine.free })),
    );
  }

  /** Allocates capacity of the machine to tasks of the job. Returns the number of tasks that got capacity. */
  private allocate(machine: TransferCandidate, job: PendingJob, { count, zones }: CapacityDemand): number {
    const free = this.free.get(machine.host);
    const maxTasks = Math.min(count, zones.remainingIn(machine.zone));
    if (!free || maxTasks === 0 || !isFeasible(job, machine)) return 0;
    const allocated = Math.min(maxTasks, countFitting(job.taskResources, free));
    subtractResources(free, job.taskResources, allocated);
    zones.onTasksPlaced(machine.zone, allocated);
    return allocated;
  }

  private transfer(machine: TransferCandidate, owner: string): void {
    this.transferredHosts.add(machine.host);
    this.transfers.push({ host: machine.host, owner });
  }

  private isTransferable(machine: TransferCandidate, owner: string): boolean {
    return (
      machine.owner !== owner &&
      !machine.isPinned &&
      !this.transferredHosts.has(machine.host) &&
      this.input.canReach(owner, machine.zone)
    );
  }

  private hasCapacityFor(job: PendingJob, machine: TransferCandidate): boolean {
    return isFeasible(job, machine) && fits(job.taskResources, this.free.get(machine.host) ?? machine.free);
  }

  /** Returns the donor's transferable machines that could hold a task of the demand if they were empty. */
  private feasibleMachinesOf(donor: OwnerDemand, owner: string, { job }: UnmetDemand): TransferCandidate[] {
    const zones = new ZoneConstraint(job);
    return this.input.machines.filter(
      (machine) =>
        machine.owner === donor.owner &&
        this.isTransferable(machine, owner) &&
        isFeasible(job, machine) &&
        zones.allows(machine.zone) &&
        fits(job.taskResources, machine.total),
    );
  }

  /** Compares machines by the unused fraction of their CPUs, largest first. */
  private compareUnused(a: TransferCandidate, b: TransferCandidate): number {
    return this.unusedFraction(b) - this.unusedFraction(a);
  }

  private unusedFraction({ host, total }: TransferCandidate): number {
    return (this.free.get(host)?.cpus ?? 0) / Math.max(total.cpus, MIN_CPUS);
  }
}
