/**
 * Where the cluster's state lies in the state service. All of it is below one prefix, so that a single watch
 * sees every change and "caught up to epoch E" has a meaning. What is over lies apart: a restart reads only
 * what is below `NOW`.
 */
export const ALL = 'mw/';
export const NOW = 'mw/now/';
export const BATON = 'mw/now/baton';
export const LEAD = 'mw/now/lead';
export const CHECKPOINT_HEAD = 'mw/now/checkpoint';
export const CHUNKS = 'mw/now/chunk/';
export const JOBS = 'mw/now/job/';
export const LOG = 'mw/now/log/';
export const TYPES = 'mw/now/type/';
export const OVER = 'mw/over/';
/** Never written: reading it costs one request and tells the present epoch. */
export const NOTHING = 'mw/nothing';

export function jobKey(id: string): string {
  return JOBS + id;
}

export function overKey(id: string): string {
  return OVER + id;
}

export function logKey(seq: number): string {
  return LOG + String(seq).padStart(12, '0');
}

export function chunkKey(seq: number, part: number): string {
  return `${CHUNKS}${String(seq).padStart(12, '0')}/${String(part).padStart(4, '0')}`;
}
