/** Reports of workers, and the answers to them. */
import { type Fields, isCount, isFields, type Count } from './codec.js';
import type { ExitCause, TaskReport, TaskState } from './tasks.js';
import type { Command, ReportAnswer, WorkerReport } from './workers.js';

const TASK_STATES = new Map<unknown, TaskState>([
  ['pulling', 'fetching'],
  ['gathering', 'gathering'],
  ['running', 'running'],
  ['saving', 'saving'],
  ['exited', 'exited'],
]);

const EXIT_CAUSES = new Map<unknown, ExitCause>([
  ['done', 'done'],
  ['halted', 'stopped'],
  ['error', 'failed'],
  ['peers', 'peer_gone'],
  ['alone', 'gang_incomplete'],
  ['full', 'no_room'],
  ['in_use', 'duplicate'],
  ['unknown', 'unknown_task'],
]);

/** Reads a worker's report as it came off the wire; null if a field that matters is missing or invalid. */
export function parseReport(body: unknown): WorkerReport | null {
  if (!isFields(body) || !Array.isArray(body['Pieces'])) return null;
  const { Host, Endpoint, Build, Hall, Loaners, Shift, Tally, Baton, RecallS } = body;
  const texts = [Host, Endpoint, Build, Hall].every((value) => typeof value === 'string');
  const counts = [Shift, Tally, Baton].every(isCount);
  const notice = RecallS ?? null;
  if (!texts || !counts || typeof Loaners !== 'boolean') return null;
  if (notice !== null && typeof notice !== 'number') return null;
  const tasks: TaskReport[] = [];
  for (const fields of body['Pieces'] as unknown[]) {
    const task = parseTask(fields);
    if (!task) return null;
    tasks.push(task);
  }
  return {
    host: Host as string,
    address: Endpoint as string,
    machineType: Build as string,
    zone: Hall as string,
    spot: Loaners,
    session: Shift as Count,
    sequence: Tally as Count,
    token: Baton as Count,
    spotNoticeS: notice,
    tasks,
  };
}

function parseTask(fields: unknown): TaskReport | null {
  if (!isFields(fields)) return null;
  const { Piece, Try, Status, Cause } = fields;
  if (typeof Piece !== 'string' || !isCount(Try) || typeof Status !== 'string') return null;
  // A task in a state that is not known here is on its machine all the same.
  const state = TASK_STATES.get(Status) ?? 'fetching';
  return { task: Piece, attempt: Try, state, cause: EXIT_CAUSES.get(Cause) ?? null };
}

export function encodeReportAnswer({ token, commands }: ReportAnswer): Fields {
  return { Baton: token, Orders: commands.map(encodeCommand) };
}

function encodeCommand(command: Command): Fields {
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

/** Tells a worker which node acts for its machine. */
export function encodeRedirect(member: string): Fields {
  return { Foreman: member };
}
