import type { DutyName } from '#duties';

/**
 * Where the cluster's state lies in the state service. All of it is below one prefix, so that a single watch
 * sees every change and "caught up to epoch E" has a meaning. What is over lies apart: a restart reads only
 * what is below `NOW`.
 */
export const ALL = 'mw/';
export const NOW = 'mw/now/';
export const TOKEN_KEY = 'mw/now/token';
export const LEAD = 'mw/now/lead';
export const CHECKPOINT_HEAD = 'mw/now/checkpoint';
export const CHUNKS = 'mw/now/chunk/';
export const JOBS = 'mw/now/job/';
export const LOGS = 'mw/now/log/';
/** What each member has announced to understand; outlives its process, and older versions pass over it. */
export const CAPABILITIES = 'mw/now/capability/';
export const MEMBERS = 'mw/now/member/';
export const SHARES = 'mw/now/share/';
export const TYPES = 'mw/now/type/';
export const OVER = 'mw/over/';

/** A log has one writer: the holder of the duty of the same name. */
export type LogId = DutyName;

export function jobKey(id: string): string {
  return JOBS + id;
}

export function overKey(id: string): string {
  return OVER + id;
}

export function shareKey(share: number): string {
  return SHARES + String(share);
}

export function memberKey(member: string): string {
  return MEMBERS + member;
}

export function capabilityKey(member: string): string {
  return CAPABILITIES + member;
}

/** The key whose revision a writer of this log guards. */
export function ownershipKey(log: LogId): string {
  return log === 'lead' ? LEAD : shareKey(log);
}

/**
 * Records a log keeps: each takes the place of the one so many before it, which a checkpoint must cover by
 * then. Removing them instead would cost as many changes again as writing them.
 */
export const LOG_PLACES = 256;

export function logKey(log: LogId, seq: number): string {
  return `${LOGS}${log}/${String(seq % LOG_PLACES).padStart(4, '0')}`;
}

export function logOfKey(path: string): LogId {
  const log = path.slice(LOGS.length).split('/')[0];
  return log === 'lead' ? 'lead' : Number(log);
}

/**
 * A checkpoint's name: the sum of the log positions it covers, its writer's lead and attempt. Never used twice,
 * and in the order in which checkpoints are begun.
 */
export function checkpointId(size: number, leadRevision: number, attempt: number): string {
  return [size, leadRevision, attempt].map((n) => String(n).padStart(12, '0')).join('-');
}

export function checkpointOfKey(path: string): string {
  return path.slice(CHUNKS.length).split('/')[0] ?? '';
}

export function chunkKey(id: string, part: number): string {
  return `${CHUNKS}${id}/${String(part).padStart(4, '0')}`;
}
