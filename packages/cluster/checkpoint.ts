import type { Destination, RentalEntry, MachineEntry, MachineStatus, Ledger, StartGroup } from './ledger.js';
import type { Count } from '#wire';

/**
 * A checkpoint's rows, each small enough to be packed into a value. A fleet of a thousand machines is written
 * every minute or so into values of a few KiB, so rows are bare lists: names and machines are given once and
 * then go by their number, times count from the first row's, and what is as usual at the end is left out.
 */
export type CheckpointRow =
  | [k: 't', base: number]
  | [k: 'n', ...names: string[]]
  | [k: 'h', ...cells: HostCells]
  | [k: 'q', row: RentalEntry]
  | [k: 'p', share: number, shape: string, cpu: number, gpu: number, mem: number]
  | [
      k: 's',
      job: string,
      team: number,
      at: number,
      attempt: number,
      need: StartGroup['need'],
      on: PlacedTask[],
      gangSize?: number,
    ]
  | [k: 'd', job: string, ranges: string];

type PlacedTask = [index: number, machine: number, session: Count];

type HostCells = [
  ...[host: string, machineType: number, zone: number, spot: 0 | 1, since: number, share: number | null],
  ...[status?: number, images?: number[], ownershipCount?: number, lastReport?: MachineEntry['lastReport']],
  ...[to?: Destination | null, errors?: number, failedAt?: number],
];

const STATUSES: readonly MachineStatus[] = ['up', 'new', 'silent', 'recalled', 'faulty', 'lost'];
/** Tasks in one row, so that a row fits into any value. */
const ROW_TASKS = 40;
const ROW_RANGES = 60;
/** Names in one row, and how long they may be together. */
const ROW_NAMES = 20;
const ROW_NAME_LENGTH = 300;

export function checkpointRows(ledger: Ledger, isLive: (job: string) => boolean): CheckpointRow[] {
  const names = new Map<string, number>();
  const numberOf = (name: string): number => {
    let number = names.get(name);
    if (number === undefined) names.set(name, (number = names.size));
    return number;
  };
  const rows: CheckpointRow[] = [];
  let base = 0;
  for (const host of ledger.hosts.values()) base = Math.max(base, host.since);
  const machines = new Map<string, number>();
  for (const host of ledger.hosts.values()) {
    machines.set(host.host, machines.size);
    rows.push(['h', ...hostCells(host, base, numberOf)]);
  }
  for (const rental of ledger.rentals.values()) rows.push(['q', { ...rental }]);
  for (const [share, shapes] of ledger.prices) {
    for (const [shape, p] of shapes) rows.push(['p', share, shape, p.cpu, p.gpu, p.mem]);
  }
  for (const [job, entry] of ledger.jobEntries) {
    const open = new Map<number, PlacedTask[]>();
    for (const p of entry.placed.values()) {
      let on = open.get(p.attempt);
      if (!on || on.length === ROW_TASKS) {
        open.set(p.attempt, (on = []));
        const front = ['s', job, numberOf(p.team), p.at - base, p.attempt] as const;
        const need: StartGroup['need'] = [p.cpus, p.gpus, p.memGb];
        rows.push(p.gangSize === null ? [...front, need, on] : [...front, need, on, p.gangSize]);
      }
      on.push([p.index, machines.get(p.host) ?? -1, p.session]);
    }
    if (!isLive(job)) continue;
    const ranges = entry.done.ranges();
    for (let i = 0; i < ranges.length; i += ROW_RANGES) {
      rows.push(['d', job, ranges.slice(i, i + ROW_RANGES).join(',')]);
    }
  }
  const head: CheckpointRow[] = [['t', base]];
  const known = [...names.keys()];
  return [...head, ...nameRows(known), ...rows];
}

function nameRows(names: readonly string[]): CheckpointRow[] {
  const rows: CheckpointRow[] = [];
  let row: string[] = [];
  let length = 0;
  for (const name of names) {
    if (row.length === ROW_NAMES || (row.length > 0 && length + name.length > ROW_NAME_LENGTH)) {
      rows.push(['n', ...row]);
      row = [];
      length = 0;
    }
    row.push(name);
    length += name.length;
  }
  if (row.length > 0) rows.push(['n', ...row]);
  return rows;
}

/** What a checkpoint is read back into. */
export interface CheckpointSink {
  host(entry: MachineEntry): void;
  id(entry: RentalEntry): void;
  price(share: number, shape: string, row: [number, number, number]): void;
  done(job: string, ranges: string): void;
  start(group: StartGroup, attempt: number, at: number): void;
}

export function readRows(rows: readonly CheckpointRow[], sink: CheckpointSink): void {
  let base = 0;
  const names: string[] = [];
  const machines: string[] = [];
  const name = (number: number): string => names[number] ?? '';
  for (const row of rows) {
    if (row[0] === 't') base = row[1];
    else if (row[0] === 'n') names.push(...row.slice(1));
    else if (row[0] === 'h') {
      const [, ...cells] = row;
      machines.push(cells[0]);
      sink.host(hostOf(cells, base, name));
    } else if (row[0] === 'q') sink.id({ ...row[1] });
    else if (row[0] === 'p') sink.price(row[1], row[2], [row[3], row[4], row[5]]);
    else if (row[0] === 'd') sink.done(row[1], row[2]);
    else {
      const [, job, team, at, attempt, need, on, gangSize] = row;
      const tasks = on.map(([i, m, session]): [number, string, Count] => [i, machines[m] ?? '', session]);
      const gang = gangSize === undefined ? {} : { gang: { attempt, size: gangSize } };
      sink.start({ job, team: name(team), image: '', need, ...gang, tasks }, attempt, base + at);
    }
  }
}

function hostCells(host: MachineEntry, base: number, numberOf: (name: string) => number): HostCells {
  const usual = [0, [], 0, null, null, 0, 0];
  const tail: unknown[] = [
    ...[
      STATUSES.indexOf(host.status),
      host.images.map(numberOf),
      host.ownershipCount,
      host.lastReport,
      host.destination,
    ],
    ...[host.errors, host.failedAt],
  ];
  const isUsual = (cell: unknown, i: number): boolean =>
    Array.isArray(cell) ? i === 1 && cell.length === 0 : cell === usual[i];
  while (tail.length > 0 && isUsual(tail.at(-1), tail.length - 1)) tail.pop();
  const { machineType, zone, spot, since, share } = host;
  const front = [host.host, numberOf(machineType), numberOf(zone), spot ? 1 : 0, since - base, share];
  return [...front, ...tail] as HostCells;
}

function hostOf(cells: HostCells, base: number, name: (number: number) => string): MachineEntry {
  const [
    host,
    machineType,
    zone,
    spot,
    since,
    share,
    status,
    images,
    term,
    lastReport,
    to,
    errors,
    failedAt,
  ] = cells;
  return {
    ...{
      host,
      machineType: name(machineType),
      zone: name(zone),
      spot: spot === 1,
      since: base + since,
      share,
    },
    ...{ status: STATUSES[status ?? 0] ?? 'up', images: (images ?? []).map(name), ownershipCount: term ?? 0 },
    ...{
      lastReport: lastReport ?? null,
      destination: to ?? null,
      errors: errors ?? 0,
      failedAt: failedAt ?? 0,
    },
  };
}
