/** Codec of the jobs that users submit. */
import { type WireFields, isWireFields } from './codec.js';
import { isJobId, type JobShape, type JobSpec, MAX_TASKS, type Rank, RANKS } from './jobs.js';

const MAX_TEXT_LENGTH = 200;

const WIRE_SHAPES: Readonly<Record<JobShape, string>> = { array: 'array', gang: 'ensemble' };
const SHAPES_BY_WIRE_NAME: ReadonlyMap<unknown, JobShape> = new Map<unknown, JobShape>([
  [WIRE_SHAPES.array, 'array'],
  [WIRE_SHAPES.gang, 'gang'],
]);

type Validator = (value: unknown) => boolean;

const isAbsent: Validator = (value) => value === null || value === undefined;
const isText: Validator = (value) =>
  typeof value === 'string' && value.length > 0 && value.length <= MAX_TEXT_LENGTH;
const isNonNegativeNumber: Validator = (value) =>
  (typeof value === 'number' || typeof value === 'bigint') &&
  Number.isFinite(Number(value)) &&
  Number(value) >= 0;
const isBoolean: Validator = (value) => typeof value === 'boolean';
const isShape: Validator = (value) => SHAPES_BY_WIRE_NAME.has(value);
const isRank: Validator = (value) => RANKS.includes(value as Rank);
const isTaskCount: Validator = (value) => {
  const count = Number(value);
  return isNonNegativeNumber(value) && Number.isInteger(count) && count >= 1 && count <= MAX_TASKS;
};
const isTextList: Validator = (value) => Array.isArray(value) && value.every(isText);
/** Returns a validator that also accepts an absent field. */
const optional =
  (isValid: Validator): Validator =>
  (value) =>
    isAbsent(value) || isValid(value);

/** The validator of each field, in the order in which the fields are validated. */
const FIELD_VALIDATORS: Readonly<Record<string, Validator>> = {
  Uid: isJobId,
  Lane: isText,
  Crew: isText,
  Shape: isShape,
  Rank: isRank,
  Pieces: isTaskCount,
  Cpus: isNonNegativeNumber,
  Gpus: isNonNegativeNumber,
  MemGb: isNonNegativeNumber,
  Bundle: isText,
  SizeGb: isNonNegativeNumber,
  Builds: optional(isTextList),
  Hall: optional(isText),
  SamePlace: isBoolean,
  Scatter: isBoolean,
  Loaners: isBoolean,
  ExpectS: isNonNegativeNumber,
  BookmarkS: isNonNegativeNumber,
  StashS: isNonNegativeNumber,
  DueS: optional(isNonNegativeNumber),
};

/** A valid submission, or the name of the first field that is missing or invalid (`body` if the body isn't a map). */
export type ParsedSubmission = { readonly job: JobSpec } | { readonly invalid: string };

/** Validates and reads a submission from a decoded body. Fields that are not part of the protocol are ignored. */
export function parseSubmission(body: unknown): ParsedSubmission {
  if (!isWireFields(body)) return { invalid: 'body' };
  for (const [field, isValid] of Object.entries(FIELD_VALIDATORS)) {
    if (!isValid(body[field])) return { invalid: field };
  }
  return { job: decodeJob(body) };
}

/** Reads a job from validated fields. */
function decodeJob(body: WireFields): JobSpec {
  return {
    id: body['Uid'] as string,
    jobClass: body['Lane'] as string,
    team: body['Crew'] as string,
    shape: SHAPES_BY_WIRE_NAME.get(body['Shape'])!,
    rank: body['Rank'] as Rank,
    taskCount: Number(body['Pieces']),
    cpus: Number(body['Cpus']),
    gpus: Number(body['Gpus']),
    memGb: Number(body['MemGb']),
    image: body['Bundle'] as string,
    imageGb: Number(body['SizeGb']),
    machineTypes: (body['Builds'] as string[] | null | undefined) ?? null,
    zone: (body['Hall'] as string | null | undefined) ?? null,
    singleZone: body['SamePlace'] as boolean,
    spreadZones: body['Scatter'] as boolean,
    allowsSpot: body['Loaners'] as boolean,
    estimateS: Number(body['ExpectS']),
    checkpointS: Number(body['BookmarkS']),
    saveS: Number(body['StashS']),
    deadlineS: isAbsent(body['DueS']) ? null : Number(body['DueS']),
  };
}

/** The name of each field in the body of a submission. */
const WIRE_FIELD_NAMES: Readonly<Record<keyof JobSpec, string>> = {
  id: 'Uid',
  jobClass: 'Lane',
  team: 'Crew',
  shape: 'Shape',
  rank: 'Rank',
  taskCount: 'Pieces',
  cpus: 'Cpus',
  gpus: 'Gpus',
  memGb: 'MemGb',
  image: 'Bundle',
  imageGb: 'SizeGb',
  machineTypes: 'Builds',
  zone: 'Hall',
  singleZone: 'SamePlace',
  spreadZones: 'Scatter',
  allowsSpot: 'Loaners',
  estimateS: 'ExpectS',
  checkpointS: 'BookmarkS',
  saveS: 'StashS',
  deadlineS: 'DueS',
};

/** Returns the name of a field in the body of a submission. */
export function submissionFieldName(field: keyof JobSpec): string {
  return WIRE_FIELD_NAMES[field];
}

/** Encodes a job as the body of a submission, the inverse of {@link parseSubmission}. */
export function encodeSubmission(job: JobSpec): WireFields {
  const body: WireFields = {};
  for (const [field, name] of Object.entries(WIRE_FIELD_NAMES)) body[name] = job[field as keyof JobSpec];
  return { ...body, [WIRE_FIELD_NAMES.shape]: WIRE_SHAPES[job.shape] };
}

/** Reads the job id from the body of a submission that may be invalid otherwise. Returns null if it has no valid id. */
export function submittedId(body: unknown): string | null {
  const id = isWireFields(body) ? body['Uid'] : null;
  return isJobId(id) ? id : null;
}
