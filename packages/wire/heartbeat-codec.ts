/** Codec of worker heartbeats and of the responses to them. */
import { type Count, type WireFields, isCount, isWireFields } from './codec.js';
import type { ExitCause, TaskStatus, TaskState } from './tasks.js';
import type { Command, HeartbeatResponse, Heartbeat } from './heartbeat.js';

const TASK_STATES_BY_WIRE_NAME: ReadonlyMap<unknown, TaskState> = new Map<unknown, TaskState>([
  ['pulling', 'fetching'],
  ['gathering', 'gathering'],
  ['running', 'running'],
  ['saving', 'saving'],
  ['exited', 'exited'],
]);

const EXIT_CAUSES_BY_WIRE_NAME: ReadonlyMap<unknown, ExitCause> = new Map<unknown, ExitCause>([
  ['done', 'done'],
  ['halted', 'stopped'],
  ['error', 'failed'],
  ['peers', 'peer_gone'],
  ['alone', 'gang_incomplete'],
  ['full', 'no_room'],
  ['in_use', 'duplicate'],
  ['unknown', 'unknown_task'],
]);

/** Reads a worker's heartbeat from a decoded body. Returns null if a required field is missing or any is invalid. */
export function parseHeartbeat(body: unknown): Heartbeat | null {
  if (!isWireFields(body) || !Array.isArray(body['Pieces'])) return null;
  const { Host, Endpoint, Build, Hall, Loaners, Shift, Tally, Baton, RecallS } = body;
  const hasTextFields = [Host, Endpoint, Build, Hall].every((value) => typeof value === 'string');
  const hasCountFields = [Shift, Tally, Baton].every(isCount);
  const spotNoticeS = RecallS ?? null;
  if (!hasTextFields || !hasCountFields || typeof Loaners !== 'boolean') return null;
  if (spotNoticeS !== null && typeof spotNoticeS !== 'number') return null;
  const tasks = parseTasks(body['Pieces']);
  if (!tasks) return null;
  return {
    host: Host as string,
    address: Endpoint as string,
    machineType: Build as string,
    zone: Hall as string,
    spot: Loaners,
    incarnation: Shift as Count,
    sequence: Tally as Count,
    fencingToken: Baton as Count,
    spotNoticeS,
    tasks,
  };
}

function parseTasks(entries: readonly unknown[]): TaskStatus[] | null {
  const tasks: TaskStatus[] = [];
  for (const entry of entries) {
    const task = parseTask(entry);
    if (!task) return null;
    tasks.push(task);
  }
  return tasks;
}

function parseTask(entry: unknown): TaskStatus | null {
  if (!isWireFields(entry)) return null;
  const { Piece, Try, Status, Cause } = entry;
  if (typeof Piece !== 'string' || !isCount(Try) || typeof Status !== 'string') return null;
  // A task whose state this version doesn't know is still on its machine, so it is not dropped.
  const state = TASK_STATES_BY_WIRE_NAME.get(Status) ?? 'fetching';
  return { task: Piece, attempt: Try, state, cause: EXIT_CAUSES_BY_WIRE_NAME.get(Cause) ?? null };
}

/** Returns the longest row with which a worker can report a task of this name and attempt. */
export function longestTaskRow({ task, attempt }: Pick<TaskStatus, 'task' | 'attempt'>): WireFields {
  const longest = (names: Iterable<unknown>): string =>
    [...names].map(String).reduce((a, b) => (b.length > a.length ? b : a));
  return {
    Piece: task,
    Try: attempt,
    Status: longest(TASK_STATES_BY_WIRE_NAME.keys()),
    Cause: longest(EXIT_CAUSES_BY_WIRE_NAME.keys()),
    Stored: false,
  };
}

/** Encodes the response that renews a worker's lease and carries its commands. */
export function encodeHeartbeatResponse({ fencingToken, commands }: HeartbeatResponse): WireFields {
  return { Baton: fencingToken, Orders: commands.map(encodeCommand) };
}

/** Encodes a command. */
export function encodeCommand(command: Command): WireFields {
  const { task, attempt } = command;
  switch (command.kind) {
    case 'start':
      return { Verb: 'launch', Piece: task, Try: attempt };
    case 'stop':
      return { Verb: 'halt', Piece: task, Try: attempt, WindDownS: command.graceS };
    case 'forget':
      return { Verb: 'reap', Piece: task, Try: attempt };
  }
}

/** Encodes the response that redirects a worker to the node that owns its machine. */
export function encodeRedirect(member: string): WireFields {
  return { Foreman: member };
}
