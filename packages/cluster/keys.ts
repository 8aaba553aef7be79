/**
 * Keys of the cluster's state in the state service. All of them are below one prefix, so that a single watch sees every
 * change and "caught up to revision R" has a meaning. Terminal jobs have a prefix of their own: a restart reads live
 * keys only.
 */
import type { RoleName } from '#roles';

/** Prefix of all keys. */
export const ROOT_PREFIX = 'mw/';
/** Prefix of the keys that a starting node reads. */
export const LIVE_PREFIX = 'mw/now/';
/** The highest fencing token. */
export const FENCING_TOKEN_KEY = 'mw/now/token';
/** The leader; bound to its lease. */
export const LEADER_KEY = 'mw/now/lead';
/** The current checkpoint: its id, the log positions that it covers, its number of chunks. */
export const CHECKPOINT_HEAD_KEY = 'mw/now/checkpoint';
/** Chunks, by checkpoint id and number. */
export const CHECKPOINT_CHUNK_PREFIX = 'mw/now/chunk/';
/** Live jobs, and terminal ones that are not archived yet, by id. */
export const JOB_PREFIX = 'mw/now/job/';
/** Slots of the logs, by log and slot number. */
export const LOG_PREFIX = 'mw/now/log/';
/** Announced capabilities, by member; they outlive its process, and older versions ignore them. */
export const CAPABILITY_PREFIX = 'mw/now/capability/';
/** Member records, by member; bound to its lease. */
export const MEMBER_PREFIX = 'mw/now/member/';
/** Shard owners, by shard; bound to the owner's lease. */
export const SHARD_PREFIX = 'mw/now/share/';
/** Machine types of the cloud, by name. */
export const MACHINE_TYPE_PREFIX = 'mw/now/type/';
/** Terminal statuses of archived jobs, by id. */
export const TERMINAL_PREFIX = 'mw/over/';

/** A log has one writer: the holder of the role of the same name. */
export type LogId = RoleName;

/** Key of a live job. */
export function jobKey(id: string): string {
  return JOB_PREFIX + id;
}

/** Key of an archived job's terminal status. */
export function terminalKey(id: string): string {
  return TERMINAL_PREFIX + id;
}

/** Key of a shard's owner. */
export function shardKey(shard: number): string {
  return SHARD_PREFIX + String(shard);
}

/** Key of a member record. */
export function memberKey(member: string): string {
  return MEMBER_PREFIX + member;
}

/** Key of a member's announced capabilities. */
export function capabilityKey(member: string): string {
  return CAPABILITY_PREFIX + member;
}

/** The key whose revision a writer of this log guards. */
export function ownershipKey(log: LogId): string {
  return log === 'lead' ? LEADER_KEY : shardKey(log);
}

/**
 * Slots of a log's ring: each record overwrites the one this many before it, which a checkpoint must cover by then.
 * Removing records instead would cost as many changes again as writing them.
 */
export const LOG_RING_CAPACITY = 256;

/** Key of the slot of the record with this sequence number. */
export function logKey(log: LogId, sequence: number): string {
  return `${LOG_PREFIX}${log}/${String(sequence % LOG_RING_CAPACITY).padStart(4, '0')}`;
}

/** The log that a slot's key belongs to. */
export function logIdOfKey(path: string): LogId {
  const log = path.slice(LOG_PREFIX.length).split('/')[0];
  return log === 'lead' ? 'lead' : Number(log);
}

/**
 * Id of a checkpoint: the sum of the log positions that it covers, the term of the leader that writes it, and the
 * leader's attempt. Never used twice, and ordered as checkpoints are begun.
 */
export function checkpointId(totalRecords: number, term: number, attempt: number): string {
  return [totalRecords, term, attempt].map((n) => String(n).padStart(12, '0')).join('-');
}

/** Id of the checkpoint that a chunk's key belongs to. */
export function checkpointIdOfKey(path: string): string {
  return path.slice(CHECKPOINT_CHUNK_PREFIX.length).split('/')[0] ?? '';
}

/** Key of a checkpoint's chunk. */
export function checkpointChunkKey(id: string, chunk: number): string {
  return `${CHECKPOINT_CHUNK_PREFIX}${id}/${String(chunk).padStart(4, '0')}`;
}
