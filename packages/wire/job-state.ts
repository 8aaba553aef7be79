/** Answers to users about their jobs. */
import type { Fields } from './codec.js';
import type { JobState, JobStatus } from './messages.js';

const TO_WIRE: Record<JobStatus, string> = {
  pending: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
};

const STATUSES = Object.keys(TO_WIRE) as JobStatus[];

export function encodeJobState({ id, status, ...counts }: JobState): Fields {
  return { Uid: id, Status: TO_WIRE[status], ...counts };
}

/** The status that an answer tells, or null if it tells none. */
export function decodeJobStatus(body: Fields): JobStatus | null {
  return STATUSES.find((status) => TO_WIRE[status] === body['Status']) ?? null;
}
