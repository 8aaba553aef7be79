/** What `micaworks snapshot show` prints of a snapshot. */
import type { SnapshotHeader, SnapshotSummary } from '#recovery';

/** What `--json` prints: its form is stable. */
export interface SnapshotOutput {
  /** The first line of the file, as it stands there. */
  readonly header: SnapshotHeader;
  readonly jobs: number;
  readonly finals: number;
  readonly machines: number;
  readonly rentals: number;
  readonly tasks: number;
  readonly machineTypes: number;
  readonly lines: number;
  readonly hasAllFinals: boolean;
  readonly positions: Readonly<Record<string, number>>;
  /** Size of the file. */
  readonly bytes: number;
}

/** The JSON form of what a snapshot holds, whose file has this size in bytes. */
export function encodeSnapshotOutput(summary: SnapshotSummary, bytes: number): SnapshotOutput {
  return {
    header: summary.header,
    jobs: summary.jobs,
    finals: summary.terminalStatuses,
    machines: summary.machines,
    rentals: summary.scaleOutRequests,
    tasks: summary.tasks,
    machineTypes: summary.machineTypes,
    lines: summary.lines,
    hasAllFinals: summary.hasAllTerminalStatuses,
    positions: summary.positions,
    bytes,
  };
}

/** The lines of the table, as pairs of a name and a value. */
export function snapshotRows(snapshot: SnapshotOutput): string[][] {
  const { header } = snapshot;
  const positions = Object.entries(snapshot.positions).map(([log, position]) => `${log}: ${position}`);
  return [
    ['taken at', new Date(header.takenAt).toISOString()],
    ['by', `${header.member} (of ${header.nodes.join(', ')})`],
    ['lost state', header.loss ?? 'not watched'],
    ['epoch, token', `${header.epoch}, ${header.token}`],
    ['logs', positions.join(', ')],
    ['jobs', String(snapshot.jobs)],
    ['tasks on machines', String(snapshot.tasks)],
    ['final answers', snapshot.hasAllFinals ? String(snapshot.finals) : `${snapshot.finals}, not all`],
    ['machines', String(snapshot.machines)],
    ['open rentals', String(snapshot.rentals)],
    ['size', `${snapshot.bytes} bytes, ${snapshot.lines} lines`],
  ];
}
