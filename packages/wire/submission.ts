import { type Fields, isFields } from './codec.js';
import { isJobId, MAX_TASKS, RANKS, type Rank, type JobShape, type JobSpec } from './jobs.js';

const SHAPE_NAMES: Record<JobShape, string> = { array: 'array', gang: 'ensemble' };
const SHAPES = new Map<unknown, JobShape>([
  [SHAPE_NAMES.array, 'array'],
  [SHAPE_NAMES.gang, 'gang'],
]);

const absent = (v: unknown): boolean => v === null || v === undefined;
const text = (v: unknown): v is string => typeof v === 'string' && v.length > 0 && v.length <= 200;
const amount = (v: unknown): v is number =>
  (typeof v === 'number' || typeof v === 'bigint') && Number.isFinite(Number(v)) && Number(v) >= 0;
const flag = (v: unknown): v is boolean => typeof v === 'boolean';

/**
 * Checks a submission as it came off the wire. Returns the job with the fields the protocol names and no
 * others, or the name of the first field that is missing or invalid.
 */
export function parseSubmission(body: unknown): { job: JobSpec } | { invalid: string } {
  if (!isFields(body)) return { invalid: 'body' };
  const b = body;
  const shape = SHAPES.get(b['Shape']);
  const need: [string, boolean][] = [
    ['Uid', isJobId(b['Uid'])],
    ['Lane', text(b['Lane'])],
    ['Crew', text(b['Crew'])],
    ['Shape', shape !== undefined],
    ['Rank', RANKS.includes(b['Rank'] as Rank)],
    ['Pieces', Number.isInteger(Number(b['Pieces'])) && amount(b['Pieces']) && inRange(Number(b['Pieces']))],
    ['Cpus', amount(b['Cpus'])],
    ['Gpus', amount(b['Gpus'])],
    ['MemGb', amount(b['MemGb'])],
    ['Bundle', text(b['Bundle'])],
    ['SizeGb', amount(b['SizeGb'])],
    ['Builds', absent(b['Builds']) || (Array.isArray(b['Builds']) && b['Builds'].every(text))],
    ['Hall', absent(b['Hall']) || text(b['Hall'])],
    ['SamePlace', flag(b['SamePlace'])],
    ['Scatter', flag(b['Scatter'])],
    ['Loaners', flag(b['Loaners'])],
    ['ExpectS', amount(b['ExpectS'])],
    ['BookmarkS', amount(b['BookmarkS'])],
    ['StashS', amount(b['StashS'])],
    ['DueS', absent(b['DueS']) || amount(b['DueS'])],
  ];
  const bad = need.find(([, ok]) => !ok);
  if (bad || shape === undefined) return { invalid: bad?.[0] ?? 'Shape' };
  return {
    job: {
      id: b['Uid'] as string,
      jobClass: b['Lane'] as string,
      team: b['Crew'] as string,
      shape,
      rank: b['Rank'] as Rank,
      taskCount: Number(b['Pieces']),
      cpus: Number(b['Cpus']),
      gpus: Number(b['Gpus']),
      memGb: Number(b['MemGb']),
      image: b['Bundle'] as string,
      imageGb: Number(b['SizeGb']),
      machineTypes: (b['Builds'] as string[] | null | undefined) ?? null,
      zone: (b['Hall'] as string | null | undefined) ?? null,
      singleZone: b['SamePlace'] as boolean,
      spreadZones: b['Scatter'] as boolean,
      allowsSpot: b['Loaners'] as boolean,
      estimateS: Number(b['ExpectS']),
      checkpointS: Number(b['BookmarkS']),
      saveS: Number(b['StashS']),
      deadlineS: absent(b['DueS']) ? null : Number(b['DueS']),
    },
  };
}

/** A submission as it goes over the wire: what {@link parseSubmission} reads back. */
export function encodeSubmission(job: JobSpec): Fields {
  return {
    Uid: job.id,
    Lane: job.jobClass,
    Crew: job.team,
    Shape: SHAPE_NAMES[job.shape],
    Rank: job.rank,
    Pieces: job.taskCount,
    Cpus: job.cpus,
    Gpus: job.gpus,
    MemGb: job.memGb,
    Bundle: job.image,
    SizeGb: job.imageGb,
    Builds: job.machineTypes,
    Hall: job.zone,
    SamePlace: job.singleZone,
    Scatter: job.spreadZones,
    Loaners: job.allowsSpot,
    ExpectS: job.estimateS,
    BookmarkS: job.checkpointS,
    StashS: job.saveS,
    DueS: job.deadlineS,
  };
}

/** The id under which something was submitted, whatever else is wrong with it; null if it has none. */
export function submittedId(body: unknown): string | null {
  const id = isFields(body) ? body['Uid'] : null;
  return isJobId(id) ? id : null;
}

function inRange(pieces: number): boolean {
  return pieces >= 1 && pieces <= MAX_TASKS;
}
