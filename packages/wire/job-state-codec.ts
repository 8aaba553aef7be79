/** Codec of the responses to queries of the state of a job. */
import type { WireFields } from './codec.js';
import type { JobState, JobStatus } from './jobs.js';

const WIRE_STATUSES: Readonly<Record<JobStatus, string>> = {
  pending: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
};

const STATUSES = Object.keys(WIRE_STATUSES) as JobStatus[];

/** Encodes the state of a job. Task counts are omitted if the state has none. */
export function encodeJobState(state: JobState): WireFields {
  const fields: WireFields = { Uid: state.id, Status: WIRE_STATUSES[state.status] };
  if (state.done !== undefined) fields['done'] = state.done;
  if (state.running !== undefined) fields['running'] = state.running;
  return fields;
}

/** Reads the status of a job from a response. Returns null if the response has none, as in an error. */
export function decodeJobStatus(body: WireFields): JobStatus | null {
  return STATUSES.find((status) => WIRE_STATUSES[status] === body['Status']) ?? null;
}
