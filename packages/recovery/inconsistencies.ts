/** Compares what was observed of the state with what the state service shows. Pure: the same result on every node. */
import type { HighWaterMarks } from '#cluster';

/** One way in which the state that is shown falls short of what was observed before. */
export type Inconsistency =
  | { readonly kind: 'revision_regressed'; readonly known: number; readonly shown: number }
  | { readonly kind: 'revision_reused'; readonly revision: number }
  | { readonly kind: 'fencing_token_regressed'; readonly known: number; readonly shown: number }
  | { readonly kind: 'log_regressed'; readonly log: string; readonly known: number; readonly shown: number }
  | { readonly kind: 'key_missing'; readonly key: string }
  | { readonly kind: 'key_regressed'; readonly key: string }
  | { readonly kind: 'history_forked'; readonly key: string }
  | { readonly kind: 'peer_disagrees'; readonly known: number }
  | { readonly kind: 'state_incomplete'; readonly reason: string };

/** High-water marks that somebody has observed; absent ones were not observed. */
export type PartialHighWaterMarks = Partial<HighWaterMarks>;

/** Every mark that the shown state has not reached; empty once it has reached all that were observed. */
export function findInconsistencies(
  observed: PartialHighWaterMarks,
  shown: PartialHighWaterMarks,
): Inconsistency[] {
  const found: Inconsistency[] = [];
  if (isBehind(observed.revision, shown.revision)) {
    found.push({ kind: 'revision_regressed', known: observed.revision ?? 0, shown: shown.revision ?? 0 });
  }
  if (isBehind(observed.fencingToken, shown.fencingToken)) {
    const known = observed.fencingToken ?? 0;
    found.push({ kind: 'fencing_token_regressed', known, shown: shown.fencingToken ?? 0 });
  }
  for (const [log, known] of Object.entries(observed.positions ?? {})) {
    const position = shown.positions?.[log] ?? 0;
    if (shown.positions && known > position) {
      found.push({ kind: 'log_regressed', log, known, shown: position });
    }
  }
  return found;
}

/** The higher of each mark. */
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

/** The inconsistency as a sentence for operators, who call a revision an epoch. */
export function describeInconsistency(inconsistency: Inconsistency): string {
  switch (inconsistency.kind) {
    case 'revision_regressed':
      return `epoch ${inconsistency.shown} is shown, ${inconsistency.known} was seen`;
    case 'revision_reused':
      return `a commit is said to have made epoch ${inconsistency.revision}, which was seen before it`;
    case 'fencing_token_regressed':
      return `token ${inconsistency.shown} is shown, ${inconsistency.known} was seen`;
    case 'log_regressed':
      return `log ${inconsistency.log} ends at ${inconsistency.shown}, record ${inconsistency.known} was seen`;
    case 'key_missing':
      return `${inconsistency.key} is gone, and no node removes it`;
    case 'key_regressed':
      return `${inconsistency.key} is older than it was`;
    case 'history_forked':
      return `${inconsistency.key} holds another record of the same number: this is another history`;
    case 'peer_disagrees':
      return `it has seen epoch ${inconsistency.known}, and finds the state to contradict it`;
    case 'state_incomplete':
      return `the state can not be read whole: ${inconsistency.reason}`;
  }
}

function isBehind(observed: number | undefined, shown: number | undefined): boolean {
  return observed !== undefined && shown !== undefined && observed > shown;
}
