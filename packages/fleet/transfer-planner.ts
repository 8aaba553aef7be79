/**
 * Decides which machines the leader transfers between the owners of shards, in three passes: unused capacity first, then
 * by the gap of prices, then for guarantees that are not met. Pure: no clock, no I/O.
 */
import { type PendingJob, type Resources, fits, countFitting, subtractResources } from '#pricing';
import type { Micros } from '#wire';
import { type UnmetDemand, type Offer, isFeasible } from './offers.js';

/** A machine as the leader sees it: whose it is, and the capacity that its owner's next round will leave free on it. */
export interface TransferCandidate extends Offer {
  host: string;
  owner: string;
  free: Resources;
  total: Resources;
  /** It was transferred a moment ago: a second transfer at once would only keep it from working. */
  isInCooldown: boolean;
  /** Time until all that is on it should have ended. */
  busyFor: () => Micros;
}

/** What the owner of a shard lacks and uses. */
export interface OwnerDemand {
  owner: string;
  unmetDemand: readonly UnmetDemand[];
  /** Price of CPU in its last round. */
  price: number;
  /** CPUs that its teams lack of their guarantees, less pending capacity. */
  guaranteeDeficit: number;
  /** CPUs that its teams use beyond their guarantees. */
  usageAboveGuarantee: number;
}

/** What {@link planTransfers} decides on. */
export interface TransferInput {
  owners: readonly OwnerDemand[];
  machines: readonly TransferCandidate[];
  /** The owner's node can reach workers in this zone. */
  canReach: (owner: string, zone: string) => boolean;
  /** By how much the receiver's price must exceed the donor's for a machine without unused capacity. */
  minPriceGap: number;
  /** Machines at the most that leave one owner in a round for the guarantee deficit of another. */
  maxDeficitTransfers: number;
}

/** A machine and the owner that it is to be transferred to. */
export interface MachineTransfer {
  host: string;
  owner: string;
}

/** The transfers of a round, in the order in which they were decided. */
export interface TransferPlan {
  transfers: MachineTransfer[];
  /** What unused capacity does not serve, by owner: the later passes free nothing at once. */
  unmetDemand: Map<string, UnmetDemand[]>;
}

/** Plans the transfers of a round. A machine is transferred once at most. */
export function planTransfers(input: TransferInput): TransferPlan {
  const planner = new TransferPlanner(input);
  for (const owner of input.owners) planner.transferUnusedCapacity(owner);
  const byPrice = [...input.owners].sort((a, b) => b.price - a.price);
  for (const receiver of byPrice) planner.transferByPrice(receiver, byPrice);
  for (const receiver of byPrice) planner.transferForGuarantee(receiver);
  return planner.result();
}

/** Keeps the unused part of a machine without CPUs finite. */
const MIN_CPUS = 1e-6;

/** Plans pass after pass, and holds what has been planned so far. */
class TransferPlanner {
  private readonly transfers: MachineTransfer[] = [];
  private readonly transferredHosts = new Set<string>();
  private readonly unmetDemand = new Map<string, UnmetDemand[]>();
  /** By host: shrinks as demand is served. */
  private readonly free: ReadonlyMap<string, Resources>;
  /** On a full fleet nearly no machine has unused capacity, and every demand would look at each. */
  private readonly machinesWithCapacity: readonly TransferCandidate[];

  constructor(private readonly input: TransferInput) {
    this.free = new Map(input.machines.map((machine) => [machine.host, { ...machine.free }]));
    this.machinesWithCapacity = input.machines.filter(({ free }) => free.cpus > 0 && free.memGb > 0);
  }

  result(): TransferPlan {
    return { transfers: this.transfers, unmetDemand: this.unmetDemand };
  }

  /** First pass: machines with enough unused capacity for tasks of the owner. */
  transferUnusedCapacity({ owner, unmetDemand }: OwnerDemand): void {
    const unserved: UnmetDemand[] = [];
    // Capacity of a machine that comes for one demand serves the next ones, too.
    const incoming: TransferCandidate[] = [];
    for (const demand of unmetDemand) {
      const count = this.serveFromUnused(owner, demand, incoming);
      if (count > 0) unserved.push({ ...demand, count });
    }
    this.unmetDemand.set(owner, unserved);
  }

  /** Second pass: one machine without unused capacity from the owner of lowest price, if the gap is large enough. */
  transferByPrice({ owner, price }: OwnerDemand, byPrice: readonly OwnerDemand[]): void {
    const demand = this.unmetDemand.get(owner)?.[0];
    const donor = [...byPrice].reverse().find((other) => other.owner !== owner);
    if (!demand || !donor || price - donor.price < this.input.minPriceGap) return;
    const [machine] = this.feasibleMachinesOf(donor, owner, demand).sort((a, b) => this.compareUnused(a, b));
    if (machine) this.transfer(machine, owner);
  }

  /**
   * Third pass: what a team is guaranteed can't wait for one machine a round while others run beyond their guarantees.
   * The machines that are free soonest come from the owner whose teams use most beyond theirs.
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

  /** Returns for how many tasks of the demand there is no unused capacity. */
  private serveFromUnused(owner: string, { job, count }: UnmetDemand, incoming: TransferCandidate[]): number {
    let remaining = count;
    for (const machine of incoming) remaining -= this.allocate(machine, job, remaining);
    if (remaining === 0) return 0;
    const candidates = this.machinesWithCapacity
      .filter((machine) => this.isTransferable(machine, owner) && this.hasCapacityFor(job, machine))
      .sort((a, b) => this.compareUnused(a, b));
    for (const machine of candidates) {
      if (remaining === 0) break;
      this.transfer(machine, owner);
      incoming.push(machine);
      remaining -= this.allocate(machine, job, remaining);
    }
    return remaining;
  }

  /** Takes capacity of the machine for up to `count` tasks. Returns for how many there was enough. */
  private allocate(machine: TransferCandidate, job: PendingJob, count: number): number {
    const free = this.free.get(machine.host);
    if (!free || count === 0 || !isFeasible(job, machine)) return 0;
    const allocated = Math.min(count, countFitting(job.taskResources, free));
    subtractResources(free, job.taskResources, allocated);
    return allocated;
  }

  private transfer(machine: TransferCandidate, owner: string): void {
    this.transferredHosts.add(machine.host);
    this.transfers.push({ host: machine.host, owner });
  }

  private isTransferable(machine: TransferCandidate, owner: string): boolean {
    return (
      machine.owner !== owner &&
      !machine.isInCooldown &&
      !this.transferredHosts.has(machine.host) &&
      this.input.canReach(owner, machine.zone)
    );
  }

  private hasCapacityFor(job: PendingJob, machine: TransferCandidate): boolean {
    return isFeasible(job, machine) && fits(job.taskResources, this.free.get(machine.host) ?? machine.free);
  }

  /** The donor's machines that could hold a task of the demand, were they empty. */
  private feasibleMachinesOf(donor: OwnerDemand, owner: string, { job }: UnmetDemand): TransferCandidate[] {
    return this.input.machines.filter(
      (machine) =>
        machine.owner === donor.owner &&
        this.isTransferable(machine, owner) &&
        isFeasible(job, machine) &&
        fits(job.taskResources, machine.total),
    );
  }

  /** Orders machines by the part of them that is unused, the largest first. */
  private compareUnused(a: TransferCandidate, b: TransferCandidate): number {
    return this.unusedFraction(b) - this.unusedFraction(a);
  }

  private unusedFraction({ host, total }: TransferCandidate): number {
    return (this.free.get(host)?.cpus ?? 0) / Math.max(total.cpus, MIN_CPUS);
  }
}
