/** The operators' settings: what they may tune beyond the platform's file. Every element of their file is optional. */
import { isIPv4 } from 'node:net';
import { fromSeconds, type Micros, MS, SECOND } from '#wire';
import { SettingsError } from './error.js';
import { readSettingsFile } from './read-file.js';

/** What an operator may tune beyond the platform's file. */
export interface Tuning {
  /** Minimum time between two scheduling rounds. */
  roundGap: Micros;
  /** Time after which a scheduling round runs without any change. */
  roundIdle: Micros;
  /** Price adjustments a scheduling round. */
  passes: number;
  /** Price change for an unmet demand of a whole machine, as a fraction of the top priority. */
  step: number;
  /** Price of a GPU shape for a task without GPUs, as a fraction of the top priority. */
  gpuShapeCost: number;
  /** Fraction by which GPUs raise a task's priority. */
  gpuTaskWeight: number;
  /** Priority raise for use within a team's guarantee, as a fraction of the top priority. */
  guaranteeWeight: number;
  /** Waiting this long doubles a job's priority. */
  priorityDoublingTime: Micros;
  /** Random machines with free capacity that are considered for each task. */
  choices: number;
  /** Address of the operators' listener; null for none. */
  operatorListen: string | null;
  /** The node hands its roles over when its process is asked to end (SIGTERM). */
  handsOverOnStop: boolean;
  /** The node detects data loss in the state service, and commits nothing while data is lost. */
  detectsDataLoss: boolean;
}

/** An element of the file that holds a number. */
export interface TuningParameter {
  /** Path of the element in the file; the unit is a part of the name. */
  readonly path: string;
  readonly minimum: number;
  readonly maximum: number;
  /** Only whole numbers are valid. */
  readonly isInteger: boolean;
  /** The fields that a value in the file sets. */
  readonly apply: (value: number) => Partial<Tuning>;
}

/** Every element with a number that the file may hold, with its range; {@link defaultTuning} holds the defaults. */
export const TUNING_PARAMETERS: readonly TuningParameter[] = [
  {
    path: 'round/gapMs',
    minimum: 20,
    maximum: 5000,
    isInteger: false,
    apply: (value) => ({ roundGap: fromMilliseconds(value) }),
  },
  {
    path: 'round/idleMs',
    minimum: 100,
    maximum: 10_000,
    isInteger: false,
    apply: (value) => ({ roundIdle: fromMilliseconds(value) }),
  },
  {
    path: 'pricing/passes',
    minimum: 1,
    maximum: 1000,
    isInteger: true,
    apply: (value) => ({ passes: value }),
  },
  {
    path: 'pricing/step',
    minimum: 0.001,
    maximum: 10,
    isInteger: false,
    apply: (value) => ({ step: value }),
  },
  {
    path: 'pricing/gpuShapeCost',
    minimum: 0,
    maximum: 10,
    isInteger: false,
    apply: (value) => ({ gpuShapeCost: value }),
  },
  {
    path: 'pricing/gpuTaskWeight',
    minimum: 0,
    maximum: 10,
    isInteger: false,
    apply: (value) => ({ gpuTaskWeight: value }),
  },
  {
    path: 'pricing/guaranteeWeight',
    minimum: 0,
    maximum: 10,
    isInteger: false,
    apply: (value) => ({ guaranteeWeight: value }),
  },
  {
    path: 'pricing/waitDoublesS',
    minimum: 1,
    maximum: 86_400,
    isInteger: false,
    apply: (value) => ({ priorityDoublingTime: fromSeconds(value) }),
  },
  {
    path: 'placement/choices',
    minimum: 1,
    maximum: 64,
    isInteger: true,
    apply: (value) => ({ choices: value }),
  },
];

const MS_PER_SECOND = 1000;
const ADDRESS_PATTERN = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;
const MAX_PORT = 65_535;

/** What holds without an operators' file, and for every element that a file leaves out. */
export function defaultTuning(): Tuning {
  return {
    roundGap: 250 * MS,
    roundIdle: SECOND,
    passes: 30,
    step: 0.1,
    gpuShapeCost: 0.5,
    gpuTaskWeight: 0.5,
    guaranteeWeight: 0.5,
    priorityDoublingTime: 60 * SECOND,
    choices: 6,
    operatorListen: null,
    handsOverOnStop: false,
    detectsDataLoss: false,
  };
}

/**
 * Reads the text of an operators' file. Unknown elements are ignored; a wrong value fails with {@link SettingsError}
 * that names its element.
 */
export async function parseTuning(xml: string): Promise<Tuning> {
  const root = await parseXml(xml);
  const tuning = defaultTuning();
  for (const parameter of TUNING_PARAMETERS) {
    const value = numberAt(root, parameter);
    if (value !== null) Object.assign(tuning, parameter.apply(value));
  }
  tuning.operatorListen = addressAt(root, 'operations/listen');
  tuning.handsOverOnStop = flagAt(root, 'operations/handOverOnStop');
  tuning.detectsDataLoss = flagAt(root, 'recovery/noticeLoss');
  return tuning;
}

/** Reads an operators' file; fails with {@link SettingsError} if it can't be read or used. */
export async function loadTuning(file: string): Promise<Tuning> {
  return parseTuning(readSettingsFile(file));
}

/** The content of the file's root element. */
async function parseXml(xml: string): Promise<unknown> {
  // Loaded on demand: a node without such a file starts faster.
  // The successor of XMLValidator is another package; operators read the messages of this one.
  // eslint-disable-next-line @typescript-eslint/no-deprecated
  const { XMLParser, XMLValidator } = await import('fast-xml-parser');
  const valid = XMLValidator.validate(xml);
  if (valid !== true) throw new SettingsError(`operators' file, line ${valid.err.line}: ${valid.err.msg}`);
  const root = (new XMLParser({ parseTagValue: false }).parse(xml) as Record<string, unknown>)['micaworks'];
  if (root === undefined) throw new SettingsError("operators' file: micaworks: the root element is missing");
  return root;
}

/** The content of the element at a path of a section and a name; undefined if the file doesn't have it. */
function elementAt(root: unknown, path: string): unknown {
  let element = root;
  for (const name of path.split('/')) {
    if (typeof element !== 'object' || element === null) return undefined;
    element = (element as Record<string, unknown>)[name];
  }
  return element;
}

/** The number that an element holds; null if the file doesn't have it. */
function numberAt(root: unknown, { path, minimum, maximum, isInteger }: TuningParameter): number | null {
  const text = elementAt(root, path);
  if (text === undefined) return null;
  const value = typeof text === 'string' && text.trim() !== '' ? Number(text) : NaN;
  const isInRange = value >= minimum && value <= maximum;
  if (isInRange && (!isInteger || Number.isInteger(value))) return value;
  const kind = isInteger ? 'a whole number' : 'a number';
  throw new SettingsError(`operators' file: ${path}: must be ${kind} from ${minimum} to ${maximum}`);
}

/** The flag that an element holds; off if the file doesn't have it. */
function flagAt(root: unknown, path: string): boolean {
  const text = elementAt(root, path);
  if (text === undefined || text === 'false') return false;
  if (text === 'true') return true;
  throw new SettingsError(`operators' file: ${path}: must be true or false`);
}

/** The address that an element holds; null if the file doesn't have it. */
function addressAt(root: unknown, path: string): string | null {
  const text = elementAt(root, path);
  if (text === undefined) return null;
  const match = typeof text === 'string' ? ADDRESS_PATTERN.exec(text.trim()) : null;
  const [, ip = '', port = ''] = match ?? [];
  if (isIPv4(ip) && Number(port) >= 1 && Number(port) <= MAX_PORT) return `${ip}:${Number(port)}`;
  throw new SettingsError(
    `operators' file: ${path}: must be an IPv4 address and a port, such as 127.0.0.1:7070`,
  );
}

function fromMilliseconds(milliseconds: number): Micros {
  return fromSeconds(milliseconds / MS_PER_SECOND);
}
