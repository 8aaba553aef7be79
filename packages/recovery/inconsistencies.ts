/**
 * Compares earlier observations of the state with what the state service shows. The functions are pure, so that every node
 * gets the same result from the same marks.
 */
import type { HighWaterMarks } from '#cluster';

/** One way in which the state that the state service shows (`shown`) falls short of an earlier observation (`observed`). */
export type Inconsistency =
  | { readonly kind: 'revision_regressed'; readonly observed: number; readonly shown: number }
  | { readonly kind: 'revision_reused'; readonly revision: number }
  | { readonly kind: 'fencing_token_regressed'; readonly observed: number; readonly shown: number }
  | {
      readonly kind: 'log_regressed';
      readonly log: string;
      readonly observed: number;
      readonly shown: number;
    }
  | { readonly kind: 'key_missing'; readonly key: string }
  | { readonly kind: 'key_regressed'; readonly key: string }
  | { readonly kind: 'history_forked'; readonly key: string }
  | { readonly kind: 'peer_disagrees'; readonly observed: number }
  | { readonly kind: 'state_incomplete'; readonly reason: string };

/** High-water marks that a node, worker or peer has observed; a mark that was not observed is absent. */
export type PartialHighWaterMarks = Partial<HighWaterMarks>;

/** Returns an inconsistency for every observed mark that the shown state has not reached. */
export function findInconsistencies(
  observedMarks: PartialHighWaterMarks,
  shownMarks: PartialHighWaterMarks,
): Inconsistency[] {
  const inconsistencies: Inconsistency[] = [];
  if (isBehind(observedMarks.revision, shownMarks.revision)) {
    inconsistencies.push({
      kind: 'revision_regressed',
      observed: observedMarks.revision ?? 0,
      shown: shownMarks.revision ?? 0,
    });
  }
  if (isBehind(observedMarks.fencingToken, shownMarks.fencingToken)) {
    const observed = observedMarks.fencingToken ?? 0;
    inconsistencies.push({ kind: 'fencing_token_regressed', observed, shown: shownMarks.fencingToken ?? 0 });
  }
  for (const [log, observed] of Object.entries(observedMarks.positions ?? {})) {
    const position = shownMarks.positions?.[log] ?? 0;
    if (shownMarks.positions && observed > position) {
      inconsistencies.push({ kind: 'log_regressed', log, observed, shown: position });
    }
  }
  return inconsistencies;
}

/** Returns the higher value of each mark. */
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

/** Describes the inconsistency in a sentence for operators, who call a revision an epoch. */
export function describeInconsistency(inconsistency: Inconsistency): string {
  switch (inconsistency.kind) {
    case 'revision_regressed':
      return `epoch ${inconsistency.shown} is shown, ${inconsistency.observed} was seen`;
    case 'revision_reused':
      return `a commit is said to have made epoch ${inconsistency.revision}, which was seen before it`;
    case 'fencing_token_regressed':
      return `token ${inconsistency.shown} is shown, ${inconsistency.observed} was seen`;
    case 'log_regressed':
      return `log ${inconsistency.log} ends at ${inconsistency.shown}, record ${inconsistency.observed} was seen`;
    case 'key_missing':
      return `${inconsistency.key} is gone, and no node removes it`;
    case 'key_regressed':
      return `${inconsistency.key} is older than it was`;
    case 'history_forked':
      return `${inconsistency.key} holds another record of the same number: this is another history`;
    case 'peer_disagrees':
      return `it has seen epoch ${inconsistency.observed}, and finds the state to contradict it`;
    case 'state_incomplete':
      return `the state can not be read whole: ${inconsistency.reason}`;
  }
}

function isBehind(observed: number | undefined, shown: number | undefined): boolean {
  return observed !== undefined && shown !== undefined && observed > shown;
}
