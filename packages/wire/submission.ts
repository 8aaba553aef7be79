import { isFields } from './codec.js';
import { isJobId, MAX_PIECES, RANKS, type Rank, type Submission } from './messages.js';

const absent = (v: unknown): boolean => v === null || v === undefined;
const text = (v: unknown): v is string => typeof v === 'string' && v.length > 0 && v.length <= 200;
const amount = (v: unknown): v is number =>
  (typeof v === 'number' || typeof v === 'bigint') && Number.isFinite(Number(v)) && Number(v) >= 0;
const flag = (v: unknown): v is boolean => typeof v === 'boolean';

/**
 * Checks a submission as it came off the wire. Returns the job with the fields the protocol names and no
 * others, or the name of the first field that is missing or invalid.
 */
export function parseSubmission(body: unknown): { job: Submission } | { invalid: string } {
  if (!isFields(body)) return { invalid: 'body' };
  const b = body;
  const need: [string, boolean][] = [
    ['Uid', isJobId(b['Uid'])],
    ['Lane', text(b['Lane'])],
    ['Crew', text(b['Crew'])],
    ['Shape', b['Shape'] === 'array'],
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
  if (bad) return { invalid: bad[0] };
  return {
    job: {
      Uid: b['Uid'] as string,
      Lane: b['Lane'] as string,
      Crew: b['Crew'] as string,
      Shape: 'array',
      Rank: b['Rank'] as Rank,
      Pieces: Number(b['Pieces']),
      Cpus: Number(b['Cpus']),
      Gpus: Number(b['Gpus']),
      MemGb: Number(b['MemGb']),
      Bundle: b['Bundle'] as string,
      SizeGb: Number(b['SizeGb']),
      Builds: (b['Builds'] as string[] | null | undefined) ?? null,
      Hall: (b['Hall'] as string | null | undefined) ?? null,
      SamePlace: b['SamePlace'] as boolean,
      Scatter: b['Scatter'] as boolean,
      Loaners: b['Loaners'] as boolean,
      ExpectS: Number(b['ExpectS']),
      BookmarkS: Number(b['BookmarkS']),
      StashS: Number(b['StashS']),
      DueS: absent(b['DueS']) ? null : Number(b['DueS']),
    },
  };
}

function inRange(pieces: number): boolean {
  return pieces >= 1 && pieces <= MAX_PIECES;
}
