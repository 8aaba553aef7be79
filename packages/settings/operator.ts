import { readFileSync } from 'node:fs';
import { isIPv4 } from 'node:net';
import { fromSeconds, type Micros } from '#wire';
import { SettingsError } from './error.js';

/** What an operator may turn beyond the platform's file. */
export interface Tuning {
  /** Least time between two rounds. */
  roundGap: Micros;
  /** Time after which a round is played without any news. */
  roundIdle: Micros;
  passes: number;
  step: number;
  gpuShapeCost: number;
  gpuTaskWeight: number;
  guaranteeWeight: number;
  /** Waiting this long doubles a job's priority. */
  waitDoubles: Micros;
  choices: number;
  /** Where the operators' listener is to be had; null: nowhere. */
  operatorListen: string | null;
  /** Duties are handed over when the process is asked to end (SIGTERM). */
  handsOverOnStop: boolean;
  /** What the state service shows is compared with what was seen before; nothing is done while it has lost some. */
  noticesLoss: boolean;
}

interface Knob {
  /** Path of the element in the file. */
  path: string;
  least: number;
  most: number;
  standard: number;
  whole: boolean;
  set: (tuning: Tuning, value: number) => void;
}

/** Every element the file may hold, with its range and default; units are part of the names. */
export const KNOBS: readonly Knob[] = [
  knob('round/gapMs', 20, 5000, 250, (t, v) => (t.roundGap = fromSeconds(v / 1000))),
  knob('round/idleMs', 100, 10_000, 1000, (t, v) => (t.roundIdle = fromSeconds(v / 1000))),
  { ...knob('pricing/passes', 1, 1000, 30, (t, v) => (t.passes = v)), whole: true },
  knob('pricing/step', 0.001, 10, 0.1, (t, v) => (t.step = v)),
  knob('pricing/gpuShapeCost', 0, 10, 0.5, (t, v) => (t.gpuShapeCost = v)),
  knob('pricing/gpuTaskWeight', 0, 10, 0.5, (t, v) => (t.gpuTaskWeight = v)),
  knob('pricing/guaranteeWeight', 0, 10, 0.5, (t, v) => (t.guaranteeWeight = v)),
  knob('pricing/waitDoublesS', 1, 86_400, 60, (t, v) => (t.waitDoubles = fromSeconds(v))),
  { ...knob('placement/choices', 1, 64, 6, (t, v) => (t.choices = v)), whole: true },
];

export function standardTuning(): Tuning {
  const tuning = { operatorListen: null, handsOverOnStop: false, noticesLoss: false } as Tuning;
  for (const k of KNOBS) k.set(tuning, k.standard);
  return tuning;
}

/** Reads an operators' file; unknown elements are ignored, a wrong value is named. */
export async function parseTuning(xml: string): Promise<Tuning> {
  // Only who has such a file pays for the parser at start-up.
  const { XMLParser, XMLValidator } = await import('fast-xml-parser');
  const valid = XMLValidator.validate(xml);
  if (valid !== true) throw new SettingsError(`operators' file, line ${valid.err.line}: ${valid.err.msg}`);
  const root = (new XMLParser({ parseTagValue: false }).parse(xml) as Record<string, unknown>)['micaworks'];
  if (root === undefined) throw new SettingsError("operators' file: micaworks: the root element is missing");
  const tuning = standardTuning();
  for (const k of KNOBS) {
    const text = k.path
      .split('/')
      .reduce<unknown>((at, name) => (at as Record<string, unknown> | undefined)?.[name], root);
    if (text === undefined) continue;
    const value = typeof text === 'string' && text.trim() !== '' ? Number(text) : NaN;
    if (!(value >= k.least && value <= k.most) || (k.whole && !Number.isInteger(value))) {
      const kind = k.whole ? 'a whole number' : 'a number';
      throw new SettingsError(`operators' file: ${k.path}: must be ${kind} from ${k.least} to ${k.most}`);
    }
    k.set(tuning, value);
  }
  tuning.operatorListen = listenAddress(root);
  tuning.handsOverOnStop = flagAt(root, 'operations', 'handOverOnStop');
  tuning.noticesLoss = flagAt(root, 'recovery', 'noticeLoss');
  return tuning;
}

const LISTEN_PATH = 'operations/listen';
const PORT_MOST = 65_535;

/** An element below a section of the file; undefined if the file doesn't have it. */
function elementAt(root: unknown, sectionName: string, name: string): unknown {
  const section = (root as Record<string, unknown>)[sectionName];
  if (typeof section !== 'object' || section === null) return undefined;
  return (section as Record<string, unknown>)[name];
}

/** A flag below a section; off if the file doesn't have it. */
function flagAt(root: unknown, section: string, name: string): boolean {
  const text = elementAt(root, section, name);
  if (text === undefined || text === 'false') return false;
  if (text === 'true') return true;
  throw new SettingsError(`operators' file: ${section}/${name}: must be true or false`);
}

/** The address of the operators' listener, if the file names one. */
function listenAddress(root: unknown): string | null {
  const address = elementAt(root, 'operations', 'listen');
  if (address === undefined) return null;
  const match =
    typeof address === 'string' ? /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/.exec(address.trim()) : null;
  const [, ip = '', port = ''] = match ?? [];
  const isAddress = isIPv4(ip) && Number(port) >= 1 && Number(port) <= PORT_MOST;
  if (isAddress) return `${ip}:${Number(port)}`;
  throw new SettingsError(
    `operators' file: ${LISTEN_PATH}: must be an IPv4 address and a port, such as 127.0.0.1:7070`,
  );
}

export async function loadTuning(file: string): Promise<Tuning> {
  let xml: string;
  try {
    xml = readFileSync(file, 'utf8');
  } catch (cause) {
    throw new SettingsError(`${file}: ${cause instanceof Error ? cause.message : String(cause)}`);
  }
  return parseTuning(xml);
}

function knob(
  path: string,
  least: number,
  most: number,
  standard: number,
  set: (t: Tuning, v: number) => void,
): Knob {
  return { path, least, most, standard, whole: false, set };
}
