/** Compares what is known of the state with what the state service shows: pure, and the same on every node. */
import type { HighWaterMarks } from '#cluster';

/** One way in which what is shown falls short of what is known. */
export type Inconsistency =
  | { kind: 'epoch_went_back'; known: number; shown: number }
  | { kind: 'epoch_reused'; epoch: number }
  | { kind: 'token_went_back'; known: number; shown: number }
  | { kind: 'log_went_back'; log: string; known: number; shown: number }
  | { kind: 'key_missing'; key: string }
  | { kind: 'key_went_back'; key: string }
  | { kind: 'history_forked'; key: string }
  | { kind: 'peer_objects'; known: number }
  | { kind: 'state_incomplete'; reason: string };

/** Numbers that somebody has seen; absent ones say nothing. */
export type PartialHighWaterMarks = Partial<HighWaterMarks>;

/** Where the state that is shown lacks what has been seen before: nothing once it has reached all of it. */
export function findInconsistencies(
  seen: PartialHighWaterMarks,
  shown: PartialHighWaterMarks,
): Inconsistency[] {
  const found: Inconsistency[] = [];
  if (isBehind(seen.revision, shown.revision)) {
    found.push({ kind: 'epoch_went_back', known: seen.revision ?? 0, shown: shown.revision ?? 0 });
  }
  if (isBehind(seen.fencingToken, shown.fencingToken)) {
    found.push({ kind: 'token_went_back', known: seen.fencingToken ?? 0, shown: shown.fencingToken ?? 0 });
  }
  for (const [log, known] of Object.entries(seen.positions ?? {})) {
    const position = shown.positions?.[log] ?? 0;
    if (shown.positions && known > position)
      found.push({ kind: 'log_went_back', log, known, shown: position });
  }
  return found;
}

/** The highest of what either has seen. */
export function mergeHighWaterMarks(
  a: PartialHighWaterMarks,
  b: PartialHighWaterMarks,
): PartialHighWaterMarks {
  const positions: Record<string, number> = { ...a.positions };
  for (const [log, position] of Object.entries(b.positions ?? {})) {
    positions[log] = Math.max(positions[log] ?? 0, position);
  }
  return {
    revision: Math.max(a.revision ?? 0, b.revision ?? 0),
    fencingToken: Math.max(a.fencingToken ?? 0, b.fencingToken ?? 0),
    positions,
  };
}

export function describeInconsistency(inconsistency: Inconsistency): string {
  switch (inconsistency.kind) {
    case 'epoch_went_back':
      return `epoch ${inconsistency.shown} is shown, ${inconsistency.known} was seen`;
    case 'epoch_reused':
      return `a commit is said to have made epoch ${inconsistency.epoch}, which was seen before it`;
    case 'token_went_back':
      return `token ${inconsistency.shown} is shown, ${inconsistency.known} was seen`;
    case 'log_went_back':
      return `log ${inconsistency.log} ends at ${inconsistency.shown}, record ${inconsistency.known} was seen`;
    case 'key_missing':
      return `${inconsistency.key} is gone, and no node removes it`;
    case 'key_went_back':
      return `${inconsistency.key} is older than it was`;
    case 'history_forked':
      return `${inconsistency.key} holds another record of the same number: this is another history`;
    case 'peer_objects':
      return `it has seen epoch ${inconsistency.known}, and finds the state to contradict it`;
    case 'state_incomplete':
      return `the state can not be read whole: ${inconsistency.reason}`;
  }
}

function isBehind(seen: number | undefined, shown: number | undefined): boolean {
  return seen !== undefined && shown !== undefined && seen > shown;
}
