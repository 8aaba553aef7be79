/** Compares what is known of the state with what the state service shows: pure, and the same on every node. */
import type { StateSummary } from '#cluster';

/** One way in which what is shown falls short of what is known. */
export type Contradiction =
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
export type SeenNumbers = Partial<StateSummary>;

/** Where the state that is shown lacks what has been seen before: nothing once it has reached all of it. */
export function findContradictions(seen: SeenNumbers, shown: SeenNumbers): Contradiction[] {
  const found: Contradiction[] = [];
  if (isBehind(seen.epoch, shown.epoch)) {
    found.push({ kind: 'epoch_went_back', known: seen.epoch ?? 0, shown: shown.epoch ?? 0 });
  }
  if (isBehind(seen.token, shown.token)) {
    found.push({ kind: 'token_went_back', known: seen.token ?? 0, shown: shown.token ?? 0 });
  }
  for (const [log, known] of Object.entries(seen.positions ?? {})) {
    const position = shown.positions?.[log] ?? 0;
    if (shown.positions && known > position)
      found.push({ kind: 'log_went_back', log, known, shown: position });
  }
  return found;
}

/** The highest of what either has seen. */
export function joinSeen(a: SeenNumbers, b: SeenNumbers): SeenNumbers {
  const positions: Record<string, number> = { ...a.positions };
  for (const [log, position] of Object.entries(b.positions ?? {})) {
    positions[log] = Math.max(positions[log] ?? 0, position);
  }
  return {
    epoch: Math.max(a.epoch ?? 0, b.epoch ?? 0),
    token: Math.max(a.token ?? 0, b.token ?? 0),
    positions,
  };
}

export function describeContradiction(contradiction: Contradiction): string {
  switch (contradiction.kind) {
    case 'epoch_went_back':
      return `epoch ${contradiction.shown} is shown, ${contradiction.known} was seen`;
    case 'epoch_reused':
      return `a commit is said to have made epoch ${contradiction.epoch}, which was seen before it`;
    case 'token_went_back':
      return `token ${contradiction.shown} is shown, ${contradiction.known} was seen`;
    case 'log_went_back':
      return `log ${contradiction.log} ends at ${contradiction.shown}, record ${contradiction.known} was seen`;
    case 'key_missing':
      return `${contradiction.key} is gone, and no node removes it`;
    case 'key_went_back':
      return `${contradiction.key} is older than it was`;
    case 'history_forked':
      return `${contradiction.key} holds another record of the same number: this is another history`;
    case 'peer_objects':
      return `it has seen epoch ${contradiction.known}, and finds the state to contradict it`;
    case 'state_incomplete':
      return `the state can not be read whole: ${contradiction.reason}`;
  }
}

function isBehind(seen: number | undefined, shown: number | undefined): boolean {
  return seen !== undefined && shown !== undefined && seen > shown;
}
