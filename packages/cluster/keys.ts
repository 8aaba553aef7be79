import type { RoleName } from '#roles';

/**
 * Where the cluster's state lies in the state service. All of it is below one prefix, so that a single watch
 * sees every change and "caught up to epoch E" has a meaning. What is over lies apart: a restart reads only
 * what is below `NOW`.
 */
export const ROOT_PREFIX = 'mw/';
export const LIVE_PREFIX = 'mw/now/';
export const FENCING_TOKEN_KEY = 'mw/now/token';
export const LEADER_KEY = 'mw/now/lead';
export const CHECKPOINT_HEAD_KEY = 'mw/now/checkpoint';
export const CHECKPOINT_CHUNK_PREFIX = 'mw/now/chunk/';
export const JOB_PREFIX = 'mw/now/job/';
export const LOG_PREFIX = 'mw/now/log/';
/** What each member has announced to understand; outlives its process, and older versions pass over it. */
export const CAPABILITY_PREFIX = 'mw/now/capability/';
export const MEMBER_PREFIX = 'mw/now/member/';
export const SHARD_PREFIX = 'mw/now/share/';
export const MACHINE_TYPE_PREFIX = 'mw/now/type/';
export const TERMINAL_PREFIX = 'mw/over/';

/** A log has one writer: the holder of the duty of the same name. */
export type LogId = RoleName;

export function jobKey(id: string): string {
  return JOB_PREFIX + id;
}

export function terminalKey(id: string): string {
  return TERMINAL_PREFIX + id;
}

export function shardKey(shard: number): string {
  return SHARD_PREFIX + String(shard);
}

export function memberKey(member: string): string {
  return MEMBER_PREFIX + member;
}

export function capabilityKey(member: string): string {
  return CAPABILITY_PREFIX + member;
}

/** The key whose revision a writer of this log guards. */
export function ownershipKey(log: LogId): string {
  return log === 'lead' ? LEADER_KEY : shardKey(log);
}

/**
 * Records a log keeps: each takes the place of the one so many before it, which a checkpoint must cover by
 * then. Removing them instead would cost as many changes again as writing them.
 */
export const LOG_RING_CAPACITY = 256;

export function logKey(log: LogId, seq: number): string {
  return `${LOG_PREFIX}${log}/${String(seq % LOG_RING_CAPACITY).padStart(4, '0')}`;
}

export function logIdOfKey(path: string): LogId {
  const log = path.slice(LOG_PREFIX.length).split('/')[0];
  return log === 'lead' ? 'lead' : Number(log);
}

/**
 * A checkpoint's name: the sum of the log positions it covers, its writer's lead and attempt. Never used twice,
 * and in the order in which checkpoints are begun.
 */
export function checkpointId(size: number, leadRevision: number, attempt: number): string {
  return [size, leadRevision, attempt].map((n) => String(n).padStart(12, '0')).join('-');
}

export function checkpointIdOfKey(path: string): string {
  return path.slice(CHECKPOINT_CHUNK_PREFIX.length).split('/')[0] ?? '';
}

export function checkpointChunkKey(id: string, part: number): string {
  return `${CHECKPOINT_CHUNK_PREFIX}${id}/${String(part).padStart(4, '0')}`;
}
