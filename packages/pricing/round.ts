import { type Micros, SECOND } from '#wire';
import type {
  Amounts,
  Price,
  RoomyMachine,
  RoundInput,
  RoundOptions,
  RoundResult,
  WaitingJob,
} from './types.js';

/** Tolerance for sums of decimal amounts. */
const EPS = 1e-6;

/** Part of a machine stands idle for a larger task no longer than this. */
const KEPT_FOR: Micros = 30 * SECOND;

/** A shape: machines of one type and kind, priced together. Spot ones are a shape apart. */
export function shapeOf(machineType: string, spot: boolean): string {
  return spot ? `${machineType}+` : machineType;
}

export function fits(need: Amounts, room: Amounts): boolean {
  return need.cpus <= room.cpus + EPS && need.gpus <= room.gpus + EPS && need.memGb <= room.memGb + EPS;
}

/** How many tasks of this need fit into the room. */
export function slots(need: Amounts, room: Amounts): number {
  let count = Infinity;
  if (need.cpus > 0) count = Math.min(count, (room.cpus + EPS) / need.cpus);
  if (need.gpus > 0) count = Math.min(count, (room.gpus + EPS) / need.gpus);
  if (need.memGb > 0) count = Math.min(count, (room.memGb + EPS) / need.memGb);
  return Math.max(0, Math.floor(count));
}

export function take(room: Amounts, need: Amounts, times: number): void {
  room.cpus -= need.cpus * times;
  room.gpus -= need.gpus * times;
  room.memGb -= need.memGb * times;
}

interface Pool {
  shape: string;
  machineType: string;
  spot: boolean;
  machines: RoomyMachine[];
  room: Amounts;
  total: Amounts;
  price: Price;
  upkeep: number;
}

/** Tasks of one job that rank alike: those within their team's guarantee, or those beyond it. */
interface Segment {
  job: WaitingJob;
  priority: number;
  count: number;
}

/** Prices every shape, then places what waits: one round of the design. Pure but for the given randomness. */
export function playRound(input: RoundInput): RoundResult {
  const pools = poolByShape(input.machines, input.prices);
  const segments = withinLimits(input);
  const top = Math.max(1, ...segments.map((s) => s.priority));
  for (let pass = 0; pass < input.options.passes; pass++) movePrices(pools, segments, top, input.options);
  return place(input, pools, segments, top);
}

function poolByShape(machines: readonly RoomyMachine[], prices: ReadonlyMap<string, Price>): Pool[] {
  const pools = new Map<string, Pool>();
  for (const machine of machines) {
    const shape = shapeOf(machine.machineType, machine.spot);
    let pool = pools.get(shape);
    if (!pool) {
      const price = { ...(prices.get(shape) ?? { cpu: 0, gpu: 0, mem: 0 }) };
      const { machineType, spot, upkeep } = machine;
      pool = { shape, machineType, spot, upkeep, machines: [], room: nothing(), total: nothing(), price };
      pools.set(shape, pool);
    }
    pool.machines.push({ ...machine, room: { ...machine.room } });
    take(pool.room, machine.room, -1);
    take(pool.total, machine.total, -1);
  }
  // Cheapest first: of shapes of equal utility the first is chosen.
  return [...pools.values()].sort((a, b) => a.upkeep - b.upkeep || (a.shape < b.shape ? -1 : 1));
}

/**
 * Splits what waits into segments and leaves out what lies beyond its team's limit. A team's jobs come in
 * the order of their priority, equal ones in the order in which they were accepted.
 */
function withinLimits(input: RoundInput): Segment[] {
  const segments: Segment[] = [];
  const { gpuTaskWeight, guaranteeWeight } = input.options;
  const rank = (job: WaitingJob): number => job.priority * (job.need.gpus > 0 ? 1 + gpuTaskWeight : 1);
  const top = Math.max(1, ...input.jobs.map(rank));
  for (const team of input.teams) {
    const left = {
      cpus: team.most.cpus - team.used.cpus,
      gpus: team.most.gpus - team.used.gpus,
      memGb: Infinity,
    };
    const safe = {
      cpus: team.guaranteed.cpus - team.used.cpus,
      gpus: team.guaranteed.gpus - team.used.gpus,
      memGb: Infinity,
    };
    const queue = input.jobs.filter((j) => j.team === team.name);
    queue.sort((a, b) => rank(b) - rank(a) || a.order - b.order);
    for (const job of queue) {
      const count = Math.min(job.waiting, slots(job.need, left));
      const guaranteed = Math.min(count, slots(job.need, safe));
      take(left, job.need, count);
      take(safe, job.need, count);
      if (guaranteed > 0) {
        segments.push({ job, priority: rank(job) + guaranteeWeight * top, count: guaranteed });
      }
      if (count > guaranteed) segments.push({ job, priority: rank(job), count: count - guaranteed });
    }
  }
  return segments;
}

function allowed(job: WaitingJob, pool: Pool): boolean {
  if (pool.spot && !job.spot) return false;
  if (job.machineTypes && !job.machineTypes.includes(pool.machineType)) return false;
  return fits(job.need, pool.machines[0]?.total ?? nothing());
}

function utility(segment: Segment, pool: Pool, top: number, options: RoundOptions): number {
  const { need } = segment.job;
  const { price } = pool;
  const onGpuShape = need.gpus === 0 && pool.total.gpus > 0 ? options.gpuShapeCost * top : 0;
  return (
    segment.priority - (price.cpu * need.cpus + price.gpu * need.gpus + price.mem * need.memGb) - onGpuShape
  );
}

/**
 * One price pass: every task picks its best shape, and each price follows the gap on its shape. A step is so large
 * that a whole machine's worth of a resource moves by the same part of top priority, and it stays within that
 * while the first machines of a shape come up and a hundred times as much is asked as there is. Prices far above
 * all that anyone would pay come down only as room comes free, which on a full fleet takes minutes; until then
 * tasks would rank by the size of their demand alone, and urgent ones that need a whole machine come last.
 */
function movePrices(pools: Pool[], segments: Segment[], top: number, options: RoundOptions): void {
  const chosen = new Map<Pool, Amounts>(pools.map((p) => [p, nothing()]));
  for (const segment of segments) {
    let best: Pool | null = null;
    let bestUtility = 0;
    for (const pool of pools) {
      if (!allowed(segment.job, pool)) continue;
      const u = utility(segment, pool, top, options);
      if (u > bestUtility) [best, bestUtility] = [pool, u];
    }
    if (best) take(chosen.get(best) ?? nothing(), segment.job.need, -segment.count);
  }
  for (const pool of pools) {
    const demand = chosen.get(pool) ?? nothing();
    const move = (price: number, want: number, room: number, total: number): number => {
      if (total <= 0) return 0;
      const step = (options.step * top * pool.machines.length) / total;
      return Math.max(0, price + step * Math.min(1, (want - room) / total));
    };
    pool.price.cpu = move(pool.price.cpu, demand.cpus, pool.room.cpus, pool.total.cpus);
    pool.price.gpu = move(pool.price.gpu, demand.gpus, pool.room.gpus, pool.total.gpus);
    pool.price.mem = move(pool.price.mem, demand.memGb, pool.room.memGb, pool.total.memGb);
  }
}

function place(input: RoundInput, pools: Pool[], segments: Segment[], top: number): RoundResult {
  const { options, random } = input;
  const starts: RoundResult['starts'] = [];
  const unmet = new Map<string, number>();
  const kept = new Set<string>();
  const zones = new Map<string, ZoneRule>();
  const ranked = segments.map((segment) => {
    const open = pools
      .filter((pool) => allowed(segment.job, pool))
      .map((pool) => ({ pool, u: utility(segment, pool, top, options) }))
      .sort((a, b) => (Math.abs(b.u - a.u) > EPS ? b.u - a.u : a.pool.upkeep - b.pool.upkeep));
    return { segment, open, best: open[0]?.u ?? -Infinity };
  });
  ranked.sort((a, b) => b.best - a.best || a.segment.job.order - b.segment.job.order);
  for (const { segment, open } of ranked) {
    const { job } = segment;
    let rule = zones.get(job.id);
    if (!rule) zones.set(job.id, (rule = new ZoneRule(job, input.machines)));
    let left = segment.count;
    for (const { pool } of open) {
      if (left === 0 || starts.length >= options.mostStarts) break;
      const roomy = pool.machines.filter((m) => rule.open(m.zone) && fits(job.need, m.room));
      // A machine that has the image starts the task at once: the random choice is among those first.
      const warm = roomy.filter((m) => m.warm.includes(job.image));
      const cold = roomy.filter((m) => !m.warm.includes(job.image));
      for (const group of [warm, cold]) {
        while (left > 0 && group.length > 0 && starts.length < options.mostStarts) {
          const at = tightest(group, random, options.choices);
          const machine = group[at] as RoomyMachine;
          if (!rule.open(machine.zone) || !fits(job.need, machine.room)) {
            group[at] = group[group.length - 1] as RoomyMachine;
            group.pop();
            continue;
          }
          take(machine.room, job.need, 1);
          rule.placed(machine.zone);
          starts.push({ job: job.id, host: machine.host });
          left--;
        }
      }
    }
    if (left === 0) continue;
    unmet.set(job.id, (unmet.get(job.id) ?? 0) + left);
    for (const { pool } of open) {
      const hosts = reserve(pool.machines, job, rule, left);
      left -= hosts.length;
      for (const host of hosts) kept.add(host);
    }
  }
  const left = new Map(pools.flatMap((p) => p.machines.map((m) => [m.host, m.room])));
  return { starts, prices: new Map(pools.map((p) => [p.shape, p.price])), unmet, left, kept };
}

/**
 * Keeps room for tasks that need more than comes free at a time: machines that could hold one, and already have
 * part of the room, take nothing of lower rank until the rest is free, too. Otherwise small tasks would fill
 * each half as it comes, and a task that needs a whole machine would wait for ever on a full fleet. Those that
 * are free soonest come first.
 */
function reserve(
  machines: readonly RoomyMachine[],
  job: WaitingJob,
  rule: ZoneRule,
  count: number,
): string[] {
  if (count <= 0) return [];
  const partly = machines.filter(
    (m) => m.room.cpus > EPS && !fits(job.need, m.room) && fits(job.need, m.total) && rule.open(m.zone),
  );
  const soonest = partly
    .map((machine) => ({ machine, busyFor: machine.busyFor() }))
    .filter(({ busyFor }) => busyFor <= KEPT_FOR)
    .sort((a, b) => a.busyFor - b.busyFor)
    .slice(0, count);
  for (const { machine } of soonest) machine.room = nothing();
  return soonest.map(({ machine }) => machine.host);
}

/**
 * Of some random roomy machines the one with least room left: whole machines stay free for large tasks, and
 * idle ones can be returned.
 */
function tightest(group: readonly RoomyMachine[], random: () => number, choices: number): number {
  let best = Math.floor(random() * group.length);
  for (let i = 1; i < choices; i++) {
    const other = Math.floor(random() * group.length);
    if (filled(group[other]) > filled(group[best])) best = other;
  }
  return best;
}

function filled(machine: RoomyMachine | undefined): number {
  return machine && machine.total.cpus > 0 ? 1 - machine.room.cpus / machine.total.cpus : 0;
}

/** Which zones a job's next task may go to, given where its other tasks are at this moment. */
class ZoneRule {
  private readonly counts: Map<string, number>;
  private readonly half: number;
  private readonly only: string | null;

  constructor(
    private readonly job: WaitingJob,
    machines: readonly RoomyMachine[],
  ) {
    this.counts = new Map(job.placedByZone);
    this.half = Math.ceil(job.taskCount / 2);
    this.only = job.singleZone && this.counts.size === 0 ? roomiest(job, machines) : null;
  }

  open(zone: string): boolean {
    const { job, counts } = this;
    if (job.zone !== null && zone !== job.zone) return false;
    if (job.singleZone) {
      if (this.only !== null ? zone !== this.only : !counts.has(zone)) return false;
    }
    return !job.spreadZones || (counts.get(zone) ?? 0) < this.half;
  }

  placed(zone: string): void {
    this.counts.set(zone, (this.counts.get(zone) ?? 0) + 1);
  }
}

/** The zone with room for most of the job's tasks; a job tied to one zone starts there. */
function roomiest(job: WaitingJob, machines: readonly RoomyMachine[]): string | null {
  const room = new Map<string, number>();
  for (const m of machines) {
    const usable = (job.spot || !m.spot) && (job.machineTypes?.includes(m.machineType) ?? true);
    if (!usable || (job.zone !== null && job.zone !== m.zone)) continue;
    room.set(m.zone, (room.get(m.zone) ?? 0) + slots(job.need, m.room));
  }
  return [...room].sort((a, b) => b[1] - a[1])[0]?.[0] ?? null;
}

function nothing(): Amounts {
  return { cpus: 0, gpus: 0, memGb: 0 };
}
