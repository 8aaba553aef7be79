/**
 * Keys of the cluster's state in the state service. All keys have one prefix, so that a single watch sees every change
 * and a replica can state one revision up to which it is complete. Archived terminal jobs have a separate prefix, so
 * that a starting node reads live keys only.
 */
import type { RoleName } from '#roles';

/** Prefix of all keys. */
export const ROOT_PREFIX = 'mw/';
/** Prefix of the live keys, which a starting node reads. */
export const LIVE_PREFIX = 'mw/now/';
/** Key of the cluster's highest fencing token. */
export const FENCING_TOKEN_KEY = 'mw/now/token';
/** Key of the leader; bound to the leader's lease. */
export const LEADER_KEY = 'mw/now/lead';
/** Key of the current checkpoint's head: its id, the log positions that it covers, and its number of chunks. */
export const CHECKPOINT_HEAD_KEY = 'mw/now/checkpoint';
/** Prefix of checkpoint chunks; followed by the checkpoint id and the chunk number. */
export const CHECKPOINT_CHUNK_PREFIX = 'mw/now/chunk/';
/** Prefix of live jobs, and of terminal jobs that are not archived yet; followed by the job id. */
export const JOB_PREFIX = 'mw/now/job/';
/** Prefix of log slots; followed by the log id and the slot number. */
export const LOG_PREFIX = 'mw/now/log/';
/** Prefix of announced capabilities; followed by the member. Not bound to a lease; older versions ignore it. */
export const CAPABILITY_PREFIX = 'mw/now/capability/';
/** Prefix of member records; followed by the member. Bound to the member's lease. */
export const MEMBER_PREFIX = 'mw/now/member/';
/** Prefix of shard owners; followed by the shard. Bound to the owner's lease. */
export const SHARD_PREFIX = 'mw/now/share/';
/** Prefix of the cloud's machine types; followed by the name. */
export const MACHINE_TYPE_PREFIX = 'mw/now/type/';
/** Prefix of the terminal statuses of archived jobs; followed by the job id. */
export const TERMINAL_PREFIX = 'mw/over/';

/** Identifies a log, which has one writer: the holder of the role of the same name. */
export type LogId = RoleName;

/** Returns the key of a live job. */
export function jobKey(id: string): string {
  return JOB_PREFIX + id;
}

/** Returns the key of an archived job's terminal status. */
export function terminalKey(id: string): string {
  return TERMINAL_PREFIX + id;
}

/** Returns the key of a shard's owner. */
export function shardKey(shard: number): string {
  return SHARD_PREFIX + String(shard);
}

/** Returns the key of a member record. */
export function memberKey(member: string): string {
  return MEMBER_PREFIX + member;
}

/** Returns the key of a member's announced capabilities. */
export function capabilityKey(member: string): string {
  return CAPABILITY_PREFIX + member;
}

/** Returns the key whose revision guards every commit to this log. */
export function ownershipKey(log: LogId): string {
  return log === 'lead' ? LEADER_KEY : shardKey(log);
}

/**
 * Number of slots of a log, which is a ring: each record overwrites the record this many positions before it, which a
 * checkpoint must cover by then. Removing records instead would double the number of changes.
 */
export const LOG_RING_CAPACITY = 256;

/** Returns the key of the slot for the record with this sequence number. */
export function logKey(log: LogId, sequence: number): string {
  return `${LOG_PREFIX}${log}/${String(sequence % LOG_RING_CAPACITY).padStart(4, '0')}`;
}

/** Returns the log that a slot's key belongs to. */
export function logIdOfKey(path: string): LogId {
  const log = path.slice(LOG_PREFIX.length).split('/')[0];
  return log === 'lead' ? 'lead' : Number(log);
}

/**
 * Returns the id of a checkpoint: the sum of the log positions that it covers, the term of the leader that writes it,
 * and the leader's attempt. Ids are never used twice, and their order is that in which checkpoints are begun.
 */
export function checkpointId(totalRecords: number, term: number, attempt: number): string {
  return [totalRecords, term, attempt].map((n) => String(n).padStart(12, '0')).join('-');
}

/** Returns the id of the checkpoint that a chunk's key belongs to. */
export function checkpointIdOfKey(path: string): string {
  return path.slice(CHECKPOINT_CHUNK_PREFIX.length).split('/')[0] ?? '';
}

/** Returns the key of a checkpoint's chunk. */
export function checkpointChunkKey(id: string, chunk: number): string {
  return `${CHECKPOINT_CHUNK_PREFIX}${id}/${String(chunk).padStart(4, '0')}`;
}
