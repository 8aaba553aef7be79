/** Formats the output of `micaworks snapshot show`. */
import type { SnapshotHeader, SnapshotSummary } from '#recovery';

/** The object that `--json` prints. Its fields are a stable interface for scripts. */
export interface SnapshotOutput {
  /** The first line of the file, unchanged. */
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
  /** Size of the compressed file. */
  readonly bytes: number;
}

/** Returns the object that `--json` prints for a snapshot file of this size in bytes. */
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

/** Returns the rows of the table, each a name and a value. */
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
