/**
 * How many tasks a heartbeat and how many commands the response to it can carry. The protocol limits both to
 * {@link MAX_BODY_BYTES}, counted as JSON.
 */
import { jsonBytes } from './codec.js';
import { encodeCommand, longestTaskRow } from './heartbeat-codec.js';
import { MAX_BODY_BYTES } from './http-client.js';
import { MAX_JOB_ID_DIGITS, MAX_TASKS } from './jobs.js';
import { formatTaskName } from './tasks.js';

/** Bytes reserved for everything in a heartbeat but its tasks: names of the machine and counters. */
const HEARTBEAT_FRAME_BYTES = 1024;
/** Bytes reserved for everything in a response but its commands. */
const RESPONSE_FRAME_BYTES = 64;
/** Size of the comma after a row. */
const SEPARATOR_BYTES = 1;
/** Longest time in seconds that a task may get to save its progress, for the size of a command. */
const LONGEST_GRACE_S = 1e9;

const LONGEST_TASK = {
  task: formatTaskName(`j-${'9'.repeat(MAX_JOB_ID_DIGITS)}`, MAX_TASKS - 1),
  attempt: Number.MAX_SAFE_INTEGER,
};

/** Number of tasks that a heartbeat can report, whatever their names and states are. */
export const MAX_TASKS_PER_HEARTBEAT = rowsWithin(
  MAX_BODY_BYTES - HEARTBEAT_FRAME_BYTES,
  longestTaskRow(LONGEST_TASK),
);

/** Number of commands that a response to a heartbeat can carry, whatever they are. */
export const MAX_COMMANDS_PER_RESPONSE = rowsWithin(
  MAX_BODY_BYTES - RESPONSE_FRAME_BYTES,
  encodeCommand({ kind: 'stop', ...LONGEST_TASK, graceS: LONGEST_GRACE_S }),
);

function rowsWithin(bytes: number, longestRow: unknown): number {
  return Math.floor(bytes / (jsonBytes(longestRow) + SEPARATOR_BYTES));
}
