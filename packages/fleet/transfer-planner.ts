import { type Resources, fits, countFitting, subtractResources } from '#pricing';
import type { Micros } from '#wire';
import { type UnmetDemand, type Offer, isFeasible } from './offers.js';

/** A machine as the leader sees it: whose it is and what room its owner's next round will leave on it. */
export interface TransferCandidate extends Offer {
  host: string;
  owner: string;
  free: Resources;
  total: Resources;
  /** It was moved a moment ago: moving it on at once would only keep it from working. */
  isInCooldown: boolean;
  /** Time until all that is on it should have ended. */
  busyFor: () => Micros;
}

export interface OwnerDemand {
  owner: string;
  unmetDemand: readonly UnmetDemand[];
  /** Price of CPU in its last round. */
  price: number;
  /** CPUs that its teams lack of their guarantees, less those that are about to come free or on their way. */
  guaranteeDeficit: number;
  /** CPUs that its teams use beyond their guarantees. */
  usageAboveGuarantee: number;
}

export interface TransferInput {
  owners: readonly OwnerDemand[];
  machines: readonly TransferCandidate[];
  /** The owner's node can reach workers in this zone. */
  reaches: (owner: string, zone: string) => boolean;
  /** How much dearer the needy must be than the owner that gives a machine without unused room. */
  minPriceGap: number;
  /** Machines at the most that leave one owner in a round for what another is owed. */
  maxDeficitTransfers: number;
}

export interface MachineTransfer {
  host: string;
  owner: string;
}

export interface TransferPlan {
  transfers: MachineTransfer[];
  /** What no move serves, by owner. */
  unmetDemand: Map<string, UnmetDemand[]>;
}

/**
 * The leader's moves: machines with enough unused room to owners whose tasks found none, then, where there is
 * no unused room, one machine from the lowest-priced owner to the highest.
 */
export function planTransfers(input: TransferInput): TransferPlan {
  const moves: MachineTransfer[] = [];
  const left = new Map<string, UnmetDemand[]>();
  const rooms = new Map(input.machines.map((m) => [m.host, { ...m.free }]));
  // On a full fleet nearly all of them have none, and every need would look at each.
  const free = input.machines.filter((m) => m.free.cpus > 0 && m.free.memGb > 0);
  const moved = new Set<string>();
  const open = (m: TransferCandidate, owner: string): boolean =>
    m.owner !== owner && !m.isInCooldown && !moved.has(m.host) && input.reaches(owner, m.zone);
  const serves = (m: TransferCandidate, owner: string, { job }: UnmetDemand): boolean =>
    open(m, owner) && isFeasible(job, m) && fits(job.need, m.total);
  for (const { owner, unmetDemand: needs } of input.owners) {
    const rest: UnmetDemand[] = [];
    // Room on a machine that comes for one need serves the next ones, too.
    const coming: TransferCandidate[] = [];
    for (const need of needs) {
      const { job } = need;
      let wanted = need.count;
      const serve = (m: TransferCandidate): void => {
        const room = rooms.get(m.host);
        if (!room || wanted === 0 || !isFeasible(job, m)) return;
        const n = Math.min(wanted, countFitting(job.need, room));
        subtractResources(room, job.need, n);
        wanted -= n;
      };
      for (const m of coming) serve(m);
      if (wanted === 0) continue;
      const candidates = free
        .filter((m) => open(m, owner) && isFeasible(job, m) && fits(job.need, rooms.get(m.host) ?? m.free))
        .sort((a, b) => unused(b, rooms) - unused(a, rooms));
      for (const m of candidates) {
        if (wanted === 0) break;
        moved.add(m.host);
        moves.push({ host: m.host, owner });
        coming.push(m);
        serve(m);
      }
      if (wanted > 0) rest.push({ ...need, count: wanted });
    }
    left.set(owner, rest);
  }
  const dearest = [...input.owners].sort((a, b) => b.price - a.price);
  for (const rich of dearest) {
    const need = left.get(rich.owner)?.[0];
    const giver = [...dearest].reverse().find((o) => o.owner !== rich.owner);
    if (!need || !giver || rich.price - giver.price < input.minPriceGap) continue;
    const machine = input.machines
      .filter((m) => m.owner === giver.owner && serves(m, rich.owner, need))
      .sort((a, b) => unused(b, rooms) - unused(a, rooms))[0];
    if (!machine) continue;
    moved.add(machine.host);
    moves.push({ host: machine.host, owner: rich.owner });
  }
  // What a team is guaranteed can't wait for one machine a round while others run beyond their own guarantees.
  for (const { owner, guaranteeDeficit: owed } of dearest) {
    const need = left.get(owner)?.[0];
    const giver = [...input.owners].sort((a, b) => b.usageAboveGuarantee - a.usageAboveGuarantee)[0];
    if (!need || !giver || giver.owner === owner) continue;
    let cpus = Math.min(owed, giver.usageAboveGuarantee);
    if (cpus <= 0) continue;
    const soonest = input.machines
      .filter((m) => m.owner === giver.owner && serves(m, owner, need))
      .map((machine) => ({ machine, busyFor: machine.busyFor() }))
      .sort((a, b) => a.busyFor - b.busyFor);
    for (const { machine } of soonest.slice(0, input.maxDeficitTransfers)) {
      if (cpus <= 0) break;
      cpus -= machine.total.cpus;
      moved.add(machine.host);
      moves.push({ host: machine.host, owner });
    }
  }
  return { transfers: moves, unmetDemand: left };
}

/** The part of a machine that is unused. */
function unused(m: TransferCandidate, rooms: ReadonlyMap<string, Resources>): number {
  return (rooms.get(m.host)?.cpus ?? 0) / Math.max(m.total.cpus, 1e-6);
}
