import { type Amounts, fits, slots, take } from '#pricing';
import type { Micros } from '#wire';
import { type NeedRow, type Offer, suits } from './planner.js';

/** A machine as the leader sees it: whose it is and what room its owner's next round will leave on it. */
export interface MovableMachine extends Offer {
  host: string;
  owner: string;
  room: Amounts;
  total: Amounts;
  /** It was moved a moment ago: moving it on at once would only keep it from working. */
  settling: boolean;
  /** Time until all that is on it should have ended. */
  busyFor: () => Micros;
}

export interface OwnerNeeds {
  owner: string;
  needs: readonly NeedRow[];
  /** Price of CPU in its last round. */
  price: number;
  /** CPUs that its teams lack of their guarantees, less those that are about to come free or on their way. */
  owed: number;
  /** CPUs that its teams use beyond their guarantees. */
  borrowed: number;
}

export interface MoveInput {
  owners: readonly OwnerNeeds[];
  machines: readonly MovableMachine[];
  /** The owner's node can reach workers in this zone. */
  reaches: (owner: string, zone: string) => boolean;
  /** How much dearer the needy must be than the owner that gives a machine without unused room. */
  priceGap: number;
  /** Machines at the most that leave one owner in a round for what another is owed. */
  mostOwed: number;
}

export interface Move {
  host: string;
  to: string;
}

export interface MoveResult {
  moves: Move[];
  /** What no move serves, by owner. */
  left: Map<string, NeedRow[]>;
}

/**
 * The leader's moves: machines with enough unused room to owners whose tasks found none, then, where there is
 * no unused room, one machine from the lowest-priced owner to the highest.
 */
export function planMoves(input: MoveInput): MoveResult {
  const moves: Move[] = [];
  const left = new Map<string, NeedRow[]>();
  const rooms = new Map(input.machines.map((m) => [m.host, { ...m.room }]));
  // On a full fleet nearly all of them have none, and every need would look at each.
  const free = input.machines.filter((m) => m.room.cpus > 0 && m.room.memGb > 0);
  const moved = new Set<string>();
  const open = (m: MovableMachine, owner: string): boolean =>
    m.owner !== owner && !m.settling && !moved.has(m.host) && input.reaches(owner, m.zone);
  const serves = (m: MovableMachine, owner: string, { job }: NeedRow): boolean =>
    open(m, owner) && suits(job, m) && fits(job.need, m.total);
  for (const { owner, needs } of input.owners) {
    const rest: NeedRow[] = [];
    // Room on a machine that comes for one need serves the next ones, too.
    const coming: MovableMachine[] = [];
    for (const need of needs) {
      const { job } = need;
      let wanted = need.count;
      const serve = (m: MovableMachine): void => {
        const room = rooms.get(m.host);
        if (!room || wanted === 0 || !suits(job, m)) return;
        const n = Math.min(wanted, slots(job.need, room));
        take(room, job.need, n);
        wanted -= n;
      };
      for (const m of coming) serve(m);
      if (wanted === 0) continue;
      const candidates = free
        .filter((m) => open(m, owner) && suits(job, m) && fits(job.need, rooms.get(m.host) ?? m.room))
        .sort((a, b) => unused(b, rooms) - unused(a, rooms));
      for (const m of candidates) {
        if (wanted === 0) break;
        moved.add(m.host);
        moves.push({ host: m.host, to: owner });
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
    if (!need || !giver || rich.price - giver.price < input.priceGap) continue;
    const machine = input.machines
      .filter((m) => m.owner === giver.owner && serves(m, rich.owner, need))
      .sort((a, b) => unused(b, rooms) - unused(a, rooms))[0];
    if (!machine) continue;
    moved.add(machine.host);
    moves.push({ host: machine.host, to: rich.owner });
  }
  // What a team is guaranteed can't wait for one machine a round while others run beyond their own guarantees.
  for (const { owner, owed } of dearest) {
    const need = left.get(owner)?.[0];
    const giver = [...input.owners].sort((a, b) => b.borrowed - a.borrowed)[0];
    if (!need || !giver || giver.owner === owner) continue;
    let cpus = Math.min(owed, giver.borrowed);
    if (cpus <= 0) continue;
    const soonest = input.machines
      .filter((m) => m.owner === giver.owner && serves(m, owner, need))
      .map((machine) => ({ machine, busyFor: machine.busyFor() }))
      .sort((a, b) => a.busyFor - b.busyFor);
    for (const { machine } of soonest.slice(0, input.mostOwed)) {
      if (cpus <= 0) break;
      cpus -= machine.total.cpus;
      moved.add(machine.host);
      moves.push({ host: machine.host, to: owner });
    }
  }
  return { moves, left };
}

/** The part of a machine that is unused. */
function unused(m: MovableMachine, rooms: ReadonlyMap<string, Amounts>): number {
  return (rooms.get(m.host)?.cpus ?? 0) / Math.max(m.total.cpus, 1e-6);
}
