/** The operators' settings, which add to the platform's file. Every element of the operators' file is optional. */
import { isIPv4 } from 'node:net';
import { fromSeconds, type Micros, MS, SECOND } from '#wire';
import { SettingsError } from './error.js';
import { readSettingsFile } from './read-file.js';

/** The operators' settings. Times are in microseconds. */
export interface Tuning {
  /** Minimum time between two scheduling rounds. */
  roundGap: Micros;
  /** Time after which a scheduling round runs even if no state has changed. */
  roundIdle: Micros;
  /** Number of price passes in a scheduling round. */
  passes: number;
  /** Price step for an unmet demand of a whole machine, as a fraction of the highest priority. */
  step: number;
  /** Extra cost of a GPU shape for a task that needs no GPU, as a fraction of the highest priority. */
  gpuShapeCost: number;
  /** Increase in priority for a task that needs GPUs, as a fraction of its own priority. */
  gpuTaskWeight: number;
  /** Increase in priority for tasks within their team's guarantee, as a fraction of the highest priority. */
  guaranteeWeight: number;
  /** Waiting time after which a job's priority has doubled. */
  priorityDoublingTime: Micros;
  /** Number of random machines with free capacity compared for each task. The fullest of them gets the task. */
  choices: number;
  /** Address of the operators' listener; null for none. */
  operatorListen: string | null;
  /** True if the node hands off its roles when its process receives SIGTERM. */
  handsOffOnStop: boolean;
  /** True if the node detects data loss in the state service, and commits nothing while data is lost. */
  detectsDataLoss: boolean;
}

/** An element of the operators' file that holds a number. */
export interface TuningParameter {
  /** Path of the element in the file. A unit of time is a suffix of the name (`Ms`, `S`). */
  readonly path: string;
  readonly minimum: number;
  readonly maximum: number;
  /** True if only whole numbers are valid. */
  readonly isInteger: boolean;
  /** Returns the fields that a value in the file sets. */
  readonly apply: (value: number) => Partial<Tuning>;
}

/** All elements that hold a number, with their ranges. {@link defaultTuning} has the defaults. */
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

/** Returns the defaults, which apply without an operators' file and to every element that a file omits. */
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
    handsOffOnStop: false,
    detectsDataLoss: false,
  };
}

/**
 * Parses the text of an operators' file. Unknown elements are ignored. Throws {@link SettingsError} that names the
 * first element with an invalid value.
 */
export async function parseTuning(xml: string): Promise<Tuning> {
  const root = await parseXml(xml);
  const tuning = defaultTuning();
  for (const parameter of TUNING_PARAMETERS) {
    const value = numberAt(root, parameter);
    if (value !== null) Object.assign(tuning, parameter.apply(value));
  }
  tuning.operatorListen = addressAt(root, 'operations/listen');
  tuning.handsOffOnStop = flagAt(root, 'operations/handOverOnStop');
  tuning.detectsDataLoss = flagAt(root, 'recovery/noticeLoss');
  return tuning;
}

/** Reads and parses an operators' file. Throws {@link SettingsError} if it can't be read or is invalid. */
export async function loadTuning(file: string): Promise<Tuning> {
  return parseTuning(readSettingsFile(file));
}

/** Returns the content of the root element. Throws {@link SettingsError} if the text is not XML or has another root. */
async function parseXml(xml: string): Promise<unknown> {
  // Loaded on demand: a node without an operators' file starts faster.
  // XMLValidator is deprecated in favour of another package. It stays, since operators rely on its error messages.
  // eslint-disable-next-line @typescript-eslint/no-deprecated
  const { XMLParser, XMLValidator } = await import('fast-xml-parser');
  const valid = XMLValidator.validate(xml);
  if (valid !== true) throw new SettingsError(`operators' file, line ${valid.err.line}: ${valid.err.msg}`);
  const root = (new XMLParser({ parseTagValue: false }).parse(xml) as Record<string, unknown>)['micaworks'];
  if (root === undefined) throw new SettingsError("operators' file: micaworks: the root element is missing");
  return root;
}

/** Returns the content of the element at a path (`section/name`); undefined if the file doesn't have it. */
function elementAt(root: unknown, path: string): unknown {
  let element = root;
  for (const name of path.split('/')) {
    if (typeof element !== 'object' || element === null) return undefined;
    element = (element as Record<string, unknown>)[name];
  }
  return element;
}

/**
 * Returns the number in an element; null if the file doesn't have it. Throws {@link SettingsError} if it is invalid.
 */
function numberAt(root: unknown, { path, minimum, maximum, isInteger }: TuningParameter): number | null {
  const text = elementAt(root, path);
  if (text === undefined) return null;
  const value = typeof text === 'string' && text.trim() !== '' ? Number(text) : NaN;
  const isInRange = value >= minimum && value <= maximum;
  if (isInRange && (!isInteger || Number.isInteger(value))) return value;
  const kind = isInteger ? 'a whole number' : 'a number';
  throw new SettingsError(`operators' file: ${path}: must be ${kind} from ${minimum} to ${maximum}`);
}

/** Returns the flag in an element; false if the file doesn't have it. Throws {@link SettingsError} if it is invalid. */
function flagAt(root: unknown, path: string): boolean {
  const text = elementAt(root, path);
  if (text === undefined || text === 'false') return false;
  if (text === 'true') return true;
  throw new SettingsError(`operators' file: ${path}: must be true or false`);
}

/**
 * Returns the address in an element; null if the file doesn't have it. Throws {@link SettingsError} if it is invalid.
 */
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
